"""What the control task tells the other tasks of a daemon."""

from collections.abc import Mapping

from fireflylink_core import (
    BaseValue,
    Configuration,
    CrashReport,
    Member,
    OwnershipTable,
)
from fireflylink_decisions.authority import AuthorityBook
from fireflylink_decisions.ownership import Routes


class View(BaseValue):
    """A consistent picture of configuration, ownership, authority and members.

    A new view is made when something changes; a view itself is never modified. ``settled`` gives
    the settled version of each table, 0 when it is not known.
    """

    __slots__ = (
        "book",
        "configuration",
        "crashes",
        "leaving",
        "members",
        "root",
        "routes",
        "settled",
        "tables",
    )

    def __init__(
        self,
        configuration: Configuration,
        tables: Mapping[str, OwnershipTable],
        routes: Routes,
        book: AuthorityBook,
        settled: Mapping[str, int],
        members: Mapping[str, Member],
        crashes: tuple[CrashReport, ...],
        root: str,
        leaving: bool,
    ) -> None:
        self.configuration = configuration
        self.tables = tables
        self.routes = routes
        self.book = book
        self.settled = settled
        self.members = members
        self.crashes = crashes
        self.root = root
        self.leaving = leaving
