"""Releasing shards that a newer table gives to another term."""

from fireflylink_core import HandoverShard, Member, ShardKey, key_hash
from fireflylink_daemon._group_gateway import GroupGateway
from fireflylink_daemon._view import View
from fireflylink_decisions.activation import ShardView
from fireflylink_decisions.admission import ShardHandover

RELEASE_LIFETIME = 30.0
"""Seconds after which a release that could not be told is dropped; the fence wait has ended."""

HANDOVER_RETRY_DELAY = 0.1
"""Seconds until a release that the new gateway did not take is told again."""

ShardIdentity = tuple[ShardKey, bool]


class PendingRelease:
    """A shard, or a key that became an exception, that a gateway has stopped serving.

    ``version`` is the table version that took it away. ``single_key`` is the key's hash when only
    this key of the shard moves. ``handover`` is what the new gateway has to know, once the requests
    in flight have ended.
    """

    __slots__ = (
        "deadline",
        "former",
        "handover",
        "retry_at",
        "revoked",
        "sending",
        "single_key",
        "version",
    )

    def __init__(
        self, former: ShardView, version: int, deadline: float, single_key: int | None = None
    ) -> None:
        self.former = former
        self.version = version
        self.deadline = deadline
        self.single_key = single_key
        self.handover: ShardHandover | None = None
        self.revoked = False
        self.sending = False
        self.retry_at = 0.0

    @property
    def identity(self) -> ShardIdentity:
        """What the new gateway calls the shard or key."""
        if self.single_key is None:
            return self.former.identity
        return ((self.former.shard[0], self.single_key), True)

    def successor(self, view: View) -> tuple[Member, str, HandoverShard] | None:
        """Returns whom to tell, the new table and the release; None while it is not known here."""
        shard, exception = self.identity
        routes = view.routes.exceptions if exception else view.routes.shards
        route = routes.get(shard)
        if route is None or self.handover is None:
            return None
        member = view.members.get(route.group.gateway)
        if member is None:
            return None
        released = HandoverShard(
            shard=shard,
            exception=exception,
            epoch=route.record.epoch,
            gateway_epoch=route.group.gateway_epoch,
            floor_ms=self.handover.floor_ms,
            request_ids=self.handover.request_ids,
        )
        return member, route.table_id, released


def is_drained(group: GroupGateway, release: PendingRelease, now: float) -> bool:
    """Tells whether no request of a released shard or key is in flight, waits or may still run."""
    if group.may_still_run(release.former.shard[1], now):
        return False
    admission = group.admission
    if release.single_key is None:
        return admission.idle_for((release.former.shard[1],))
    return all(key_hash(request.key) != release.single_key for request in admission.requests())


def export(group: GroupGateway, release: PendingRelease, wall_ms: int) -> ShardHandover:
    """Returns what the new gateway of a drained shard or key has to know about request ids."""
    index = release.former.shard[1]
    if release.single_key is None:
        known = group.admission.export_handover((index,)).unwrap().shards
    else:
        index = release.single_key
        shard_count = group.service.shard_count
        known = group.admission.id_gate.export((index,), shard_count)
    return known[0] if known else ShardHandover(index, wall_ms, ())
