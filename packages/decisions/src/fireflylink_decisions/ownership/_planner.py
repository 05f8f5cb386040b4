"""Assignment of keys to servers: lost owners, servers that joined, balance of the load.

Load is a rate of requests per second, and a server's share is the part of all load that it should
have.

Keys with much load are close to each other and change within seconds, so ranges are cut by measured
load. A piece is cut from an end of a range, which keeps the number of ranges small, and with it the
number of renewals. As a trade-off, a piece may include some keys without load.
"""

import math

from fireflylink_core import (
    KEY_COUNT,
    Assignment,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_decisions.ownership._candidate import Candidate
from fireflylink_decisions.ownership._key_load import RangeLoad
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._range_cuts import (
    cut_from_end,
    cut_from_start,
    trim,
    upper_half,
)
from fireflylink_decisions.ownership._server_weights import server_weights
from fireflylink_decisions.ownership._table_draft import TableDraft

MIN_OVERLOAD_REQUESTS_PER_SECOND = 1.5
"""A server with fewer requests per second is not relieved: the measured rate of so few requests is
uncertain, and a move would gain nothing."""

MIN_RELIEVED_UTILIZATION = 0.45
"""A server with less load than this fraction of its capacity is not relieved, whatever its share:
requests hardly queue at it, and keys that change hands cost more than the move gains."""

OVERLOAD_FACTOR = 1.3
"""A server is relieved when its load is higher than this multiple of its share."""

RELIEF_TARGET_FACTOR = 1.1
"""Moves relieve a server down to this multiple of its share, and load another one up to it."""

NOISE_DEVIATIONS = 1.5
"""Standard deviations that are subtracted from a measured rate before it counts as too high."""

MAX_CUTS = 10
"""Limit of the pieces that are cut off to relieve servers in one plan, and of those that are cut
off one range whose owner is lost or whose grant has expired."""

MAX_MEAN_RANGES_PER_SERVER = 5
"""When the mean number of ranges per server has reached this limit, no more are cut to relieve
servers."""

TARGET_MEAN_RANGES_PER_SERVER = 2.0
"""When the mean number of ranges per server is higher, small ones are moved to the owner of an
adjacent range and merged with it: each range costs a renewal per second."""

MIN_TRIMMED_KEYS = 512
"""With fewer keys to save, a piece is not trimmed: the two ranges more cost renewals."""

MAX_SMALL_RANGE_MOVES = 2
"""Limit of the small ranges that are moved to the owner of an adjacent one in one plan."""

NEIGHBOUR_LOAD_FACTOR = 1.2
"""Limit of the load of a server after it takes over a small range, as a multiple of its share."""

SMALL_RANGE_FRACTION = 0.2
"""Only ranges with at most this fraction of the mean load of a server, and with at most the mean
number of keys, are moved to the owner of an adjacent range."""

NEW_SERVER_SHARE_FRACTION = 0.7
"""A server without keys is given a piece of a range with about this fraction of its share of the
load, or less."""


def plan_table(
    table: OwnershipTable,
    candidates: list[Candidate],
    range_load: RangeLoad,
    overload_detector: OverloadDetector,
    now: float,
    expired: frozenset[KeyRange] = frozenset(),
    rebalance: bool = True,
    may_move_held_keys: bool = True,
) -> OwnershipTable | None:
    """Returns a changed table under a new fence, None when the present one needs no change.

    Urgent changes are planned in every call: ranges whose owner is lost or whose grant has expired
    are reassigned, servers without keys are given some, and servers are relieved whose load exceeds
    their share by a large amount. With ``rebalance``, servers are also relieved of a smaller excess
    that is sustained, and small ranges are moved to the owner of an adjacent range and merged.
    These changes are made together, because every daemon reads each new table.

    Without ``may_move_held_keys``, only ranges whose owner is lost or whose grant has expired are
    reassigned: a former decider may still grant keys, and those that a server releases could not be
    granted to another one before that has ended.

    The grants of the ranges in ``expired`` have expired: they get a new fence even if their owner
    stays. ``overload_detector`` keeps its state from one plan to the next.
    """
    if not candidates:
        return None
    draft = TableDraft(table, range_load)
    planner = _Planner(draft, candidates)
    planner.detect_overload(overload_detector, now, rebalance)
    planner.reassign_lost_and_expired_ranges(expired)
    if may_move_held_keys:
        planner.give_keys_to_new_servers()
        planner.relieve_overloaded_servers()
    if rebalance:
        # A range that was moved to its neighbour's owner before is merged first; otherwise it would
        # be moved back to its other neighbour's.
        draft.merge()
        planner.move_small_ranges_to_neighbours()
    if rebalance or draft.changed:
        draft.merge()
    return draft.table() if draft.changed else None


class _Planner:
    """Changes a draft step by step.

    ``rates`` are the requests per second of each server under the draft. ``weights`` are in
    proportion to the share of the load that each server should have, and ``fair_rate_per_weight``
    is the request rate per weight if all servers had just their share.
    """

    __slots__ = (
        "candidates",
        "draft",
        "fair_rate_per_weight",
        "rates",
        "sustained_overload",
        "weights",
    )

    def __init__(self, draft: TableDraft, candidates: list[Candidate]) -> None:
        self.draft = draft
        self.candidates = {candidate.incarnation: candidate for candidate in candidates}
        self.sustained_overload: frozenset[ServerIncarnation] = frozenset()
        self.rates = {incarnation: draft.total_rate(incarnation) for incarnation in self.candidates}
        self.weights = server_weights(candidates, draft.range_load.prefix_sums[-1])
        self.fair_rate_per_weight = draft.range_load.prefix_sums[-1] / sum(self.weights.values())

    def reassign_lost_and_expired_ranges(self, expired: frozenset[KeyRange]) -> None:
        """Reassigns the ranges whose owner may not own keys any more, or whose grant has expired.

        They go to the servers with the least load in proportion to their share.
        """
        index = 0
        while index < len(self.draft.assignments):
            assignment = self.draft.assignments[index]
            if assignment.owner not in self.candidates or assignment.keys in expired:
                pieces = self._split(assignment.keys)
                for piece in pieces:
                    self._reassign_to_least_loaded(index, piece)
                    index += 1
            else:
                index += 1

    def give_keys_to_new_servers(self) -> None:
        """Moves a piece of the most loaded server's ranges to each server that has no keys."""
        owners = {assignment.owner for assignment in self.draft.assignments}
        for incarnation in sorted(self.candidates, key=str):
            if incarnation not in owners:
                self._give_keys_to(incarnation)

    def relieve_overloaded_servers(self) -> None:
        """Moves keys from the servers with the most load to those with the least."""
        for _ in range(MAX_CUTS):
            if len(self.draft.assignments) >= len(self.candidates) * MAX_MEAN_RANGES_PER_SERVER:
                return
            overloaded = [
                incarnation for incarnation in self.candidates if self._is_overloaded(incarnation)
            ]
            if not any(
                self._relieve(incarnation)
                for incarnation in sorted(overloaded, key=self._rate_per_weight, reverse=True)
            ):
                return

    def move_small_ranges_to_neighbours(self) -> None:
        """Moves small ranges to the owner of an adjacent range when there are many ranges.

        ``TableDraft.merge`` makes them one range in a later plan, when the move is completed.
        """
        for _ in range(MAX_SMALL_RANGE_MOVES):
            if len(self.draft.assignments) <= len(self.candidates) * TARGET_MEAN_RANGES_PER_SERVER:
                return
            moves = [
                move
                for move in map(self._possible_small_range_move, range(len(self.draft.assignments)))
                if move
            ]
            if not moves:
                return
            _, index, recipient = min(moves, key=lambda move: move[:2])
            donor = self.draft.assignments[index].owner
            self._move(index, self._keys(index), donor, recipient)

    def _possible_small_range_move(self, index: int) -> tuple[float, int, ServerIncarnation] | None:
        """Returns a small range's load, its index, and the owner of an adjacent range.

        Returns None if the range is not small, or if no owner of an adjacent range can take it.
        """
        assignment = self.draft.assignments[index]
        if assignment.previous_holders or assignment.owner not in self.rates:
            return None
        if self._is_only_range(assignment.owner):
            # Its owner would be given other keys at once.
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
            <= NEIGHBOUR_LOAD_FACTOR * self.fair_rate_per_weight
        ]
        if not recipients:
            return None
        return load, index, min(recipients, key=self._rate_per_weight)

    def _is_only_range(self, owner: ServerIncarnation) -> bool:
        return sum(assignment.owner == owner for assignment in self.draft.assignments) == 1

    def _neighbours(self, index: int) -> list[Assignment]:
        before = self.draft.assignments[index - 1 : index] if index else []
        return [*before, *self.draft.assignments[index + 1 : index + 2]]

    def _is_overloaded(self, incarnation: ServerIncarnation) -> bool:
        # The rate of few requests, measured over about one second, is uncertain. Moves that follow
        # its random variations would cost more than they gain.
        rate = self.rates[incarnation]
        if rate < MIN_OVERLOAD_REQUESTS_PER_SECOND or not self._exceeds_share(incarnation):
            return False
        if rate < MIN_RELIEVED_UTILIZATION * self.candidates[incarnation].capacity:
            return False
        lower_bound = rate - NOISE_DEVIATIONS * math.sqrt(rate)
        return (
            incarnation in self.sustained_overload
            or lower_bound > OVERLOAD_FACTOR * self.fair_rate_per_weight * self.weights[incarnation]
        )

    def _exceeds_share(self, incarnation: ServerIncarnation) -> bool:
        """Whether a server's load is higher than ``OVERLOAD_FACTOR`` times its share."""
        return (
            self.rates[incarnation]
            > OVERLOAD_FACTOR * self.fair_rate_per_weight * self.weights[incarnation]
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

    def _rate_per_weight(self, incarnation: ServerIncarnation) -> float:
        """Returns a server's request rate divided by its weight."""
        return self.rates[incarnation] / self.weights[incarnation]

    def _split(self, keys: KeyRange) -> list[KeyRange]:
        """Splits a range into pieces, none with more load than the largest share of a server.

        Pieces are cut off with about half of that load. A piece has more than the largest share if
        it cannot be cut, or if it is the rest after ``MAX_CUTS`` cuts.
        """
        max_rate = self.fair_rate_per_weight * max(self.weights.values())
        pieces: list[KeyRange] = []
        rest = keys
        while self.draft.range_load.total_rate(rest) > max_rate and len(pieces) < MAX_CUTS:
            piece = cut_from_start(self.draft.range_load, rest, max_rate / 2)
            if piece is None or piece.last >= rest.last:
                break
            pieces.append(piece)
            rest = KeyRange(piece.last + 1, rest.last)
        return [*pieces, rest]

    def _reassign_to_least_loaded(self, index: int, keys: KeyRange) -> None:
        """Assigns keys at the start of an assignment to the server that is the least loaded now."""
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

    def _give_keys_to(self, incarnation: ServerIncarnation) -> None:
        """Moves a piece of the most loaded server's ranges, with at most about half of its load."""
        donor = max(self.candidates, key=lambda other: (self._rate_per_weight(other), str(other)))
        indexes = self._movable_ranges(donor)
        if not indexes:
            return
        index = max(indexes, key=lambda range_index: self._load_and_width(range_index))
        keys = self.draft.assignments[index].keys
        wanted_rate = (
            self.fair_rate_per_weight * self.weights[incarnation] * NEW_SERVER_SHARE_FRACTION
        )
        wanted_rate = min(wanted_rate, self.rates[donor] * 0.5)
        piece = cut_from_end(self.draft.range_load, keys, wanted_rate) or upper_half(keys)
        if piece is None:
            return
        self._move(index, piece, donor, incarnation)

    def _relieve(self, donor: ServerIncarnation) -> bool:
        """Moves one piece away from an overloaded server; returns whether one was moved."""
        target_rate_per_weight = self.fair_rate_per_weight * RELIEF_TARGET_FACTOR
        excess_rate = self.rates[donor] - target_rate_per_weight * self.weights[donor]
        spare_rates = {
            incarnation: target_rate_per_weight * self.weights[incarnation]
            - self.rates[incarnation]
            for incarnation in self.candidates
        }
        recipient = max(spare_rates, key=lambda incarnation: spare_rates[incarnation])
        wanted_rate = min(excess_rate, spare_rates[recipient])
        indexes = self._movable_ranges(donor)
        if wanted_rate <= 0 or not indexes:
            return False
        index = max(
            indexes,
            key=lambda range_index: self.draft.range_load.total_rate(self._keys(range_index)),
        )
        piece = self._cut(self._keys(index), wanted_rate)
        if piece is None:
            return False
        # A piece from the middle of a range makes two more ranges. With too many, small ones would
        # be moved and merged again.
        max_ranges = len(self.candidates) * TARGET_MEAN_RANGES_PER_SERVER
        if len(self.draft.assignments) + 2 <= max_ranges:
            trimmed = trim(self.draft.range_load, piece)
            if len(piece) - len(trimmed) >= MIN_TRIMMED_KEYS:
                piece = trimmed
        moved_rate = self.draft.range_load.total_rate(piece)
        new_rate_per_weight = (self.rates[recipient] + moved_rate) / self.weights[recipient]
        if moved_rate <= 0 or new_rate_per_weight >= self._rate_per_weight(donor):
            return False
        self._move(index, piece, donor, recipient)
        return True

    def _cut(self, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
        """Returns the shorter piece with about the wanted rate from either end of a range."""
        pieces = [
            piece
            for piece in (
                cut_from_start(self.draft.range_load, keys, wanted_rate),
                cut_from_end(self.draft.range_load, keys, wanted_rate),
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
