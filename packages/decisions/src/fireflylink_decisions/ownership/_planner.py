"""Who should own which keys: lost owners, joined servers, keys that became busy.

Busy keys lie close together and change within seconds, so ranges are cut by measured load. A piece
is cut from an end of a range: that keeps the number of ranges, and with it of renewals, small. The
price is that a piece may take some quiet keys along.
"""

import math

from fireflylink_core import (
    FIRST_KEY,
    KEY_COUNT,
    LAST_KEY,
    Assignment,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_decisions.ownership._draft import Draft
from fireflylink_decisions.ownership._key_load import RangeLoad
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._plan_values import Candidate

LEAST_RATE = 1.5
"""A server with fewer requests a second is not relieved: a move would gain nothing."""

FULL_UTILIZATION = 0.8
"""Up to this, fast servers get more than their part, because their answers come sooner."""

PREFERENCE = 1.0
"""How strongly faster servers are preferred while there is much room, as a power of their speed."""

IMBALANCE = 1.3
"""A server is relieved when it is this much above the mean."""

AIM = 1.1
NOISE_DEVIATIONS = 1.5
MAX_MOVES = 10
MAX_RANGES_PER_SERVER = 5
WANTED_RANGES_PER_SERVER = 2.0
"""Above this, small neighbouring ranges are joined: each range is a renewal a second."""

MAX_JOINS = 2
JOIN_RATIO = 1.2
JOIN_PART = 0.2
"""Only ranges with less than this part of a server's usual load and keys are joined to others."""
NEW_SERVER_PART = 0.7
"""A server that joined is filled up to this part of the mean load."""


def initial_table(service: str, candidates: list[Candidate], fence: int) -> OwnershipTable:
    """Returns a table of a service that has none: ranges in proportion to the capacities."""
    ordered = sorted(
        candidates, key=lambda candidate: (candidate.data_centre, str(candidate.incarnation))
    )
    total = sum(candidate.capacity for candidate in ordered)
    assignments = []
    first = FIRST_KEY
    reached = 0.0
    for candidate in ordered:
        reached += candidate.capacity
        end = FIRST_KEY + round(KEY_COUNT * reached / total)
        if candidate is ordered[-1]:
            end = LAST_KEY + 1
        if end > first:
            assignments.append(Assignment(KeyRange(first, end - 1), candidate.incarnation, fence))
            first = end
    return OwnershipTable(service, fence, tuple(assignments))


def plan_table(
    table: OwnershipTable,
    candidates: list[Candidate],
    loads: RangeLoad,
    overload_detector: OverloadDetector,
    now: float,
    expired: frozenset[KeyRange] = frozenset(),
    rebalance: bool = True,
) -> OwnershipTable | None:
    """Returns a better table under a new fence, None when the present one is good enough.

    The grants of ``expired`` ranges ran out: they get a new fence even if their owner stays.
    ``overload_detector`` is kept from plan to plan. Without ``rebalance``, only what is urgent is
    changed: each new table is read by every daemon.
    """
    if not candidates:
        return None
    draft = Draft(table, loads)
    planner = _Planner(draft, candidates)
    planner.watch(overload_detector, now, rebalance)
    planner.replace_lost_owners(expired)
    planner.fill_joined_servers()
    planner.relieve_busy_servers()
    if rebalance:
        planner.join_small_ranges()
    if rebalance or draft.changed:
        draft.merge()
    return draft.table() if draft.changed else None


class _Planner:
    """The steps of one plan."""

    __slots__ = ("candidates", "draft", "lasting", "mean", "rates", "weights")

    def __init__(self, draft: Draft, candidates: list[Candidate]) -> None:
        self.draft = draft
        self.candidates = {candidate.incarnation: candidate for candidate in candidates}
        self.lasting: frozenset[ServerIncarnation] = frozenset()
        self.rates = {incarnation: draft.load(incarnation) for incarnation in self.candidates}
        self.weights = _weights(candidates, draft.loads.prefix_sums[-1])
        self.mean = draft.loads.prefix_sums[-1] / sum(self.weights.values())

    def replace_lost_owners(self, lapsed: frozenset[KeyRange]) -> None:
        """Gives the keys of servers that may not own any, or lost them, to the least busy ones."""
        index = 0
        while index < len(self.draft.assignments):
            assignment = self.draft.assignments[index]
            if assignment.owner not in self.candidates or assignment.keys in lapsed:
                pieces = self._pieces(assignment.keys)
                for piece in pieces:
                    self._give(index, piece)
                    index += 1
            else:
                index += 1

    def fill_joined_servers(self) -> None:
        """Gives a server without keys a part of the keys of others."""
        owners = {assignment.owner for assignment in self.draft.assignments}
        for incarnation in sorted(self.candidates, key=str):
            if incarnation not in owners:
                self._fill(incarnation)

    def relieve_busy_servers(self) -> None:
        """Moves load from the busiest servers to the least busy ones."""
        for _ in range(MAX_MOVES):
            if len(self.draft.assignments) >= len(self.candidates) * MAX_RANGES_PER_SERVER:
                return
            busy = [incarnation for incarnation in self.candidates if self._is_busy(incarnation)]
            if not any(
                self._relieve(incarnation)
                for incarnation in sorted(busy, key=self._ratio, reverse=True)
            ):
                return

    def join_small_ranges(self) -> None:
        """Gives small ranges to the owners of their neighbours when there are many ranges."""
        for _ in range(MAX_JOINS):
            if len(self.draft.assignments) <= len(self.candidates) * WANTED_RANGES_PER_SERVER:
                return
            joins = [join for join in map(self._join, range(len(self.draft.assignments))) if join]
            if not joins:
                return
            _, index, receiver = min(joins, key=lambda join: join[:2])
            giver = self.draft.assignments[index].owner
            self._shift(index, self._keys(index), giver, receiver)

    def _join(self, index: int) -> tuple[float, int, ServerIncarnation] | None:
        """Returns the load of a range, its position and the neighbour's owner that can take it."""
        assignment = self.draft.assignments[index]
        if assignment.previous_holders or assignment.owner not in self.rates:
            return None
        load = self.draft.loads.total(assignment.keys)
        usual = self.draft.loads.prefix_sums[-1] / len(self.candidates)
        if load > JOIN_PART * usual or len(assignment.keys) > KEY_COUNT / len(self.candidates):
            return None
        receivers = [
            neighbour.owner
            for neighbour in self._neighbours(index)
            if not neighbour.previous_holders
            and neighbour.owner in self.rates
            and neighbour.owner != assignment.owner
            and (self.rates[neighbour.owner] + load) / self.weights[neighbour.owner]
            <= JOIN_RATIO * self.mean
        ]
        if not receivers:
            return None
        return load, index, min(receivers, key=self._ratio)

    def _neighbours(self, index: int) -> list[Assignment]:
        before = self.draft.assignments[index - 1 : index] if index else []
        return [*before, *self.draft.assignments[index + 1 : index + 2]]

    def _is_busy(self, incarnation: ServerIncarnation) -> bool:
        # A rate over about a second of few requests is uncertain; moves that follow its chance
        # variations would cost more than they gain.
        rate = self.rates[incarnation]
        if rate < LEAST_RATE or not self._is_above(incarnation):
            return False
        least = rate - NOISE_DEVIATIONS * math.sqrt(rate)
        return (
            incarnation in self.lasting or least > IMBALANCE * self.mean * self.weights[incarnation]
        )

    def _is_above(self, incarnation: ServerIncarnation) -> bool:
        return self.rates[incarnation] > IMBALANCE * self.mean * self.weights[incarnation]

    def watch(self, detector: OverloadDetector, now: float, rebalance: bool) -> None:
        """Notes which servers are above their part before anything is changed."""
        detector.update(
            frozenset(
                incarnation for incarnation in self.candidates if self._is_above(incarnation)
            ),
            now,
        )
        if rebalance:
            self.lasting = detector.sustained(now)

    def _ratio(self, incarnation: ServerIncarnation) -> float:
        """Returns a server's load in proportion to what it should have."""
        return self.rates[incarnation] / self.weights[incarnation]

    def _pieces(self, keys: KeyRange) -> list[KeyRange]:
        """Cuts the keys of a lost server so that no piece exceeds what one server should take."""
        room = self.mean * max(self.weights.values())
        pieces: list[KeyRange] = []
        rest = keys
        while self.draft.loads.total(rest) > room and len(pieces) < MAX_MOVES:
            cut = _cut_first(self.draft.loads, rest, room / 2)
            if cut is None or cut.last >= rest.last:
                break
            pieces.append(cut)
            rest = KeyRange(cut.last + 1, rest.last)
        return [*pieces, rest]

    def _give(self, index: int, keys: KeyRange) -> None:
        """Gives keys at the start of an assignment to the server that then is the least busy."""
        rate = self.draft.loads.total(keys)
        part = len(keys) / KEY_COUNT
        receiver = min(
            self.candidates,
            key=lambda incarnation: (
                (self.rates[incarnation] + rate) / self.weights[incarnation],
                self._owned_part(incarnation) + part,
            ),
        )
        self.draft.move(index, keys, receiver)
        self.rates[receiver] += rate

    def _owned_part(self, incarnation: ServerIncarnation) -> float:
        return sum(
            len(assignment.keys)
            for assignment in self.draft.assignments
            if assignment.owner == incarnation
        ) / (KEY_COUNT * self.candidates[incarnation].capacity)

    def _fill(self, incarnation: ServerIncarnation) -> None:
        giver = max(self.candidates, key=lambda other: (self._ratio(other), str(other)))
        ranges = self._ranges_of(giver)
        if not ranges:
            return
        index = max(ranges, key=lambda found: self._rank_of_range(found))
        keys = self.draft.assignments[index].keys
        wanted = self.mean * self.weights[incarnation] * NEW_SERVER_PART
        wanted = min(wanted, self.rates[giver] * 0.5)
        cut = _cut_last(self.draft.loads, keys, wanted) or _half(keys)
        if cut is None:
            return
        self._shift(index, cut, giver, incarnation)

    def _relieve(self, giver: ServerIncarnation) -> bool:
        """Moves one piece from a busy server; returns whether that helped."""
        aim = self.mean * AIM
        excess = self.rates[giver] - aim * self.weights[giver]
        rooms = {
            incarnation: aim * self.weights[incarnation] - self.rates[incarnation]
            for incarnation in self.candidates
        }
        receiver = max(rooms, key=lambda incarnation: rooms[incarnation])
        wanted = min(excess, rooms[receiver])
        ranges = self._ranges_of(giver)
        if wanted <= 0 or not ranges:
            return False
        index = max(ranges, key=lambda found: self.draft.loads.total(self._keys(found)))
        cut = self._cut(self._keys(index), wanted)
        if cut is None:
            return False
        moved = self.draft.loads.total(cut)
        after = (self.rates[receiver] + moved) / self.weights[receiver]
        if moved <= 0 or after >= self._ratio(giver):
            return False
        self._shift(index, cut, giver, receiver)
        return True

    def _cut(self, keys: KeyRange, wanted: float) -> KeyRange | None:
        """Returns the piece at the end that takes the fewest quiet keys along."""
        cuts = [
            cut
            for cut in (
                _cut_first(self.draft.loads, keys, wanted),
                _cut_last(self.draft.loads, keys, wanted),
            )
            if cut is not None
        ]
        return min(cuts, key=len, default=None)

    def _shift(
        self, index: int, cut: KeyRange, giver: ServerIncarnation, receiver: ServerIncarnation
    ) -> None:
        rate = self.draft.loads.total(cut)
        self.draft.move(index, cut, receiver)
        self.rates[giver] -= rate
        self.rates[receiver] += rate

    def _ranges_of(self, incarnation: ServerIncarnation) -> list[int]:
        """Returns the positions of a server's ranges that nothing is pending for."""
        return [
            index
            for index, assignment in enumerate(self.draft.assignments)
            if assignment.owner == incarnation and not assignment.previous_holders
        ]

    def _keys(self, index: int) -> KeyRange:
        return self.draft.assignments[index].keys

    def _rank_of_range(self, index: int) -> tuple[float, int]:
        keys = self._keys(index)
        return (self.draft.loads.total(keys), len(keys))


def _weights(candidates: list[Candidate], total: float) -> dict[ServerIncarnation, float]:
    """Returns what part of the load each server should have.

    While there is room, servers that are faster than the mean get more than in proportion: their
    answers come sooner. At full load the capacities decide alone.
    """
    capacity = sum(candidate.capacity for candidate in candidates)
    mean = capacity / len(candidates)
    spare = max(0.0, 1.0 - total / capacity / FULL_UTILIZATION)
    return {
        candidate.incarnation: candidate.capacity
        * (candidate.capacity / mean) ** (PREFERENCE * spare)
        for candidate in candidates
    }


def _cut_first(loads: RangeLoad, keys: KeyRange, wanted: float) -> KeyRange | None:
    """Returns keys from the start of a range with about the wanted rate, but not all of them."""
    position, end = loads.index_range(keys)
    base = loads.prefix_sums[position]
    last = None
    while position < end and loads.prefix_sums[position + 1] - base <= wanted:
        last = loads.keys[position]
        position += 1
    if last is None:
        last = loads.keys[position] if position < end else None
    if last is None or last >= keys.last:
        return None
    return KeyRange(keys.first, last)


def _cut_last(loads: RangeLoad, keys: KeyRange, wanted: float) -> KeyRange | None:
    """Returns keys from the end of a range with about the wanted rate, but not all of them."""
    start, position = loads.index_range(keys)
    top = loads.prefix_sums[position]
    first = None
    while position > start and top - loads.prefix_sums[position - 1] <= wanted:
        first = loads.keys[position - 1]
        position -= 1
    if first is None:
        first = loads.keys[position - 1] if position > start else None
    if first is None or first <= keys.first:
        return None
    return KeyRange(first, keys.last)


def _half(keys: KeyRange) -> KeyRange | None:
    if len(keys) < 2:
        return None
    return KeyRange(keys.first + len(keys) // 2, keys.last)
