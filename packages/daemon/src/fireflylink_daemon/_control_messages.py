"""Messages of the control task's mailbox."""

from fireflylink_core import (
    BaseValue,
    CrashReport,
    EndorseReply,
    EndorseRequest,
    HandoverRequest,
    LoadReport,
    Member,
    OwnershipTable,
    ServerReport,
    SyncReply,
    SyncRequest,
)
from fireflylink_decisions.authority import EndorsementRound
from fireflylink_platform_client import Entry


class SyncAsked(BaseValue):
    """Another daemon sent a sync request."""

    __slots__ = ("request",)

    def __init__(self, request: SyncRequest) -> None:
        self.request = request


class EndorseAsked(BaseValue):
    """Another daemon asked for an endorsement."""

    __slots__ = ("request",)

    def __init__(self, request: EndorseRequest) -> None:
        self.request = request


class HandoverAsked(BaseValue):
    """A former gateway released shards to this daemon."""

    __slots__ = ("request",)

    def __init__(self, request: HandoverRequest) -> None:
        self.request = request


class SyncAnswered(BaseValue):
    """A peer answered a sync request that was sent at ``sent``."""

    __slots__ = ("peer", "reply", "sent")

    def __init__(self, peer: Member, sent: float, reply: SyncReply) -> None:
        self.peer = peer
        self.sent = sent
        self.reply = reply


class SyncFailed(BaseValue):
    """A peer did not answer a sync request."""

    __slots__ = ("peer",)

    def __init__(self, peer: Member) -> None:
        self.peer = peer


class EndorseAnswered(BaseValue):
    """A voter answered in a round; ``round`` is None for a question of a recovering voter.

    ``asked`` is the time at which the question was sent.
    """

    __slots__ = ("asked", "reply", "round", "table_id")

    def __init__(
        self,
        table_id: str,
        asked: float,
        reply: EndorseReply,
        endorsement_round: EndorsementRound | None,
    ) -> None:
        self.table_id = table_id
        self.asked = asked
        self.reply = reply
        self.round = endorsement_round


class PlatformRead(BaseValue):
    """The platform returned entries of a read that was started at ``started``.

    ``complete`` tells that the read covers every table and the configuration.
    """

    __slots__ = ("complete", "entries", "started")

    def __init__(self, started: float, entries: tuple[Entry, ...], complete: bool) -> None:
        self.started = started
        self.entries = entries
        self.complete = complete


class PlatformFailed(BaseValue):
    """The platform did not answer."""

    __slots__ = ("problem",)

    def __init__(self, problem: str) -> None:
        self.problem = problem


class InstancesRead(BaseValue):
    """The platform returned its list of instances."""

    __slots__ = ("members",)

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members


class TableWritten(BaseValue):
    """A write of a table was confirmed; ``signed`` is the stored document."""

    __slots__ = ("revision", "signed", "table")

    def __init__(self, table: OwnershipTable, signed: bytes, revision: int) -> None:
        self.table = table
        self.signed = signed
        self.revision = revision


class TableWritesEnded(BaseValue):
    """The writes of a plan have ended; ``confirmed`` tells whether all of them took effect."""

    __slots__ = ("confirmed", "problem", "table_id")

    def __init__(self, table_id: str, confirmed: bool, problem: str = "") -> None:
        self.table_id = table_id
        self.confirmed = confirmed
        self.problem = problem


class GatewayReport(BaseValue):
    """What the gateways of this daemon saw since their last report."""

    __slots__ = ("crashes", "group_id", "loads", "servers")

    def __init__(
        self,
        group_id: str,
        servers: tuple[ServerReport, ...],
        loads: tuple[LoadReport, ...],
        crashes: tuple[CrashReport, ...],
    ) -> None:
        self.group_id = group_id
        self.servers = servers
        self.loads = loads
        self.crashes = crashes


class SyncNow(BaseValue):
    """A request met a newer table elsewhere; ask the parent without waiting for the period."""

    __slots__ = ()


class Leave(BaseValue):
    """The daemon leaves: announce it and give up the groups."""

    __slots__ = ()
