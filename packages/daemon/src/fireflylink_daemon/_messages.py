"""Messages between the tasks of a daemon."""

from fireflylink_backend_client import CommandError
from fireflylink_core import OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import BaseCommand
from fireflylink_protocol import DeciderClaim, DeciderRetired, LoadReport, MemberRecord
from fireflylink_store import BaseUpdate, era_of


class UpdatesRead:
    """Updates that were read from the store up to ``revision``.

    ``is_snapshot`` is true when they are the complete contents of the store, false when they are
    only what has changed since the last read. ``is_restored`` is true for the first snapshot after
    the store came back from a copy: what was written after the copy was made is missing, and what
    was deleted since then is there again.
    """

    __slots__ = ("is_restored", "is_snapshot", "revision", "updates")

    def __init__(
        self,
        updates: tuple[BaseUpdate, ...],
        revision: int,
        is_snapshot: bool,
        is_restored: bool = False,
    ) -> None:
        self.is_restored = is_restored
        self.updates = updates
        self.revision = revision
        self.is_snapshot = is_snapshot


class Leave:
    """The daemon is shutting down: the receiver revokes its lease in the store."""

    __slots__ = ()


class ServerLeaving:
    """A server announced that it leaves, in an answer that was received at ``announced_at``."""

    __slots__ = ("announced_at", "incarnation")

    def __init__(self, incarnation: ServerIncarnation, announced_at: float) -> None:
        self.incarnation = incarnation
        self.announced_at = announced_at


class StoreReadFailed:
    """Reading from the store failed, or the store no longer has the changes to read next."""

    __slots__ = ("problem",)

    def __init__(self, problem: str) -> None:
        self.problem = problem


class RelayRoleChanged:
    """Whether this daemon reads the store by itself, and whether others depend on what it knows."""

    __slots__ = ("is_relay", "reads")

    def __init__(self, reads: bool, is_relay: bool) -> None:
        self.reads = reads
        self.is_relay = is_relay


class StoreCallStatus:
    """The member task's calls to the store have begun to fail, or to succeed again.

    ``failing`` is true when its last call failed. It may arrive before ``StoreReadFailed``,
    because a watch call may wait for seconds before it fails.
    """

    __slots__ = ("failing",)

    def __init__(self, failing: bool) -> None:
        self.failing = failing


class MemberRecordMissing:
    """The store has no member record of this daemon at ``revision``."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class StoreReadSucceeded:
    """Reading from the store succeeded, for the first time or again after a failure."""

    __slots__ = ()


class TableStored:
    """An ownership table was read from the store, possibly unchanged, or was written to it.

    ``revision`` is that of its record.
    ``is_first`` is true when this daemon wrote the table and the service had none before.
    """

    __slots__ = ("is_first", "revision", "table")

    def __init__(self, table: OwnershipTable, revision: int, is_first: bool = False) -> None:
        self.is_first = is_first
        self.table = table
        self.revision = revision


class TableNotWritten:
    """The write of a table failed, and it is certain that the store will not apply it later."""

    __slots__ = ("table",)

    def __init__(self, table: OwnershipTable) -> None:
        self.table = table


class DeciderChanged:
    """The decider record was written or deleted; ``member`` is None when there is none."""

    __slots__ = ("member", "revision")

    def __init__(self, member: MemberRecord | None, revision: int) -> None:
        self.member = member
        self.revision = revision


class DeciderElected:
    """This daemon was elected as the decider, or still is it after the store was restored.

    ``elected_at`` is when it sent the write of the decider record to the store; if the answer was
    lost, when it read the record. ``revision`` is that of the decider record, and ``tables`` are
    all ownership tables in the store. If ``is_uninterrupted``, this daemon was the
    decider when the store was restored, and its record is in the copy.
    """

    __slots__ = ("elected_at", "is_uninterrupted", "revision", "tables")

    def __init__(
        self,
        elected_at: float,
        revision: int,
        tables: tuple[TableStored, ...],
        is_uninterrupted: bool = False,
    ) -> None:
        self.elected_at = elected_at
        self.revision = revision
        self.tables = tables
        self.is_uninterrupted = is_uninterrupted

    @property
    def era(self) -> int:
        """The era of the store in which this daemon is the decider."""
        return era_of(self.revision)


class DeciderDemoted:
    """This daemon is no longer the decider."""

    __slots__ = ()


class ServersChanged:
    """Updates were applied that may have added, removed or changed backend servers."""

    __slots__ = ()


class LoadReportReceived:
    """A daemon, possibly this one, reported the keys of the requests that it received."""

    __slots__ = ("report",)

    def __init__(self, report: LoadReport) -> None:
        self.report = report


class DeciderClaimReceived:
    """A daemon that was elected as the decider asks this one not to decide any more.

    ``sender`` is the host and the port to answer to.
    """

    __slots__ = ("claim", "sender")

    def __init__(self, claim: DeciderClaim, sender: tuple[str, int]) -> None:
        self.claim = claim
        self.sender = sender


class DeciderRetiredReceived:
    """A daemon that this one has sent a claim does not decide any more.

    ``sender`` is its host and port.
    """

    __slots__ = ("notice", "sender")

    def __init__(self, notice: DeciderRetired, sender: tuple[str, int]) -> None:
        self.notice = notice
        self.sender = sender


class SendCommand:
    """A grant or release is to be sent to a server, at the latest at ``deadline``.

    ``deadline``, in seconds on the daemon's clock, is also when the command is given up.
    """

    __slots__ = ("command", "deadline", "service")

    def __init__(self, service: str, command: BaseCommand, deadline: float) -> None:
        self.service = service
        self.command = command
        self.deadline = deadline


class CommandCompleted:
    """A grant or release has succeeded or failed.

    ``error`` is None when the server carried out the command. ``handover`` is then the token that
    the server returned for a release; it is empty for a grant. ``sender`` is the task that sent the
    command and has none now.
    """

    __slots__ = ("command", "error", "handover", "sender", "service")

    def __init__(
        self,
        service: str,
        command: BaseCommand,
        error: CommandError | None,
        handover: str = "",
        sender: object = None,
    ) -> None:
        self.service = service
        self.command = command
        self.error = error
        self.handover = handover
        self.sender = sender
