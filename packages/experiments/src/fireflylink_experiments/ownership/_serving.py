"""Which group serves a shard at each moment, by the rules of the ownership protocol."""

from fireflylink_core import ServerGroup, ShardKey
from fireflylink_decisions.ownership import Route
from fireflylink_experiments.ownership._cluster import GRANT_TERM, Cluster

RATE_MARGIN = 1.01
"""Grants expire later by this factor on the slowest clock allowed."""


class Holder:
    """The group that serves a shard, and until when it may go on after it was displaced."""

    __slots__ = ("end", "group", "unavailable_since")

    def __init__(self, group: ServerGroup) -> None:
        self.group = group
        self.end: float | None = None
        self.unavailable_since: float | None = None


class ServingModel:
    """Follows the owners of all shards and counts the time without one and with two."""

    __slots__ = ("acting", "cluster", "holders", "key_seconds", "started", "two_owners", "worst")

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.holders: dict[tuple[bool, ShardKey], Holder] = {}
        self.acting: dict[str, tuple[str, int]] = {}
        self.key_seconds = 0.0
        self.worst = 0.0
        self.two_owners = 0
        self.started = False

    def observe(self, seconds: float) -> None:
        """Accounts for the time since the last observation."""
        for table_id, table in self.cluster.tables.items():
            for group in table.groups.values():
                self._follow_gateway(table_id, group)
        routes = self.cluster.routes
        for exception, found in ((False, routes.shards), (True, routes.exceptions)):
            for key, route in found.items():
                self._follow(exception, key, route, seconds)
        self.started = True

    def _follow_gateway(self, table_id: str, group: ServerGroup) -> None:
        former = self.acting.get(group.group_id)
        if former == (group.gateway, group.gateway_epoch):
            return
        servers = self.cluster.configuration.servers
        checked = all(servers[name].checks_grants for name in group.server_ids)
        handed_over = former is None or former[0] not in self.cluster.lost
        if handed_over or checked or self.cluster.settled(table_id) >= group.changed_version:
            self.acting[group.group_id] = (group.gateway, group.gateway_epoch)

    def _follow(self, exception: bool, key: ShardKey, route: Route, seconds: float) -> None:
        holder = self.holders.get((exception, key))
        if holder is None:
            holder = Holder(self._first_group(exception, key, route))
            self.holders[(exception, key)] = holder
        if holder.group.group_id == route.group.group_id or self._may_start(holder, route):
            holder.group = route.group
            holder.end = None
        keys = 1 if exception else self.cluster.load.keys[key]
        self._account(holder, self._is_serving(holder, route), keys, seconds)

    def _first_group(self, exception: bool, key: ShardKey, route: Route) -> ServerGroup:
        """Returns the group that served a key when it was first seen."""
        shard = (key[0], key[1] % self.cluster.routes.shard_counts[key[0]])
        if exception and self.started:
            return self.holders[(False, shard)].group
        return route.group

    def _may_start(self, holder: Holder, route: Route) -> bool:
        now, written = self.cluster.now(), self.cluster.written
        if holder.end is None:
            times = [written[table_id][version - 1] for table_id, version in route.settle_first]
            holder.end = max(times, default=now) + GRANT_TERM * RATE_MARGIN
        released = self._is_released(holder, route)
        settled = all(
            self.cluster.settled(table_id) >= version for table_id, version in route.settle_first
        )
        if settled and not released and now < holder.end:
            self.two_owners += 1
        return released or settled

    def _is_released(self, holder: Holder, route: Route) -> bool:
        """Tells whether the former gateway gave up the shard: at once, or when grants expired."""
        if route.record.previous_group != holder.group.group_id:
            return False
        if self._gateway(holder.group) in self.cluster.lost:
            return False
        down = self.cluster.down
        ends = [
            down[name] + GRANT_TERM * RATE_MARGIN
            for name in holder.group.server_ids
            if name in down
        ]
        return all(self.cluster.now() >= end for end in ends)

    def _gateway(self, group: ServerGroup) -> str:
        return self.acting.get(group.group_id, (group.gateway, 0))[0]

    def _is_serving(self, holder: Holder, route: Route) -> bool:
        if self._gateway(holder.group) in self.cluster.lost:
            return False
        if all(name in self.cluster.down for name in holder.group.server_ids):
            return False
        if holder.group.group_id == route.group.group_id:
            return True
        return route.record.previous_group == holder.group.group_id

    def _account(self, holder: Holder, serving: bool, keys: int, seconds: float) -> None:
        now = self.cluster.now()
        if serving:
            holder.unavailable_since = None
            return
        if holder.unavailable_since is None:
            holder.unavailable_since = now - seconds
        self.key_seconds += keys * seconds
        self.worst = max(self.worst, now - holder.unavailable_since)
