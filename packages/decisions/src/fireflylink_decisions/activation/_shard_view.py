"""The shards that a table gives to the groups of one gateway."""

import enum

from fireflylink_core import BaseValue, ServerGroup, ShardKey, ShardRecord
from fireflylink_decisions.ownership import Route, Routes


class ShardPhase(enum.Enum):
    """What a gateway does with the requests of a shard."""

    SERVING = "serving"
    WAITING = "waiting"
    RELEASING = "releasing"


class ShardView(BaseValue):
    """A shard as a gateway has it: its record, its group and the versions that it depends on.

    ``settle_first`` lists the table versions, as (table id, version), that have to be settled
    before the shard is served here, unless its former gateway releases it.
    """

    __slots__ = ("exception", "group", "record", "settle_first", "shard", "table_id")

    def __init__(
        self,
        table_id: str,
        shard: ShardKey,
        exception: bool,
        record: ShardRecord,
        group: ServerGroup,
        settle_first: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.table_id = table_id
        self.shard = shard
        self.exception = exception
        self.record = record
        self.group = group
        self.settle_first = settle_first

    @property
    def identity(self) -> tuple[ShardKey, bool]:
        """What the shard is called, whatever its record says."""
        return (self.shard, self.exception)

    @property
    def term(self) -> tuple[int, int, str]:
        """Epoch, gateway epoch and group: what must not change while the gateway serves it."""
        return (self.record.epoch, self.group.gateway_epoch, self.group.group_id)

    @property
    def never_served(self) -> bool:
        """Whether the record names no earlier owner and no earlier gateway."""
        record = self.record
        earlier = record.previous_group or record.pending_from or self.group.previous_gateway
        return not earlier

    @property
    def fence_version(self) -> int:
        """The version of its own table under which the gateway acts on the shard."""
        return max(self.record.changed_version, self.group.changed_version)


def view_of_shards(routes: Routes, instance_id: str) -> dict[tuple[ShardKey, bool], ShardView]:
    """Returns the shards whose group has the daemon as its gateway."""
    found: dict[tuple[ShardKey, bool], ShardView] = {}
    for shards in (routes.shards, routes.exceptions):
        for shard, route in shards.items():
            if route.group.gateway == instance_id:
                view = _view_of_route(shard, route)
                found[view.identity] = view
    return found


def _view_of_route(shard: ShardKey, route: Route) -> ShardView:
    return ShardView(
        route.table_id, shard, route.is_exception, route.record, route.group, route.settle_first
    )
