"""Faults and loads of the runs."""

import abc

from fireflylink_core import CallerRequest, ServiceKind
from fireflylink_decisions.admission import issue_request_id
from fireflylink_experiments.requests._cluster import SHARD_COUNT, Cluster
from fireflylink_experiments.requests._fake_server import POISON_BODY, FakeServer
from fireflylink_experiments.requests._gateways import wall_ms_at
from fireflylink_experiments.requests._ledger import RequestRecord
from fireflylink_experiments.requests._moves import Moves

FAULT_AT = 3.0
STRAGGLER_FACTOR = 10.0
BACK_AT = 6.0
RETURN_STEPS = ((0.0, 0.1), (2.3, 0.3), (2.5, 0.5), (2.7, 1.0))
"""When shards return, in seconds, and which share of those that are away: few while the servers
are cold."""

TAKE_OUT_BOUND_SECONDS = 2.0
POISON_ATTEMPTS = 10
RESEND_SECONDS = 0.05


class BaseScenario(abc.ABC):
    """A load, as a share of the capacity, and what goes wrong."""

    __slots__ = ()

    name: str
    load = 0.7

    @abc.abstractmethod
    def schedule(self, cluster: Cluster) -> None:
        """Schedules the faults of the run."""


class Healthy(BaseScenario):
    """Nothing goes wrong."""

    __slots__ = ()
    name = "healthy"

    def schedule(self, cluster: Cluster) -> None:
        return


class Stragglers(BaseScenario):
    """Some servers become ten times as slow."""

    __slots__ = ("count", "name")

    def __init__(self, count: int) -> None:
        self.count = count
        self.name = f"stragglers-{count}"

    def schedule(self, cluster: Cluster) -> None:
        cluster.loop.after(FAULT_AT, self.slow_down, cluster)

    def slow_down(self, cluster: Cluster) -> None:
        """Slows down the first servers."""
        for server in cluster.servers[: self.count]:
            server.factor = STRAGGLER_FACTOR


class Overload(BaseScenario):
    """The offered load is half as much again as the capacity."""

    __slots__ = ()
    name = "overload"
    load = 1.5

    def schedule(self, cluster: Cluster) -> None:
        return


class ColdStart(BaseScenario):
    """One server restarts under full load: its connections are reset and it is cold."""

    __slots__ = ()
    name = "cold-start"
    load = 1.0

    def schedule(self, cluster: Cluster) -> None:
        cluster.loop.after(FAULT_AT, cluster.servers[0].crash)


class TurnsCold(BaseScenario):
    """One server becomes cold under full load without losing a connection."""

    __slots__ = ()
    name = "turns-cold"
    load = 1.0

    def schedule(self, cluster: Cluster) -> None:
        cluster.loop.after(FAULT_AT, cluster.servers[0].turn_cold)


class SilentConnections(BaseScenario):
    """Half of the connections to one server go silent for good; new ones work."""

    __slots__ = ()
    name = "silent-connections"

    def schedule(self, cluster: Cluster) -> None:
        cluster.loop.after(FAULT_AT, self.silence, cluster)

    def silence(self, cluster: Cluster) -> None:
        """Silences half of the connections to the first server."""
        server_id = cluster.servers[0].server_id
        for gateway in cluster.gateways:
            if server_id in gateway.pools:
                gateway.pools[server_id].silence(0.5)


class DataCentreOutAndBack(BaseScenario):
    """Operators take a data centre out of service and bring it back with cold servers."""

    __slots__ = ()
    name = "data-centre-moves"
    load = 0.5

    def schedule(self, cluster: Cluster) -> None:
        moves = Moves(cluster)
        servers = [server for server in cluster.servers if server.data_centre == 0]
        cluster.loop.after(FAULT_AT, moves.take_out, 0)
        cluster.loop.after(FAULT_AT + TAKE_OUT_BOUND_SECONDS, self.set_out, servers, True)
        cluster.loop.after(BACK_AT - 0.1, self.restart, servers)
        cluster.loop.after(BACK_AT, self.set_out, servers, False)
        for delay, share in RETURN_STEPS:
            cluster.loop.after(BACK_AT + delay, moves.bring_back, share)

    def set_out(self, servers: list[FakeServer], out: bool) -> None:
        """Marks servers as out of service, where new work counts as late."""
        for server in servers:
            server.out_of_service = out

    def restart(self, servers: list[FakeServer]) -> None:
        """Restarts the servers that were out of service."""
        for server in servers:
            server.restart(0.05)


class PoisonRequest(BaseScenario):
    """A caller resends a request that crashes each server that runs it."""

    __slots__ = ()
    name = "poison"

    def schedule(self, cluster: Cluster) -> None:
        cluster.loop.after(FAULT_AT, self.send, cluster, 1)

    def send(self, cluster: Cluster, attempt: int) -> None:
        """Sends the request with a new id, and again when its caller was told the end."""

        def send_again(record: RequestRecord) -> None:
            if attempt < POISON_ATTEMPTS:
                cluster.loop.after(RESEND_SECONDS, self.send, cluster, attempt + 1)

        source = cluster.random_source
        now = cluster.loop.now
        shard = source.randrange(SHARD_COUNT)
        pooled = cluster.size.kind is ServiceKind.POOLED
        request = CallerRequest(
            cluster.size.name,
            "" if pooled else "poisoned-key",
            "POST",
            POISON_BODY,
            now + 1.0,
            request_id=issue_request_id(wall_ms_at(now), source),
        )
        record = RequestRecord(now, idempotent=False)
        record.follow_up = send_again
        cluster.ledger.records.append(record)
        entry = cluster.entries[source.randrange(len(cluster.entries))]
        entry.arrive(request, record, shard if pooled else 0)


SCENARIOS: tuple[BaseScenario, ...] = (
    Healthy(),
    Stragglers(1),
    Stragglers(3),
    ColdStart(),
    TurnsCold(),
    Overload(),
    SilentConnections(),
    DataCentreOutAndBack(),
    PoisonRequest(),
)
