"""Messages between the tasks of a daemon."""

from fireflylink_backend_client import CommandError
from fireflylink_core import OwnershipTable
from fireflylink_decisions.ownership import BaseCommand
from fireflylink_protocol import LoadReport, MemberRecord
from fireflylink_store import BaseUpdate


class UpdatesRead:
    """Updates that were read from the store. ``whole`` tells that they are all there are."""

    __slots__ = ("revision", "updates", "whole")

    def __init__(self, updates: tuple[BaseUpdate, ...], revision: int, whole: bool) -> None:
        self.updates = updates
        self.revision = revision
        self.whole = whole


class Leave:
    """The daemon is about to end: give up what it holds in the store."""

    __slots__ = ()


class StoreLost:
    """The store stopped to answer this daemon."""

    __slots__ = ("problem",)

    def __init__(self, problem: str) -> None:
        self.problem = problem


class StoreDoubted:
    """Whether the last call to the store, other than reading, failed."""

    __slots__ = ("doubted",)

    def __init__(self, doubted: bool) -> None:
        self.doubted = doubted


class MemberMissing:
    """The store no longer has this daemon's member record."""

    __slots__ = ()


class StoreReached:
    """The store answers this daemon."""

    __slots__ = ()


class TableChanged:
    """The store holds a new ownership table. ``revision`` is that of its record.

    ``first`` tells that this daemon wrote it and that the service had none before.
    """

    __slots__ = ("first", "revision", "table")

    def __init__(self, table: OwnershipTable, revision: int, first: bool = False) -> None:
        self.first = first
        self.table = table
        self.revision = revision


class TableRefused:
    """The store certainly did not take a table, and will not."""

    __slots__ = ("table",)

    def __init__(self, table: OwnershipTable) -> None:
        self.table = table


class DeciderChanged:
    """The decider record was written or removed; ``member`` is None when there is none."""

    __slots__ = ("member", "revision")

    def __init__(self, member: MemberRecord | None, revision: int) -> None:
        self.member = member
        self.revision = revision


class DeciderWon:
    """This daemon is the decider; it asked the store for that at ``asked_at``."""

    __slots__ = ("asked_at",)

    def __init__(self, asked_at: float) -> None:
        self.asked_at = asked_at


class DeciderLost:
    """This daemon is not the decider any more."""

    __slots__ = ()


class ServersChanged:
    """Servers joined, left or changed their state."""

    __slots__ = ()


class ReportReceived:
    """Another daemon, or this one, reported the keys that it was asked for."""

    __slots__ = ("report",)

    def __init__(self, report: LoadReport) -> None:
        self.report = report


class CommandDue:
    """A grant or release is to be sent to a server."""

    __slots__ = ("command", "service")

    def __init__(self, service: str, command: BaseCommand) -> None:
        self.service = service
        self.command = command


class CommandEnded:
    """A grant or release ended.

    ``error`` is None when the server carried it out; then ``handover`` is the token of a release.
    """

    __slots__ = ("command", "error", "handover", "service")

    def __init__(
        self, service: str, command: BaseCommand, error: CommandError | None, handover: str = ""
    ) -> None:
        self.service = service
        self.command = command
        self.error = error
        self.handover = handover
