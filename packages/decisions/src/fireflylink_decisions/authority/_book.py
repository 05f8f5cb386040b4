"""The authority that a daemon holds for each table."""

from fireflylink_core import AuthorityReport, BaseValue
from fireflylink_decisions.authority._timing import CLOCK_DRIFT, GRANT_TERM

MILLISECONDS_PER_SECOND = 1000.0


class Authority(BaseValue):
    """Permission to act on a table version until a deadline, in seconds on the local clock."""

    __slots__ = ("by_majority", "deadline", "table_id", "version")

    def __init__(self, table_id: str, version: int, deadline: float, by_majority: bool) -> None:
        self.table_id = table_id
        self.version = version
        self.deadline = deadline
        self.by_majority = by_majority


class AuthorityBook:
    """Collects authority from rounds, from the platform and from a parent.

    A record may be acted on under authority for its table whose version is at least the record's
    ``changed_version``, so a record that did not change stays usable while a newer version spreads.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, list[Authority]] = {}

    def add(self, authority: Authority, now: float) -> None:
        """Adds authority and drops what has ended or is covered by the new one."""
        kept = [
            entry
            for entry in self._entries.get(authority.table_id, [])
            if entry.deadline > now and not _covers(authority, entry)
        ]
        if not any(_covers(entry, authority) for entry in kept):
            kept.append(authority)
        self._entries[authority.table_id] = kept

    def add_report(self, report: AuthorityReport, sent: float, now: float) -> None:
        """Adds authority that a parent reported in the reply to a request sent at ``sent``."""
        remaining = report.remaining_ms / MILLISECONDS_PER_SECOND
        if 0 < remaining <= GRANT_TERM:
            deadline = sent + remaining * (1 - CLOCK_DRIFT)
            authority = Authority(report.table_id, report.version, deadline, report.by_majority)
            self.add(authority, now)

    def deadline(
        self, table_id: str, changed_version: int, held_version: int, by_majority: bool = False
    ) -> float:
        """Returns until when a record may be acted on; in the past if not at all.

        Authority above the version held here does not count: that version may have given the
        record's shard to another owner.
        """
        latest = 0.0
        for entry in self._entries.get(table_id, ()):
            usable = changed_version <= entry.version <= held_version
            if usable and entry.deadline > latest and (entry.by_majority or not by_majority):
                latest = entry.deadline
        return latest

    def entries(self, table_id: str) -> tuple[Authority, ...]:
        """Returns the authority held for a table."""
        return tuple(self._entries.get(table_id, []))

    def snapshot(self) -> "AuthorityBook":
        """Returns a copy that later changes of this book do not touch."""
        copy = AuthorityBook()
        copy._entries = {table_id: list(entries) for table_id, entries in self._entries.items()}
        return copy


def _covers(one: Authority, other: Authority) -> bool:
    return (
        one.version >= other.version
        and one.deadline >= other.deadline
        and (one.by_majority or not other.by_majority)
    )
