"""A simulated service: its servers, gateways and entry daemons."""

import random

from fireflylink_core import BackendServer, Service, ServiceKind
from fireflylink_decisions.admission import Delegation
from fireflylink_decisions.routing import (
    GroupChoice,
    LeastInFlightPicker,
    RoundRobinPicker,
)
from fireflylink_experiments.requests._entries import SimulatedEntry
from fireflylink_experiments.requests._event_loop import EventLoop
from fireflylink_experiments.requests._fake_pool import FakePool
from fireflylink_experiments.requests._fake_server import COLD_SLOTS, FakeServer
from fireflylink_experiments.requests._gateways import (
    BaseGateway,
    NaiveGateway,
    PolicyGateway,
    wall_ms_at,
)
from fireflylink_experiments.requests._ledger import Ledger
from fireflylink_experiments.requests._sizes import LOCAL_HOP_SECONDS, ServiceSize

ENTRY_DAEMONS = 12
SHARD_COUNT = 256
SYNC_PERIOD_SECONDS = 0.4
BASELINES = ("round-robin", "least-in-flight")
DATA_CENTRES = ("a", "b", "c")


class Cluster:
    """Everything that takes part in a run, with the policy under test."""

    __slots__ = (
        "entries",
        "gateways",
        "ledger",
        "loop",
        "policy",
        "random_source",
        "servers",
        "service",
        "size",
        "table",
    )

    def __init__(self, size: ServiceSize, policy: str, seed: int) -> None:
        self.size = size
        self.policy = policy
        self.loop = EventLoop()
        self.ledger = Ledger()
        self.random_source = random.Random(seed)
        self.service = Service(
            size.name,
            size.kind,
            DATA_CENTRES,
            shard_count=SHARD_COUNT,
            cold_slots=COLD_SLOTS,
        )
        self.servers = [self.make_server(index) for index in range(size.servers)]
        self.gateways = self.make_gateways()
        self.introduce_gateways()
        self.table = {
            shard: self.gateways[shard % len(self.gateways)] for shard in range(SHARD_COUNT)
        }
        self.entries = [self.make_entry(index) for index in range(ENTRY_DAEMONS)]
        if policy not in BASELINES:
            self.loop.after(SYNC_PERIOD_SECONDS, self.sync)

    def make_server(self, index: int) -> FakeServer:
        """Returns a server; the servers are spread over the data centres."""
        return FakeServer(
            self.loop,
            self.ledger,
            random.Random(self.random_source.random()),
            f"s{index}",
            index % self.size.data_centres,
            self.size.slots,
            self.size.service_seconds,
            LOCAL_HOP_SECONDS,
        )

    def make_gateways(self) -> list[BaseGateway]:
        """Returns the gateways: one per server if keyed, one per data centre if pooled."""
        if self.size.kind is ServiceKind.KEYED:
            groups = [[server] for server in self.servers]
        else:
            groups = [
                [server for server in self.servers if server.data_centre == data_centre]
                for data_centre in range(self.size.data_centres)
            ]
        return [self.make_gateway(f"g{i}", group) for i, group in enumerate(groups)]

    def make_gateway(self, group_id: str, servers: list[FakeServer]) -> BaseGateway:
        """Returns the gateway of a group for the policy under test."""
        data_centre = servers[0].data_centre
        pools = {server.server_id: FakePool(server, self.size.connections) for server in servers}
        if self.policy == "round-robin":
            return NaiveGateway(self.loop, group_id, data_centre, pools, RoundRobinPicker())
        if self.policy == "least-in-flight":
            return NaiveGateway(self.loop, group_id, data_centre, pools, LeastInFlightPicker())
        backends = tuple(self.describe(server) for server in servers)
        gateway = PolicyGateway(
            self.loop,
            group_id,
            data_centre,
            pools,
            self.service,
            backends,
            self.make_delegation(group_id),
            self.size.hop_seconds,
        )
        gateway.admission.start_term(range(SHARD_COUNT), 0.0, wall_ms_at(-10.0))
        return gateway

    def make_delegation(self, group_id: str) -> Delegation | None:
        """Returns how a group of a pooled service makes use of the others."""
        if self.size.kind is ServiceKind.KEYED or self.policy == "no-delegation":
            return None
        hops = {f"g{index}": 2.0 * self.size.hop_seconds for index in range(len(DATA_CENTRES))}
        return Delegation(group_id, GroupChoice(hops))

    def introduce_gateways(self) -> None:
        """Lets the gateways of the policy send requests to each other."""
        peers = {g.group_id: g for g in self.gateways if isinstance(g, PolicyGateway)}
        for gateway in peers.values():
            gateway.peers = peers

    def describe(self, server: FakeServer) -> BackendServer:
        """Returns the configuration of a server."""
        return BackendServer(
            server.server_id,
            self.size.name,
            DATA_CENTRES[server.data_centre],
            "127.0.0.1",
            0,
            self.size.slots,
            self.size.connections,
        )

    def make_entry(self, index: int) -> SimulatedEntry:
        """Returns an entry daemon."""
        return SimulatedEntry(
            self.loop,
            f"e{index}",
            index % self.size.data_centres,
            random.Random(self.random_source.random()),
            self.size,
            self.table,
            retries=self.policy not in BASELINES,
        )

    def sync(self) -> None:
        """Sends the load of the groups to the entry daemons."""
        for gateway in self.gateways:
            if isinstance(gateway, PolicyGateway):
                self.report(gateway)
        self.loop.after(SYNC_PERIOD_SECONDS, self.sync)

    def report(self, gateway: PolicyGateway) -> None:
        """Sends the load of one group."""
        report = gateway.admission.report(gateway.group_id, self.loop.now)
        for entry in self.entries:
            entry.choice.report(report)
        for peer in gateway.peers.values():
            if peer.admission.delegation is not None:
                peer.admission.delegation.choice.report(report)
