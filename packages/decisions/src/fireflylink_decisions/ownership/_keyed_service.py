"""The decider's state of one keyed service, and the choice of the next ownership table."""

from fireflylink_core import DaemonAddress, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._candidate import Candidate
from fireflylink_decisions.ownership._first_tables import (
    first_fence,
    initial_table,
    with_new_fence,
)
from fireflylink_decisions.ownership._grant_timing import (
    former_deciders_may_grant_until,
    former_holds_expire_at,
)
from fireflylink_decisions.ownership._grant_tracker import GrantTracker
from fireflylink_decisions.ownership._key_load import KeyLoad, RangeLoad
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._planner import plan_table
from fireflylink_decisions.ownership._service_time_estimates import ServiceTimeEstimates

INITIAL_TABLE_DELAY_SECONDS = 1.5
"""Time after the last server joined, in which further servers can register before the initial
table is planned."""

COMPLETED_MOVES_DELAY_SECONDS = 2.0
"""The previous holders of completed moves are removed from the table after this time, unless
another change is written before."""

UNREACHABLE_FAILURES = 3
"""A server with so many failed commands in a row counts as unreachable."""

REBALANCE_INTERVAL_SECONDS = 1.5
"""Changes that are not urgent (see ``plan_table``) are planned together at this interval."""


