"""What the decider knows of one service with keys, and which table it wants."""

from fireflylink_core import KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._busy_watch import BusyWatch
from fireflylink_decisions.ownership._grant_book import GrantBook, refenced
from fireflylink_decisions.ownership._key_load import KeyLoad, RangeLoad
from fireflylink_decisions.ownership._plan_values import Candidate
from fireflylink_decisions.ownership._planner import first_table, plan
from fireflylink_decisions.ownership._service_times import ServiceTimes

FIRST_TABLE_SECONDS = 1.5
"""Time for servers to register before the first table of a service."""

SETTLE_SECONDS = 2.0
"""Moves that have ended are written down after this time, unless another change comes before."""

UNREACHABLE_FAILURES = 3
"""After so many commands without an answer a server is taken for one that cannot be reached."""

TIDY_SECONDS = 1.5
"""Changes that are not urgent are gathered for so long."""


class KeyedService:
    """What the decider knows of one service with keys.

    ``asked`` are tables whose writing was not answered, ``revision`` is that of the table's record,
    ``failures`` counts the commands that each server did not answer since its last answer.
    """

    __slots__ = (
        "asked",
        "book",
        "commit_asked_at",
        "failures",
        "load",
        "name",
        "next_plan",
        "next_tidy",
        "requests_per_second",
        "revision",
        "seen_at",
        "seen_table_at",
        "settled_at",
        "table",
        "times",
        "watch",
    )

    def __init__(self, name: str, now: float) -> None:
        self.table: OwnershipTable | None = None
        self.revision = 0
        self.name = name
        self.asked: list[OwnershipTable] = []
        self.seen_table_at = now
        self.book: GrantBook | None = None
        self.load = KeyLoad(name, now)
        self.seen_at = now
        self.times = ServiceTimes()
        self.watch = BusyWatch()
        self.settled_at = now
        self.next_plan = 0.0
        self.next_tidy = 0.0
        self.requests_per_second = 0.0
        self.commit_asked_at: float | None = None
        self.failures: dict[ServerIncarnation, int] = {}

    def note_answered(self, server: ServerIncarnation) -> None:
        """Takes note that a server answered a command."""
        self.failures.pop(server, None)

    def note_unanswered(self, server: ServerIncarnation) -> None:
        """Takes note that a server did not do what it was told."""
        self.failures[server] = self.failures.get(server, 0) + 1

    def is_reachable(self, server: ServerIncarnation) -> bool:
        """Whether a server may be given keys, as far as its answers tell."""
        return self.failures.get(server, 0) < UNREACHABLE_FAILURES

    def suspended(self) -> frozenset[tuple[KeyRange, int]]:
        """Returns the ranges that a table takes away whose writing was not answered yet."""
        if not self.asked or self.table is None:
            return frozenset()
        present = {(found.keys, found.fence) for found in self.table.assignments}
        for table in self.asked:
            present -= {(found.keys, found.fence) for found in table.assignments}
        return frozenset(present)

    def wanted_table(
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
            return first_table(self.name, candidates, fence=1)
        if self.book is not None and self.book.table is None:
            self.book.note_former_table(self.table, self.seen_table_at)
            return refenced(self.table)
        rates = RangeLoad(self.load.sorted_rates(now))
        self.requests_per_second = rates.sums[-1]
        settled = self.book.settled() if self.book is not None else None
        if settled is None:
            self.settled_at = now
        lapsed = self.book.lapsed(now) if self.book is not None else frozenset()
        tidy = now >= self.next_tidy
        if tidy:
            self.next_tidy = now + TIDY_SECONDS
        present = settled or self.table
        changed = plan(present, candidates, rates, self.watch, now, lapsed, tidy)
        if changed is not None:
            return changed
        if settled is None or now < self.settled_at + SETTLE_SECONDS:
            return None
        # Moves that end one after the other are gathered again: every daemon reads each table.
        self.settled_at = now
        return settled
