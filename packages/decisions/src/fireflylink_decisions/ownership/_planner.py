"""Assignment of keys to servers: lost owners, servers that joined, balance of the load.

Keys with much load are close to each other and change within seconds, so ranges are cut by measured
load. A piece is cut from an end of a range, which keeps the number of ranges small, and with it the
number of renewals. As a trade-off, a piece may include some keys without load.
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
from fireflylink_decisions.ownership._candidate import Candidate
from fireflylink_decisions.ownership._key_load import RangeLoad
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._table_draft import TableDraft

MIN_OVERLOAD_RATE = 1.5
"""A server with fewer requests per second is not relieved: a move would gain nothing."""

FULL_UTILIZATION = 0.8
"""Below this utilization, fast servers get more than a proportional share, because they answer
sooner."""

SPEED_PREFERENCE = 1.0
"""Exponent of a server's relative speed in its extra share, if there is no load. It decreases to 0
at ``FULL_UTILIZATION``."""

OVERLOAD_RATIO = 1.3
"""A server is relieved when its load is higher than its share by this factor."""

TARGET_RATIO = 1.1
"""Moves relieve a server down to this multiple of its share, and load another one up to it."""

NOISE_DEVIATIONS = 1.5
"""Standard deviations that are subtracted from a measured rate before it counts as too high."""

MAX_MOVES = 10
"""Limit of the moves that relieve servers in one plan, and of the cuts of one lost range."""

MAX_RANGES_PER_SERVER = 5
"""With so many ranges, on average, no more are cut to relieve servers."""

TARGET_RANGES_PER_SERVER = 2.0
"""With more ranges, on average, small ones are merged with their neighbours: each range costs a
renewal per second."""

MAX_MERGES = 2
MERGE_LOAD_RATIO = 1.2
"""Limit of the load of a server that takes over a small range, in proportion to its share."""

SMALL_RANGE_FRACTION = 0.2
"""Only ranges with at most this fraction of the mean load of a server, and with at most the mean
number of keys, are merged with others."""

NEW_SERVER_FRACTION = 0.7
"""A server that joined is given up to about this fraction of its share of the load."""


def initial_table(service: str, candidates: list[Candidate], fence: int) -> OwnershipTable:
    """Returns the first table of a service, with ranges in proportion to the capacities."""
    ordered = sorted(
        candidates, key=lambda candidate: (candidate.data_centre, str(candidate.incarnation))
    )
    total_capacity = sum(candidate.capacity for candidate in ordered)
    assignments = []
    first = FIRST_KEY
    cumulative_capacity = 0.0
    for candidate in ordered:
        cumulative_capacity += candidate.capacity
        end = FIRST_KEY + round(KEY_COUNT * cumulative_capacity / total_capacity)
        if candidate is ordered[-1]:
            end = LAST_KEY + 1
        if end > first:
            assignments.append(Assignment(KeyRange(first, end - 1), candidate.incarnation, fence))
            first = end
    return OwnershipTable(service, fence, tuple(assignments))


def plan_table(
    table: OwnershipTable,
    candidates: list[Candidate],
    range_load: RangeLoad,
    overload_detector: OverloadDetector,
    now: float,
    expired: frozenset[KeyRange] = frozenset(),
    rebalance: bool = True,
) -> OwnershipTable | None:
    """Returns a better table under a new fence, None when the present one needs no change.

    The grants of the ranges in ``expired`` have expired: they get a new fence even if their owner
    stays. ``overload_detector`` keeps its state from one plan to the next. Without ``rebalance``,
    only urgent changes are made, because every daemon reads each new table.
    """
    if not candidates:
        return None
    draft = TableDraft(table, range_load)
    planner = _Planner(draft, candidates)
    planner.detect_overload(overload_detector, now, rebalance)
    planner.replace_lost_owners(expired)
    planner.fill_new_servers()
    planner.relieve_overloaded_servers()
    if rebalance:
        planner.merge_small_ranges()
    if rebalance or draft.changed:
        draft.merge()
    return draft.table() if draft.changed else None


class _Planner:
    """Changes a draft step by step.

    ``rates`` are the requests per second of each server under the draft. ``weights`` are in
    proportion to the share of the load that each server should have, and ``mean_ratio`` is the rate
    per weight if all servers had just their share.
    """

    __slots__ = ("candidates", "draft", "mean_ratio", "rates", "sustained_overload", "weights")

    def __init__(self, draft: TableDraft, candidates: list[Candidate]) -> None:
        self.draft = draft
        self.candidates = {candidate.incarnation: candidate for candidate in candidates}
        self.sustained_overload: frozenset[ServerIncarnation] = frozenset()
        self.rates = {incarnation: draft.total_rate(incarnation) for incarnation in self.candidates}
        self.weights = _weights(candidates, draft.range_load.prefix_sums[-1])
        self.mean_ratio = draft.range_load.prefix_sums[-1] / sum(self.weights.values())

    def replace_lost_owners(self, expired: frozenset[KeyRange]) -> None:
        """Reassigns the ranges whose owner may not own keys any more, or whose grant has expired.

        They go to the servers with the least load in proportion to their share.
        """
        index = 0
        while index < len(self.draft.assignments):
            assignment = self.draft.assignments[index]
            if assignment.owner not in self.candidates or assignment.keys in expired:
                pieces = self._split(assignment.keys)
                for piece in pieces:
                    self._reassign_lost(index, piece)
                    index += 1
            else:
                index += 1

    def fill_new_servers(self) -> None:
        """Moves keys to each server that has none."""
        owners = {assignment.owner for assignment in self.draft.assignments}
        for incarnation in sorted(self.candidates, key=str):
            if incarnation not in owners:
                self._fill(incarnation)

    def relieve_overloaded_servers(self) -> None:
        """Moves keys from the servers with the most load to those with the least."""
        for _ in range(MAX_MOVES):
            if len(self.draft.assignments) >= len(self.candidates) * MAX_RANGES_PER_SERVER:
                return
            overloaded = [
                incarnation for incarnation in self.candidates if self._is_overloaded(incarnation)
            ]
            if not any(
                self._relieve(incarnation)
                for incarnation in sorted(overloaded, key=self._load_ratio, reverse=True)
            ):
                return

    def merge_small_ranges(self) -> None:
        """Moves small ranges to the owner of an adjacent range when there are many ranges.

        The two ranges become one when the move is completed.
        """
        for _ in range(MAX_MERGES):
            if len(self.draft.assignments) <= len(self.candidates) * TARGET_RANGES_PER_SERVER:
                return
            merges = [
                merge
                for merge in map(self._possible_merge, range(len(self.draft.assignments)))
                if merge
            ]
            if not merges:
                return
            _, index, recipient = min(merges, key=lambda merge: merge[:2])
            donor = self.draft.assignments[index].owner
            self._move(index, self._keys(index), donor, recipient)

    def _possible_merge(self, index: int) -> tuple[float, int, ServerIncarnation] | None:
        """Returns a small range's load, its index, and the owner of an adjacent range.

        Returns None if the range is not small, or if no owner of an adjacent range can take it.
        """
        assignment = self.draft.assignments[index]
        if assignment.previous_holders or assignment.owner not in self.rates:
            return None
        load = self.draft.range_load.total_rate(assignment.keys)
        mean_load = self.draft.range_load.prefix_sums[-1] / len(self.candidates)
        if load > SMALL_RANGE_FRACTION * mean_load or len(assignment.keys) > KEY_COUNT / len(
            self.candidates
        ):
            return None
        recipients = [
            neighbour.owner
            for neighbour in self._neighbours(index)
            if not neighbour.previous_holders
            and neighbour.owner in self.rates
            and neighbour.owner != assignment.owner
            and (self.rates[neighbour.owner] + load) / self.weights[neighbour.owner]
            <= MERGE_LOAD_RATIO * self.mean_ratio
        ]
        if not recipients:
            return None
        return load, index, min(recipients, key=self._load_ratio)

    def _neighbours(self, index: int) -> list[Assignment]:
        before = self.draft.assignments[index - 1 : index] if index else []
        return [*before, *self.draft.assignments[index + 1 : index + 2]]

    def _is_overloaded(self, incarnation: ServerIncarnation) -> bool:
        # The rate of few requests, measured over about one second, is uncertain. Moves that follow
        # its random variations would cost more than they gain.
        rate = self.rates[incarnation]
        if rate < MIN_OVERLOAD_RATE or not self._exceeds_share(incarnation):
            return False
        lower_bound = rate - NOISE_DEVIATIONS * math.sqrt(rate)
        return (
            incarnation in self.sustained_overload
            or lower_bound > OVERLOAD_RATIO * self.mean_ratio * self.weights[incarnation]
        )

    def _exceeds_share(self, incarnation: ServerIncarnation) -> bool:
        """Whether a server's load is higher than its share by ``OVERLOAD_RATIO``."""
        return (
            self.rates[incarnation] > OVERLOAD_RATIO * self.mean_ratio * self.weights[incarnation]
        )

    def detect_overload(self, detector: OverloadDetector, now: float, rebalance: bool) -> None:
        """Updates the detector with the servers whose load exceeds their share in the old table."""
        detector.update(
            frozenset(
                incarnation for incarnation in self.candidates if self._exceeds_share(incarnation)
            ),
            now,
        )
        if rebalance:
            self.sustained_overload = detector.sustained(now)

    def _load_ratio(self, incarnation: ServerIncarnation) -> float:
        """Returns a server's load in proportion to its weight."""
        return self.rates[incarnation] / self.weights[incarnation]

    def _split(self, keys: KeyRange) -> list[KeyRange]:
        """Splits a range into pieces, none with more load than the largest share of a server.

        A piece has more if it cannot be cut, or if it is the rest after ``MAX_MOVES`` cuts.
        """
        max_rate = self.mean_ratio * max(self.weights.values())
        pieces: list[KeyRange] = []
        rest = keys
        while self.draft.range_load.total_rate(rest) > max_rate and len(pieces) < MAX_MOVES:
            piece = _cut_from_start(self.draft.range_load, rest, max_rate / 2)
            if piece is None or piece.last >= rest.last:
                break
            pieces.append(piece)
            rest = KeyRange(piece.last + 1, rest.last)
        return [*pieces, rest]

    def _reassign_lost(self, index: int, keys: KeyRange) -> None:
        """Assigns keys at the start of an assignment to the then least loaded server."""
        rate = self.draft.range_load.total_rate(keys)
        key_fraction = len(keys) / KEY_COUNT
        recipient = min(
            self.candidates,
            key=lambda incarnation: (
                (self.rates[incarnation] + rate) / self.weights[incarnation],
                self._key_fraction_per_capacity(incarnation) + key_fraction,
            ),
        )
        self.draft.reassign(index, keys, recipient)
        self.rates[recipient] += rate

    def _key_fraction_per_capacity(self, incarnation: ServerIncarnation) -> float:
        return sum(
            len(assignment.keys)
            for assignment in self.draft.assignments
            if assignment.owner == incarnation
        ) / (KEY_COUNT * self.candidates[incarnation].capacity)

    def _fill(self, incarnation: ServerIncarnation) -> None:
        donor = max(self.candidates, key=lambda other: (self._load_ratio(other), str(other)))
        indexes = self._movable_ranges(donor)
        if not indexes:
            return
        index = max(indexes, key=lambda found: self._load_and_width(found))
        keys = self.draft.assignments[index].keys
        wanted_rate = self.mean_ratio * self.weights[incarnation] * NEW_SERVER_FRACTION
        wanted_rate = min(wanted_rate, self.rates[donor] * 0.5)
        piece = _cut_from_end(self.draft.range_load, keys, wanted_rate) or _upper_half(keys)
        if piece is None:
            return
        self._move(index, piece, donor, incarnation)

    def _relieve(self, donor: ServerIncarnation) -> bool:
        """Moves one piece away from an overloaded server; returns whether one was moved."""
        target_ratio = self.mean_ratio * TARGET_RATIO
        excess_rate = self.rates[donor] - target_ratio * self.weights[donor]
        spare_rates = {
            incarnation: target_ratio * self.weights[incarnation] - self.rates[incarnation]
            for incarnation in self.candidates
        }
        recipient = max(spare_rates, key=lambda incarnation: spare_rates[incarnation])
        wanted_rate = min(excess_rate, spare_rates[recipient])
        indexes = self._movable_ranges(donor)
        if wanted_rate <= 0 or not indexes:
            return False
        index = max(indexes, key=lambda found: self.draft.range_load.total_rate(self._keys(found)))
        piece = self._cut(self._keys(index), wanted_rate)
        if piece is None:
            return False
        moved_rate = self.draft.range_load.total_rate(piece)
        new_ratio = (self.rates[recipient] + moved_rate) / self.weights[recipient]
        if moved_rate <= 0 or new_ratio >= self._load_ratio(donor):
            return False
        self._move(index, piece, donor, recipient)
        return True

    def _cut(self, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
        """Returns the shorter piece with about the wanted rate from either end of a range."""
        pieces = [
            piece
            for piece in (
                _cut_from_start(self.draft.range_load, keys, wanted_rate),
                _cut_from_end(self.draft.range_load, keys, wanted_rate),
            )
            if piece is not None
        ]
        return min(pieces, key=len, default=None)

    def _move(
        self, index: int, keys: KeyRange, donor: ServerIncarnation, recipient: ServerIncarnation
    ) -> None:
        rate = self.draft.range_load.total_rate(keys)
        self.draft.reassign(index, keys, recipient)
        self.rates[donor] -= rate
        self.rates[recipient] += rate

    def _movable_ranges(self, incarnation: ServerIncarnation) -> list[int]:
        """Returns the indexes of a server's assignments that have no previous holders."""
        return [
            index
            for index, assignment in enumerate(self.draft.assignments)
            if assignment.owner == incarnation and not assignment.previous_holders
        ]

    def _keys(self, index: int) -> KeyRange:
        return self.draft.assignments[index].keys

    def _load_and_width(self, index: int) -> tuple[float, int]:
        keys = self._keys(index)
        return (self.draft.range_load.total_rate(keys), len(keys))


def _weights(candidates: list[Candidate], total_rate: float) -> dict[ServerIncarnation, float]:
    """Returns weights in proportion to the share of the load that each server should have.

    Below full utilization, servers that are faster than the mean get more than in proportion to
    their capacity, because they answer sooner. At full utilization, only the capacity counts.
    """
    total_capacity = sum(candidate.capacity for candidate in candidates)
    mean_capacity = total_capacity / len(candidates)
    spare_fraction = max(0.0, 1.0 - total_rate / total_capacity / FULL_UTILIZATION)
    return {
        candidate.incarnation: candidate.capacity
        * (candidate.capacity / mean_capacity) ** (SPEED_PREFERENCE * spare_fraction)
        for candidate in candidates
    }


def _cut_from_start(range_load: RangeLoad, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
    """Returns keys from the start of a range with about the wanted rate.

    Returns None if that would be the whole range, or if the range has no load.
    """
    index, end = range_load.index_range(keys)
    sum_before = range_load.prefix_sums[index]
    last = None
    while index < end and range_load.prefix_sums[index + 1] - sum_before <= wanted_rate:
        last = range_load.keys[index]
        index += 1
    if last is None:
        last = range_load.keys[index] if index < end else None
    if last is None or last >= keys.last:
        return None
    return KeyRange(keys.first, last)


def _cut_from_end(range_load: RangeLoad, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
    """Returns keys from the end of a range with about the wanted rate.

    Returns None if that would be the whole range, or if the range has no load.
    """
    start, index = range_load.index_range(keys)
    sum_up_to_end = range_load.prefix_sums[index]
    first = None
    while index > start and sum_up_to_end - range_load.prefix_sums[index - 1] <= wanted_rate:
        first = range_load.keys[index - 1]
        index -= 1
    if first is None:
        first = range_load.keys[index - 1] if index > start else None
    if first is None or first <= keys.first:
        return None
    return KeyRange(first, keys.last)


def _upper_half(keys: KeyRange) -> KeyRange | None:
    """Returns the upper half of a range, None if it has a single key."""
    if len(keys) < 2:
        return None
    return KeyRange(keys.first + len(keys) // 2, keys.last)
