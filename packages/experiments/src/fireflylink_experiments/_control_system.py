"""Control tasks of many daemons in one process, on a manual clock, with the real encoding."""

import heapq
import random
import time
from typing import Any

import gevent
from returns.result import Result, Success

from fireflylink_core import (
    EMPTY_CONFIGURATION,
    BackendServer,
    Configuration,
    DataCentre,
    EndorseReply,
    EndorseRequest,
    LoadReport,
    ManualClock,
    Member,
    ServerReport,
    ServerStatus,
    Service,
    ServiceKind,
    SyncReply,
    SyncRequest,
)
from fireflylink_daemon.control import (
    INSTANCE_PERIOD,
    LOAD_PERIOD,
    ControlState,
    ControlTask,
    DocumentCache,
    EndorseAsked,
    GatewayReport,
    LoadMeter,
    PeerDirectory,
    PlanningDesk,
    ReadAll,
    SyncAsked,
    View,
)
from fireflylink_decisions.authority import RENEWAL_PERIOD
from fireflylink_decisions.ownership import BoundedLoadPlanner, merge_tables
from fireflylink_documents import DocumentSigner, encode_configuration
from fireflylink_experiments._simulated_platform import (
    SimulatedPlatform,
    SimulatedPlatformTask,
    put_configuration,
)
from fireflylink_protocol import (
    PeerChannel,
    PeerError,
    decode_endorse_reply,
    decode_endorse_request,
    decode_sync_reply,
    decode_sync_request,
    encode_endorse_reply,
    encode_endorse_request,
    encode_sync_reply,
    encode_sync_request,
)

CLUSTER_KEY = b"k" * 32
SERVICE = "service"
REQUESTS_OF_A_SHARD = 200
"""Requests that a shard gets in a load period; the reports depend on them only by their noise."""
NOISE = 16


class SystemShape:
    """How large a system to build."""

    __slots__ = ("daemons", "data_centres", "servers_per_daemon", "shards_per_server")

    def __init__(
        self, daemons: int, data_centres: int, servers_per_daemon: int, shards_per_server: int
    ) -> None:
        self.daemons = daemons
        self.data_centres = data_centres
        self.servers_per_daemon = servers_per_daemon
        self.shards_per_server = shards_per_server

    def configuration(self) -> Configuration:
        """Returns a configuration with one keyed service over all data centres."""
        centres = tuple(f"dc{number:02}" for number in range(self.data_centres))
        count = self.daemons * self.servers_per_daemon
        servers = {}
        for number in range(count):
            server_id = f"{SERVICE}-{number:05}"
            centre = centres[number % len(centres)]
            servers[server_id] = BackendServer(
                server_id, SERVICE, centre, "127.0.0.1", 20000 + number, 4, 110
            )
        shards = count * self.shards_per_server
        service = Service(SERVICE, ServiceKind.KEYED, centres, shards)
        data_centres = {name: DataCentre(name, f"region{i % 3}") for i, name in enumerate(centres)}
        return Configuration(1, data_centres, {SERVICE: service}, servers)

    def members(self) -> tuple[Member, ...]:
        """Returns the daemons, spread over the data centres in turn."""
        return tuple(
            Member(f"daemon-{n:04}", f"dc{n % self.data_centres:02}", "127.0.0.1", 7000, 7001)
            for n in range(self.daemons)
        )


class Tally:
    """What one daemon spent: processor time in seconds, messages and encoded bytes both ways."""

    __slots__ = ("answered", "bytes", "children", "cpu", "endorsed", "messages", "views")

    def __init__(self) -> None:
        self.cpu = 0.0
        self.messages = 0
        self.bytes = 0
        self.answered = 0
        self.endorsed = 0
        self.views = 0
        self.children: set[str] = set()


