"""Failures and planned moves of a settled cluster."""

import abc

from fireflylink_core import DataCentreState, Isolation, ServiceKind, ShardKey
from fireflylink_experiments.ownership._baseline import LeaseBaseline
from fireflylink_experiments.ownership._cluster import Cluster
from fireflylink_experiments.ownership._serving import ServingModel

STEP = 0.05
NOTE_DELAY = 30.0
"""Time until operators declare a data centre lost."""


class BaseScenario(abc.ABC):
    """What happens to a cluster, and the longest time that a key may be unavailable (seconds)."""

    __slots__ = ()

    name: str
    isolation = Isolation.KEEP
    target = 5.0
    planned = False
    outage = 0.0

    @abc.abstractmethod
    def run(self, cluster: Cluster, model: ServingModel) -> None:
        """Makes it happen and follows the cluster until it has recovered."""

    @abc.abstractmethod
    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        """Returns the shards whose owner changes in the baseline."""


def follow(cluster: Cluster, model: ServingModel, seconds: float, step: float = STEP) -> None:
    """Moves the clock in steps and accounts for each."""
    for _ in range(round(seconds / step)):
        cluster.advance(step)
        model.observe(step)


def first_centre(cluster: Cluster) -> str:
    """Returns the data centre that fails or is taken out."""
    return min(cluster.configuration.data_centres)


def shards_in(baseline: LeaseBaseline, centre: str) -> list[ShardKey]:
    """Returns the shards that the baseline places in a data centre."""
    servers = baseline.configuration.servers
    return [key for key in baseline.load.keys if servers[baseline.owner(key)].data_centre == centre]


class ServerLost(BaseScenario):
    name = "server lost"

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.down[self._server(cluster)] = cluster.now()
        follow(cluster, model, 15.0)

    def _server(self, cluster: Cluster) -> str:
        services = cluster.configuration.services
        servers = cluster.configuration.servers.values()
        keyed = [found for found in servers if services[found.service].kind is ServiceKind.KEYED]
        return min(found.server_id for found in keyed)

    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        server = self._server(cluster)
        return [key for key in baseline.load.keys if baseline.owner(key) == server]


class DaemonLost(BaseScenario):
    name = "daemon lost (a root)"

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.lost[cluster.tables[min(cluster.tables)].voters[0]] = cluster.now()
        follow(cluster, model, 15.0)

    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        names = [member.instance_id for member in cluster.members]
        return [key for key in baseline.load.keys if baseline.owner(key, names) == names[0]]


class PlatformOut(BaseScenario):
    name = "platform out 10 min"
    target = 0.0
    outage = 600.0

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.platform_up = False
        follow(cluster, model, self.outage, step=1.0)
        cluster.platform_up = True
        follow(cluster, model, 5.0)

    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        return list(baseline.load.keys)


class DataCentreLost(BaseScenario):
    name = "data centre lost, yield"
    isolation = Isolation.YIELD

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.lose_centre(first_centre(cluster))
        follow(cluster, model, 20.0)

    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        return shards_in(baseline, first_centre(cluster))


class DataCentreLostKeep(DataCentreLost):
    name = f"data centre lost, keep, note at {NOTE_DELAY:.0f} s"
    isolation = Isolation.KEEP
    target = NOTE_DELAY + 5.0

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.lose_centre(first_centre(cluster))
        follow(cluster, model, NOTE_DELAY)
        cluster.set_centre(first_centre(cluster), DataCentreState.LOST)
        follow(cluster, model, 20.0)


class TakenOut(BaseScenario):
    name = "data centre out 20 s and back"
    target = 0.0
    planned = True
    out_seconds = 20.0
    back_seconds = 120.0

    def run(self, cluster: Cluster, model: ServingModel) -> None:
        cluster.set_centre(first_centre(cluster), DataCentreState.OUT)
        follow(cluster, model, self.out_seconds)
        cluster.set_centre(first_centre(cluster), DataCentreState.IN)
        follow(cluster, model, self.back_seconds, step=0.2)

    def affected(self, baseline: LeaseBaseline, cluster: Cluster) -> list[ShardKey]:
        return 2 * shards_in(baseline, first_centre(cluster))


SCENARIOS: tuple[BaseScenario, ...] = (
    ServerLost(),
    DaemonLost(),
    PlatformOut(),
    DataCentreLostKeep(),
    DataCentreLost(),
    TakenOut(),
)
