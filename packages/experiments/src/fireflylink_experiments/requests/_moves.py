"""Moves of shards when a data centre is taken out of service and comes back."""

import math
from collections import Counter

from fireflylink_experiments.requests._cluster import SHARD_COUNT, Cluster
from fireflylink_experiments.requests._gateways import BaseGateway, PolicyGateway

SPREAD_SECONDS = 0.4
"""Within this time every entry daemon knows a new table."""

HANDOVER_POLL_SECONDS = 0.002


class Moves:
    """Moves shards between gateways: with a handover under the policy, without in a baseline."""

    __slots__ = ("cluster",)

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster

    def take_out(self, data_centre: int) -> None:
        """Moves all shards of a data centre to the other gateways in turn."""
        cluster = self.cluster
        others = [g for g in cluster.gateways if g.data_centre != data_centre]
        moved = [s for s in range(SHARD_COUNT) if cluster.table[s].data_centre == data_centre]
        targets = {shard: others[i % len(others)] for i, shard in enumerate(moved)}
        self.move(targets)

    def bring_back(self, share: float) -> None:
        """Moves a share of the shards that are away back to where they were at the start."""
        gateways = self.cluster.gateways
        home = {shard: gateways[shard % len(gateways)] for shard in range(SHARD_COUNT)}
        away = {s: g for s, g in home.items() if self.cluster.table[s] is not g}
        chosen = list(away.items())[: math.ceil(len(away) * share)]
        self.move(dict(chosen))

    def move(self, targets: dict[int, BaseGateway]) -> None:
        """Moves shards and tells the entry daemons."""
        cluster = self.cluster
        pairs: dict[tuple[str, str], list[int]] = {}
        gateways = {gateway.group_id: gateway for gateway in cluster.gateways}
        remaining = Counter(gateway.group_id for gateway in cluster.table.values())
        for shard, target in targets.items():
            source = cluster.table[shard]
            remaining[source.group_id] -= 1
            pairs.setdefault((source.group_id, target.group_id), []).append(shard)
            cluster.table[shard] = target
        for (source_id, target_id), shards in pairs.items():
            source = gateways[source_id]
            self.start_handover(source, gateways[target_id], tuple(shards))
            if not remaining[source_id] and isinstance(source, PolicyGateway):
                source.reply_all(source.admission.stop_admitting("moved"))
        for entry in cluster.entries:
            delay = cluster.random_source.random() * SPREAD_SECONDS
            cluster.loop.after(delay, entry.learn_table)

    def start_handover(
        self, source: BaseGateway, target: BaseGateway, shards: tuple[int, ...]
    ) -> None:
        """Stops the shards at one gateway and lets the other wait for them."""
        if not isinstance(source, PolicyGateway) or not isinstance(target, PolicyGateway):
            return
        target.admission.expect_handover(shards)
        source.reply_all(source.admission.stop_admitting("moved", shards))
        self.hand_over(source, target, shards)

    def hand_over(
        self, source: PolicyGateway, target: PolicyGateway, shards: tuple[int, ...]
    ) -> None:
        """Transfers what the source knows once its last request has ended."""
        loop = self.cluster.loop
        handover = source.admission.export_handover(shards).value_or(None)
        if handover is None:
            loop.after(HANDOVER_POLL_SECONDS, self.hand_over, source, target, shards)
            return
        loop.after(self.cluster.size.hop_seconds, target.import_handover, handover)