class SimulatedDaemon:
    """One control task with its platform task and what it spent."""

    __slots__ = (
        "configuration_at",
        "groups",
        "instances_at",
        "loads_at",
        "member",
        "meters",
        "platform",
        "random",
        "routes",
        "tally",
        "task",
        "versions",
    )

    def __init__(self, member: Member, system: "ControlSystem") -> None:
        self.member = member
        self.tally = Tally()
        self.random = system.random
        self.routes = merge_tables(EMPTY_CONFIGURATION, ())
        self.meters: dict[str, LoadMeter] = {}
        cache = DocumentCache(system.signer)
        state = ControlState(member, cache, system.clock.now())
        desk = PlanningDesk(BoundedLoadPlanner())
        self.task = ControlTask(
            system.clock, state, desk, SimulatedPeers(system, self), self._take_view
        )
        self.platform = SimulatedPlatformTask(system.clock, system.platform, self.task)
        self.task.connect(self.platform)
        self.platform.post(ReadAll())
        self.loads_at = system.clock.now() + system.random.random() * LOAD_PERIOD
        self.instances_at = system.clock.now()
        self.versions: tuple[tuple[str, int], ...] = ()
        self.groups: dict[str, tuple[str, tuple[int, ...]]] = {}
        self.configuration_at: dict[int, float] = {}

    def _take_view(self, view: View) -> None:
        self.tally.views += 1
        self.routes = view.routes
        version = view.configuration.version
        if version not in self.configuration_at:
            self.configuration_at[version] = self.task.clock.now()

    def wake(self) -> None:
        """Does what the daemon does each period."""
        now = self.task.clock.now()
        self._report(now)
        if self.task.watching and now >= self.instances_at:
            self.instances_at = now + INSTANCE_PERIOD
            self.platform.wake()
        started = time.process_time()
        self.task.wake()
        self.tally.cpu += time.process_time() - started

    def _report(self, now: float) -> None:
        self._find_groups()
        with_loads = now >= self.loads_at
        if with_loads:
            self.loads_at = now + LOAD_PERIOD
        for group_id, (server_id, shards) in self.groups.items():
            loads = self._loads(group_id, shards, now) if with_loads else ()
            reports = (ServerReport(server_id, ServerStatus.UP),)
            self.task.post(GatewayReport(group_id, reports, loads, ()))

    def _loads(self, group_id: str, shards: tuple[int, ...], now: float) -> tuple[LoadReport, ...]:
        """Counts random keys of each shard with the real meter, as a gateway does."""
        meter = self.meters.setdefault(group_id, LoadMeter(now - LOAD_PERIOD))
        meter.started = now - LOAD_PERIOD
        for shard in shards:
            for _ in range(REQUESTS_OF_A_SHARD + self.random.randrange(-NOISE, NOISE + 1)):
                meter.count((SERVICE, shard), False, self.random.getrandbits(64))
        return meter.report(now)

    def _find_groups(self) -> None:
        versions = self.task.state.cache.table_versions()
        if versions == self.versions:
            return
        self.versions = versions
        self.groups = {}
        for table in self.task.state.own_tables():
            owned: dict[str, list[int]] = {}
            for shard, record in table.shards.items():
                owned.setdefault(record.group_id, []).append(shard[1])
            for group in table.groups.values():
                if group.gateway == self.member.instance_id:
                    shards = tuple(owned.get(group.group_id, ()))
                    self.groups[group.group_id] = (group.server_ids[0], shards)

    def drain(self) -> bool:
        """Handles the waiting messages; tells whether there were any."""
        found = False
        while not self.task.mailbox.empty():
            message = self.task.mailbox.get_nowait()
            started = time.process_time()
            self.task.receive(message)
            self.tally.cpu += time.process_time() - started
            found = True
        return found


