"""One run: callers, faults and what was measured."""

import random

from fireflylink_core import BaseValue, CallerRequest, Outcome, ServiceKind
from fireflylink_decisions.admission import issue_request_id
from fireflylink_experiments.requests._cluster import ENTRY_DAEMONS, SHARD_COUNT, Cluster
from fireflylink_experiments.requests._gateways import wall_ms_at
from fireflylink_experiments.requests._ledger import RequestRecord
from fireflylink_experiments.requests._scenarios import BaseScenario
from fireflylink_experiments.requests._sizes import ServiceSize

TIMEOUT_SECONDS = 1.0
DRAIN_SECONDS = 5.0
WARM_UP_SECONDS = 1.5
QUERIES = 1000
TENANTS = ("walk-in", "partner", "batch")


class RunResult(BaseValue):
    """Figures of one run: latencies in milliseconds, rates as shares."""

    __slots__ = (
        "crashes",
        "doubled",
        "goodput",
        "highest_cold_load",
        "late_work",
        "lost",
        "p50",
        "p99",
        "p999",
        "policy",
        "requests",
        "retries",
        "scenario",
        "shed",
        "size",
        "unknown",
        "wrongly_not_run",
    )

    def __init__(
        self, size: ServiceSize, scenario: str, policy: str, cluster: Cluster, seconds: float
    ) -> None:
        records = [r for r in cluster.ledger.records if r.arrived_at >= WARM_UP_SECONDS]
        total = max(1, len(records))
        answered = [r for r in records if r.outcome is Outcome.ANSWERED]
        latencies = sorted(r.ended_at - r.arrived_at for r in answered)
        in_window = sum(
            1 for r in cluster.ledger.records if r.answered_within(WARM_UP_SECONDS, seconds)
        )
        self.size = size
        self.scenario = scenario
        self.policy = policy
        self.requests = len(records)
        self.p50 = percentile_ms(latencies, 0.5)
        self.p99 = percentile_ms(latencies, 0.99)
        self.p999 = percentile_ms(latencies, 0.999)
        self.goodput = in_window / (seconds - WARM_UP_SECONDS) / size.capacity
        self.shed = sum(1 for r in records if r.outcome is Outcome.NOT_RUN) / total
        self.unknown = sum(1 for r in records if r.outcome is Outcome.UNKNOWN) / total
        self.retries = sum(r.attempts - 1 for r in records) / total
        self.highest_cold_load = cluster.ledger.highest_cold_load
        self.late_work = cluster.ledger.late_work
        self.crashes = cluster.ledger.crashes
        self.doubled = cluster.ledger.doubled
        self.lost = cluster.ledger.lost
        self.wrongly_not_run = cluster.ledger.wrongly_not_run


class Callers:
    """Sends requests at random times until the end of the run."""

    __slots__ = ("cluster", "random_source", "rate", "until")

    def __init__(self, cluster: Cluster, rate: float, until: float, seed: int) -> None:
        self.cluster = cluster
        self.rate = rate
        self.until = until
        self.random_source = random.Random(seed)

    def send(self) -> None:
        """Sends one request and schedules the next."""
        loop = self.cluster.loop
        if loop.now >= self.until:
            return
        size = self.cluster.size
        source = self.random_source
        idempotent = source.random() >= size.post_share
        request_id = "" if idempotent else issue_request_id(wall_ms_at(loop.now), source)
        shard = source.randrange(SHARD_COUNT)
        key = "" if size.kind is ServiceKind.POOLED else str(shard)
        request = CallerRequest(
            size.name,
            key,
            "GET" if idempotent else "POST",
            b"" if idempotent else request_id.encode(),
            loop.now + TIMEOUT_SECONDS,
            TENANTS[source.randrange(len(TENANTS))],
            request_id,
            query=f"venue={source.randrange(QUERIES)}" if idempotent else "",
        )
        record = RequestRecord(loop.now, idempotent)
        self.cluster.ledger.records.append(record)
        self.cluster.entries[source.randrange(ENTRY_DAEMONS)].arrive(request, record, shard)
        loop.after(source.expovariate(self.rate), self.send)


def run(
    size: ServiceSize, scenario: BaseScenario, policy: str, seconds: float, seed: int
) -> RunResult:
    """Runs one scenario and returns its figures."""
    cluster = Cluster(size, policy, seed)
    scenario.schedule(cluster)
    callers = Callers(cluster, scenario.load * size.capacity, seconds, seed)
    cluster.loop.after(0.0, callers.send)
    cluster.loop.run(seconds + DRAIN_SECONDS)
    return RunResult(size, scenario.name, policy, cluster, seconds)


def percentile_ms(ordered: list[float], share: float) -> float:
    """Returns a percentile of ordered seconds, in milliseconds."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000.0