class KeyedService:
    """The decider's state of one keyed service: only the owner of a request's key may run it.

    ``revision`` is that of the service's record in the store, whose table may be older than
    ``table`` after the store was restored. ``minimum_fence`` is the first fence of the store's
    present era. ``former_decider`` is the decider that wrote the table which this one took over,
    None if it is known to have stepped down or if there may be others; deciders before that one
    send no grants from ``earlier_deciders_end_at`` on. ``unacknowledged_tables`` are the tables
    whose write has no known result so far. ``commit_sent_at`` is when the write of the last planned
    table was sent, None when no new plan has to wait for its result.
    ``consecutive_failures`` counts, for each server, the failed commands since the last one that
    succeeded. ``completed_moves_since`` is when the table was last found to have no completed
    moves, or when it was last replaced to remove them.
    """

    __slots__ = (
        "commit_sent_at",
        "completed_moves_since",
        "consecutive_failures",
        "earlier_deciders_end_at",
        "former_decider",
        "grant_tracker",
        "load",
        "minimum_fence",
        "name",
        "next_plan_at",
        "next_rebalance_at",
        "overload_detector",
        "requests_per_second",
        "revision",
        "service_times",
        "table",
        "table_first_seen_at",
        "unacknowledged_tables",
    )

    def __init__(self, name: str, now: float) -> None:
        self.table: OwnershipTable | None = None
        self.revision = 0
        self.name = name
        self.minimum_fence = first_fence(0)
        self.former_decider: DaemonAddress | None = None
        self.earlier_deciders_end_at = 0.0
        self.unacknowledged_tables: list[OwnershipTable] = []
        self.table_first_seen_at = now
        self.grant_tracker: GrantTracker | None = None
        self.load = KeyLoad(name, now)
        self.service_times = ServiceTimeEstimates()
        self.overload_detector = OverloadDetector()
        self.completed_moves_since = now
        self.next_plan_at = 0.0
        self.next_rebalance_at = 0.0
        self.requests_per_second = 0.0
        self.commit_sent_at: float | None = None
        self.consecutive_failures: dict[ServerIncarnation, int] = {}

    def record_stored_table(self, table: OwnershipTable, revision: int, now: float) -> None:
        """Records the table in the store; a newer one that the store has lost stays in use."""
        self.revision = revision
        if self.table is not None and table.fence < self.table.fence:
            return
        if table != self.table:
            self.table_first_seen_at = now
        self.table = table

    def start_deciding(
        self,
        stored: OwnershipTable | None,
        revision: int,
        tracker: GrantTracker,
        era: int,
        era_seen_at: float,
        now: float,
    ) -> None:
        """Starts to plan from the stored table and the newest one that this daemon knows.

        ``stored`` is None if the store has none; ``revision`` is then that of an absent record.
        ``tracker`` is a new one, or the present one if this daemon was the decider all the while.
        If tables of an earlier era may be lost, their holders are waited for. ``era_seen_at`` is
        when this daemon first knew of the present era: the store has confirmed no decider of an
        earlier one since.
        """
        self.revision = revision
        if stored is not None:
            self.record_stored_table(stored, revision, now)
        is_uninterrupted = tracker is self.grant_tracker
        self.grant_tracker = tracker
        self.minimum_fence = first_fence(era)
        self.commit_sent_at = None
        self.unacknowledged_tables = []
        self.next_plan_at = 0.0
        if not is_uninterrupted:
            self.consecutive_failures = {}
            self.load = KeyLoad(self.name, now)
        if self.may_have_lost_tables(era):
            # Another daemon may have been the decider in the time that the store has lost, or an
            # earlier sweep may not be done: then there are other holds than this daemon's own.
            knows_all_holders = is_uninterrupted and tracker.has_unexpired_grants(now)
            expires_at = former_holds_expire_at(era_seen_at, tracker.max_hold_seconds)
            tracker.start_sweep(expires_at, knows_all_holders)
            self.former_decider = None
        elif not is_uninterrupted:
            self._inherit_decider()

    def record_former_decider_stopped(self, now: float) -> None:
        """Records that the decider which wrote the table that was taken over has stepped down."""
        self.former_decider = None
        if self.grant_tracker is not None:
            ends_at = max(now, self.earlier_deciders_end_at)
            self.grant_tracker.record_former_deciders_end(ends_at)

    def _inherit_decider(self) -> None:
        """Finds the deciders that may still grant keys when this daemon is elected.

        A decider writes a table before it grants any keys, so besides the writer of the table only
        those can that were deciders before it.
        """
        self.former_decider = None
        if self.table is None:
            return
        self.former_decider = self.table.writer
        self.earlier_deciders_end_at = (
            0.0
            if self.table.written_by_sole_decider
            else former_deciders_may_grant_until(self.table_first_seen_at)
        )

    @property
    def can_grant(self) -> bool:
        """Whether the store has acknowledged a table of this decider."""
        return self.grant_tracker is not None and self.grant_tracker.table is not None

    def may_have_lost_tables(self, era: int) -> bool:
        """Whether the store may have lost tables that are newer than the one in use."""
        if self.table is None:
            return era > 0
        return self.table.fence < first_fence(era) or self.table.has_unknown_holders

    def record_command_succeeded(self, server: ServerIncarnation) -> None:
        """Records that a server carried out a command."""
        self.consecutive_failures.pop(server, None)

    def record_command_failed(self, server: ServerIncarnation) -> None:
        """Records that a server did not carry out a command."""
        self.consecutive_failures[server] = self.consecutive_failures.get(server, 0) + 1

    def is_reachable(self, server: ServerIncarnation) -> bool:
        """Whether fewer than ``UNREACHABLE_FAILURES`` commands to a server failed in a row."""
        return self.consecutive_failures.get(server, 0) < UNREACHABLE_FAILURES

    def ranges_pending_removal(self) -> frozenset[tuple[KeyRange, int]]:
        """Returns the ranges, with their fences, that an unacknowledged table does not have.

        Each of the unacknowledged tables may be the one that the store has: a range that is absent
        from any of them is not renewed.
        """
        if not self.unacknowledged_tables or self.table is None:
            return frozenset()
        current = {(assignment.keys, assignment.fence) for assignment in self.table.assignments}
        pending: set[tuple[KeyRange, int]] = set()
        for table in self.unacknowledged_tables:
            pending |= current - {
                (assignment.keys, assignment.fence) for assignment in table.assignments
            }
        return frozenset(pending)

    def next_table(
        self, candidates: list[Candidate], joined_at: float, now: float
    ) -> OwnershipTable | None:
        """Returns the table to write now, None when the current one needs no change.

        ``joined_at`` is when the last server joined.
        """
        if self.table is None:
            if not candidates or now < joined_at + INITIAL_TABLE_DELAY_SECONDS:
                return None
            return initial_table(self.name, candidates, self.minimum_fence)
        tracker = self.grant_tracker
        if tracker is None:
            return None
        if tracker.table is None or self.table.fence < self.minimum_fence:
            if tracker.sweep is None:
                tracker.record_former_table(self.table, self.table_first_seen_at)
            return with_new_fence(self.table, self.minimum_fence)
        if tracker.sweep is not None:
            return None
        return self._changed_table(self.table, tracker, candidates, now)

    def _changed_table(
        self, table: OwnershipTable, tracker: GrantTracker, candidates: list[Candidate], now: float
    ) -> OwnershipTable | None:
        """Returns the table with the changes that are due, None if there are none."""
        range_load = RangeLoad(self.load.sorted_rates(now))
        self.requests_per_second = range_load.prefix_sums[-1]
        without_completed_moves = tracker.table_without_completed_moves()
        if without_completed_moves is None:
            self.completed_moves_since = now
        expired = tracker.expired_ranges(now)
        # Before that, keys that are taken from a server would be without an owner.
        may_move_held_keys = tracker.is_sole_decider(now)
        rebalance = may_move_held_keys and now >= self.next_rebalance_at
        if rebalance:
            self.next_rebalance_at = now + REBALANCE_INTERVAL_SECONDS
        current = without_completed_moves or table
        planned = plan_table(
            current,
            candidates,
            range_load,
            self.overload_detector,
            now,
            expired,
            rebalance,
            may_move_held_keys,
        )
        if planned is not None or table.has_unknown_holders:
            return planned or current.replace(has_unknown_holders=False)
        if (
            without_completed_moves is None
            or now < self.completed_moves_since + COMPLETED_MOVES_DELAY_SECONDS
        ):
            return None
        # The delay starts again, so that moves that complete one after the other are written
        # together: every daemon reads each table.
        self.completed_moves_since = now
        return without_completed_moves