class SimulatedChannel(PeerChannel):
    """Passes encoded messages from one simulated daemon to another and counts both ways."""

    __slots__ = ("receiver", "sender")

    def __init__(self, sender: SimulatedDaemon, receiver: SimulatedDaemon) -> None:
        self.peer = receiver.member
        self.sender = sender
        self.receiver = receiver

    def sync(self, request: SyncRequest, timeout: float) -> Result[SyncReply, PeerError]:
        if self.sender.member.data_centre == self.receiver.member.data_centre:
            self.receiver.tally.children.add(self.sender.member.instance_id)
        codec = (encode_sync_request, decode_sync_request, encode_sync_reply, decode_sync_reply)
        return Success(self._exchange(request, codec, SyncAsked))

    def endorse(self, request: EndorseRequest, timeout: float) -> Result[EndorseReply, PeerError]:
        self.receiver.tally.endorsed += 1
        codec = (
            encode_endorse_request,
            decode_endorse_request,
            encode_endorse_reply,
            decode_endorse_reply,
        )
        return Success(self._exchange(request, codec, EndorseAsked))

    def _exchange(self, request: Any, codec: tuple[Any, ...], asked: type) -> Any:
        encode_request, decode_request, encode_reply, decode_reply = codec
        started = time.process_time()
        sent = encode_request(request)
        between = time.process_time()
        answer = self.receiver.task.receive(asked(decode_request(sent)))
        returned = encode_reply(answer)
        answered = time.process_time()
        reply = decode_reply(returned)
        self.sender.tally.cpu += time.process_time() - answered + between - started
        self.receiver.tally.cpu += answered - between
        self.receiver.tally.answered += 1
        for daemon in (self.sender, self.receiver):
            daemon.tally.messages += 1
            daemon.tally.bytes += len(sent) + len(returned)
        return reply


class SimulatedPeers(PeerDirectory):
    """Finds the simulated daemons by instance id."""

    __slots__ = ("daemon", "system")

    def __init__(self, system: "ControlSystem", daemon: SimulatedDaemon) -> None:
        super().__init__(None)
        self.system = system
        self.daemon = daemon

    def channel(self, member: Member) -> PeerChannel:
        return SimulatedChannel(self.daemon, self.system.daemons[member.instance_id])


class ControlSystem:
    """The control planes of all daemons, each woken at its own phase of the period.

    A message is answered at the moment at which it is sent; delays of links are left out, so times
    of spreading are those that the periods cause.
    """

    __slots__ = ("clock", "configuration", "daemons", "platform", "queue", "random", "signer")

    def __init__(self, shape: SystemShape, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.signer = DocumentSigner(CLUSTER_KEY)
        self.platform = SimulatedPlatform(self.signer)
        self.platform.members = shape.members()
        self.configuration = shape.configuration()
        self.apply(self.configuration)
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.queue: list[tuple[float, str]] = []
        for member in self.platform.members:
            self.daemons[member.instance_id] = SimulatedDaemon(member, self)
            phase = self.random.random() * RENEWAL_PERIOD
            heapq.heappush(self.queue, (self.clock.now() + phase, member.instance_id))

    def apply(self, configuration: Configuration) -> None:
        """Stores a configuration, as an accepted release note does."""
        self.configuration = configuration
        payload = encode_configuration(configuration)
        put_configuration(self.platform, payload, self.clock.now())

    def run(self, seconds: float) -> None:
        """Lets the daemons run for a time."""
        end = self.clock.now() + seconds
        while self.queue[0][0] < end:
            at, instance_id = heapq.heappop(self.queue)
            self.clock.current = at
            self.daemons[instance_id].wake()
            self._settle(instance_id)
            heapq.heappush(self.queue, (at + RENEWAL_PERIOD, instance_id))
        self.clock.current = end

    def _settle(self, instance_id: str) -> None:
        """Delivers messages until none is waiting."""
        pending = [self.daemons[instance_id]]
        while pending:
            gevent.sleep(0)
            roots = [daemon for daemon in self.daemons.values() if daemon.task.watching]
            pending = [daemon for daemon in (*pending, *roots) if daemon.drain()]

    def reset(self) -> None:
        """Starts counting anew."""
        self.platform.calls.clear()
        for daemon in self.daemons.values():
            daemon.tally = Tally()

    def roots(self) -> tuple[SimulatedDaemon, ...]:
        """Returns the daemons that act as roots."""
        return tuple(daemon for daemon in self.daemons.values() if daemon.task.watching)
