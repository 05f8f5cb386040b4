"""Prints the planner beside the naive baseline: ``python -m fireflylink_experiments.ownership``."""

import copy
import random
from collections.abc import Sequence

from absl import app, flags

from fireflylink_core import Isolation
from fireflylink_experiments.ownership._baseline import LeaseBaseline
from fireflylink_experiments.ownership._cluster import Cluster
from fireflylink_experiments.ownership._scenarios import SCENARIOS, BaseScenario, follow
from fireflylink_experiments.ownership._serving import ServingModel
from fireflylink_experiments.ownership._users import USERS, Load, build_configuration, build_members

SEED = flags.DEFINE_integer("seed", 1, "Seed of the keys and of the noise of loads.")

SETTLING_SECONDS = 1200.0
SETTLING_STEP = 10.0
WINDOWS = 100
WINDOW_SECONDS = 10.0
"""Loads are sampled over windows, with the noise of a Poisson process, for the p99."""

IMBALANCE_TARGET = 1.15


def settled_cluster(user: str, isolation: Isolation, load: Load) -> Cluster:
    """Returns a cluster after its load has settled."""
    cluster = Cluster(build_configuration(user, isolation), build_members(user), load)
    for _ in range(round(SETTLING_SECONDS / SETTLING_STEP)):
        cluster.advance(SETTLING_STEP)
    return cluster


def planned_loads(cluster: Cluster, service: str) -> list[float]:
    """Returns the loads of a service's servers; a pooled group spreads its load evenly."""
    loads = {server.server_id: 0.0 for server in cluster.configuration.servers_of(service)}
    shards = cluster.shard_loads()
    routes = [(key, route, shards[key]) for key, route in cluster.routes.shards.items()]
    for key, route in cluster.routes.exceptions.items():
        routes.append((key, route, cluster.load.hot_keys[key]))
    for key, route, load in routes:
        for server_id in route.group.server_ids if key[0] == service else ():
            loads[server_id] += load / len(route.group.server_ids)
    return list(loads.values())


def naive_loads(baseline: LeaseBaseline, service: str) -> list[float]:
    """Returns the same for the baseline."""
    loads = {server.server_id: 0.0 for server in baseline.configuration.servers_of(service)}
    for key, load in baseline.load.shards.items():
        if key[0] == service:
            loads[baseline.owner(key)] += load
    return list(loads.values())


def figures(loads: list[float], generator: random.Random) -> str:
    """Returns max/mean of the expected loads and p99/mean of the sampled ones."""
    mean = sum(loads) / len(loads)
    samples = sorted(
        generator.gauss(load, (load / WINDOW_SECONDS) ** 0.5)
        for load in loads
        for _ in range(WINDOWS)
    )
    p99 = samples[int(len(samples) * 0.99)]
    return f"max/mean {max(loads) / mean:.2f} p99/mean {p99 / mean:.2f}"


def print_balance(cluster: Cluster, baseline: LeaseBaseline, generator: random.Random) -> None:
    """Prints the imbalance of each service once its load has settled."""
    for name in cluster.configuration.services:
        loads = planned_loads(cluster, name)
        hottest = max(
            (load for key, load in cluster.load.hot_keys.items() if key[0] == name), default=0
        )
        share = hottest / (sum(loads) / len(loads))
        # A server that has only the hottest key cannot be relieved further.
        limit = max(IMBALANCE_TARGET, share + 0.005)
        met = max(loads) / (sum(loads) / len(loads)) <= limit
        print(
            f"  {name:13} planner {figures(loads, generator)}"
            f" | baseline {figures(naive_loads(baseline, name), generator)}"
            f" | hottest key {share:.2f} of a server's mean, target {limit:.2f}"
            f" {'met' if met else 'MISSED'}"
        )


def print_scenario(scenario: BaseScenario, settled: Cluster, baseline: LeaseBaseline) -> None:
    """Runs a scenario on a copy of a settled cluster and prints both results."""
    cluster = copy.deepcopy(settled)
    cluster.moves.clear()
    model = ServingModel(cluster)
    follow(cluster, model, 1.0)
    scenario.run(cluster, model)
    keys = scenario.affected(baseline, cluster)
    naive = baseline.planned(keys) if scenario.planned else baseline.lost(keys, scenario.outage)
    met = model.worst <= scenario.target and model.two_owners == 0
    shards = len(cluster.load.shards)
    print(
        f"  {scenario.name:37} planner {model.key_seconds:8.0f} key-s worst {model.worst:5.2f} s"
        f" churn {len(cluster.moves) / shards:6.1%} two owners {model.two_owners}"
        f" | baseline {naive.key_seconds:9.0f} key-s worst {naive.worst:6.2f} s"
        f" churn {naive.moved / shards:6.1%}"
        f" | target {scenario.target:g} s {'met' if met else 'MISSED'}"
    )


def main(arguments: Sequence[str]) -> None:
    """Measures both users."""
    del arguments
    print(f"seed {SEED.value}")
    for user in USERS:
        generator = random.Random(SEED.value)
        configuration = build_configuration(user, Isolation.KEEP)
        load = Load(configuration, generator)
        clusters = {isolation: settled_cluster(user, isolation, load) for isolation in Isolation}
        baseline = LeaseBaseline(configuration, load)
        print(f"{user}: {len(load.shards)} shards, baseline's leases last {baseline.term:.1f} s")
        print_balance(clusters[Isolation.KEEP], baseline, generator)
        for scenario in SCENARIOS:
            print_scenario(scenario, clusters[scenario.isolation], baseline)


if __name__ == "__main__":
    app.run(main)
