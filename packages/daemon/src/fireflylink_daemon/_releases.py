"""Releasing shards that a newer table gives to another term."""

from fireflylink_core import HandoverRequest, HandoverShard, Member, OwnershipTable, ShardKey
from fireflylink_daemon._view import View
from fireflylink_decisions.activation import ShardView
from fireflylink_decisions.admission import ShardHandover

RELEASE_LIFETIME = 30.0
"""Seconds after which a release that could not be told is dropped; the fence wait has ended."""


class PendingRelease:
    """A shard, or a key that became an exception, that a gateway has stopped serving.

    ``version`` is the table version that took it away. ``single_key`` is the key's hash when only
    this key of the shard moves. ``handover`` is what the new gateway has to know, once the requests
    in flight have ended.
    """

    __slots__ = ("deadline", "former", "handover", "revoked", "single_key", "version")

    def __init__(
        self, former: ShardView, version: int, deadline: float, single_key: int | None = None
    ) -> None:
        self.former = former
        self.version = version
        self.deadline = deadline
        self.single_key = single_key
        self.handover: ShardHandover | None = None
        self.revoked = False

    @property
    def identity(self) -> tuple[ShardKey, bool]:
        """What the new gateway calls the shard or key."""
        if self.single_key is None:
            return self.former.identity
        return ((self.former.shard[0], self.single_key), True)

    def successor(self, view: View) -> tuple[Member, HandoverRequest] | None:
        """Returns whom to tell and what, None while the new owner is not known here."""
        shard, exception = self.identity
        routes = view.routes.exceptions if exception else view.routes.shards
        route = routes.get(shard)
        if route is None or self.handover is None:
            return None
        member = view.members.get(route.group.gateway)
        table: OwnershipTable | None = view.tables.get(route.table_id)
        if member is None or table is None:
            return None
        released = HandoverShard(
            shard=shard,
            exception=exception,
            epoch=route.record.epoch,
            gateway_epoch=route.group.gateway_epoch,
            floor_ms=self.handover.floor_ms,
            request_ids=self.handover.request_ids,
        )
        sender = self.former.group.gateway
        return member, HandoverRequest(sender, route.table_id, table.version, (released,))
