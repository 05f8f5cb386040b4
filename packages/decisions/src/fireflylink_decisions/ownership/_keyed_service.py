"""What the decider knows of one service with keys, and which table it wants."""

from fireflylink_core import KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._grant_tracker import GrantTracker, with_new_fence
from fireflylink_decisions.ownership._key_load import KeyLoad, RangeLoad
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._plan_values import Candidate
from fireflylink_decisions.ownership._planner import initial_table, plan_table
from fireflylink_decisions.ownership._service_time_estimates import ServiceTimeEstimates

FIRST_TABLE_SECONDS = 1.5
"""Time for servers to register before the first table of a service."""

SETTLE_SECONDS = 2.0
"""Moves that have ended are written down after this time, unless another change comes before."""

UNREACHABLE_FAILURES = 3
"""After so many commands without an answer a server is taken for one that cannot be reached."""

REBALANCE_SECONDS = 1.5
"""Changes that are not urgent are gathered for so long."""


class KeyedService:
    """What the decider knows of one service with keys.

    ``unacknowledged_tables`` are tables whose writing was not answered, ``revision`` is that of the
    table's record, ``consecutive_failures`` counts the commands that each server did not answer
    since its last answer.
    """

    __slots__ = (
        "commit_sent_at",
        "consecutive_failures",
        "grants",
        "load",
        "name",
        "next_plan_at",
        "next_rebalance_at",
        "overload_detector",
        "requests_per_second",
        "revision",
        "seen_at",
        "service_times",
        "settled_at",
        "table",
        "table_first_seen_at",
        "unacknowledged_tables",
    )

    def __init__(self, name: str, now: float) -> None:
        self.table: OwnershipTable | None = None
        self.revision = 0
        self.name = name
        self.unacknowledged_tables: list[OwnershipTable] = []
        self.table_first_seen_at = now
        self.grants: GrantTracker | None = None
        self.load = KeyLoad(name, now)
        self.seen_at = now
        self.service_times = ServiceTimeEstimates()
        self.overload_detector = OverloadDetector()
        self.settled_at = now
        self.next_plan_at = 0.0
        self.next_rebalance_at = 0.0
        self.requests_per_second = 0.0
        self.commit_sent_at: float | None = None
        self.consecutive_failures: dict[ServerIncarnation, int] = {}

    def record_answer(self, server: ServerIncarnation) -> None:
        """Takes note that a server answered a command."""
        self.consecutive_failures.pop(server, None)

    def record_no_answer(self, server: ServerIncarnation) -> None:
        """Records that a server did not carry out a command."""
        self.consecutive_failures[server] = self.consecutive_failures.get(server, 0) + 1

    def is_reachable(self, server: ServerIncarnation) -> bool:
        """Whether a server may be given keys, as far as its answers tell."""
        return self.consecutive_failures.get(server, 0) < UNREACHABLE_FAILURES

    def suspended_ranges(self) -> frozenset[tuple[KeyRange, int]]:
        """Returns the ranges that a table takes away whose writing was not answered yet."""
        if not self.unacknowledged_tables or self.table is None:
            return frozenset()
        present = {(found.keys, found.fence) for found in self.table.assignments}
        for table in self.unacknowledged_tables:
            present -= {(found.keys, found.fence) for found in table.assignments}
        return frozenset(present)

    def next_table(
        self, candidates: list[Candidate], joined_at: float, now: float
    ) -> OwnershipTable | None:
        """Returns the table to write now, None when the present one is good enough.

        ``joined_at`` is when the last server joined: the first table waits for the others.
        """
        if self.table is None and not candidates:
            return None
        if self.table is None:
            if now < joined_at + FIRST_TABLE_SECONDS:
                return None
            return initial_table(self.name, candidates, fence=1)
        if self.grants is not None and self.grants.table is None:
            self.grants.record_former_table(self.table, self.table_first_seen_at)
            return with_new_fence(self.table)
        rates = RangeLoad(self.load.sorted_rates(now))
        self.requests_per_second = rates.prefix_sums[-1]
        settled = self.grants.settled_table() if self.grants is not None else None
        if settled is None:
            self.settled_at = now
        lapsed = self.grants.expired_ranges(now) if self.grants is not None else frozenset()
        rebalance = now >= self.next_rebalance_at
        if rebalance:
            self.next_rebalance_at = now + REBALANCE_SECONDS
        present = settled or self.table
        changed = plan_table(
            present, candidates, rates, self.overload_detector, now, lapsed, rebalance
        )
        if changed is not None:
            return changed
        if settled is None or now < self.settled_at + SETTLE_SECONDS:
            return None
        # Moves that end one after the other are gathered again: every daemon reads each table.
        self.settled_at = now
        return settled
