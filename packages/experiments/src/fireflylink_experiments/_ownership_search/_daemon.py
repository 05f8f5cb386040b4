"""A simulated daemon: its view, decider and ownership tasks, without greenlets."""

import random
from collections.abc import Callable

from fireflylink_core import (
    CallerLimits,
    Configuration,
    DaemonAddress,
    KeyRange,
    OwnershipTable,
    Service,
)
from fireflylink_daemon.decider import (
    Address,
    BaseTask,
    Bounds,
    DeciderClaimReceived,
    DeciderRetiredReceived,
    DeciderTask,
    LoadReportReceived,
    Metrics,
    OwnershipTask,
    PeerSocket,
    RoutingState,
    Settings,
    StoreReadFailed,
    StoreReadSucceeded,
    UpdatesRead,
    ViewTask,
)
from fireflylink_decisions.ownership import (
    Candidate,
    GrantTracker,
    KeyedService,
    RangeLoad,
    TableDraft,
)
from fireflylink_experiments._ownership_search._wire import (
    SimulatedProcess,
    Wire,
    WireFleetCommands,
)
from fireflylink_platform import PlatformServerCodec
from fireflylink_protocol import (
    Datagram,
    DeciderClaim,
    DeciderRetired,
    LoadReport,
    MemberRecord,
)
from fireflylink_standins import MemoryStore
from fireflylink_store import BaseUpdate, ConfigurationUpdate, Item, RecordUpdate

SERVICE = "a"
PEER_PORT = 7540
MAX_MOVED_RANGES = 3
MAX_SPLIT_RANGES = 20
"""A table with more ranges gets no further ones by such moves."""

FORCED_MOVE_FRACTION = 0.5
"""How often the search moves keys when the plan has nothing to change."""

SPLIT_FRACTION = 0.5
MERGE_FRACTION = 0.5
COMPLETED_FRACTION = 0.8
"""How often such a move leaves out ranges whose last move is not completed."""

BOUNDS = Bounds(2.0, 6.0, 10.0, 0.2, 10.0, 58.0, 1.5, 5.0)
CONFIGURATION = Configuration(1, (), (Service(SERVICE, 110, 1.0, 1e6, keyed=True),), CallerLimits())

SendDatagram = Callable[[DaemonAddress, Datagram, tuple[str, int]], None]


class MovingKeyedService(KeyedService):
    """A keyed service that moves random keys when its plan has nothing to change."""

    __slots__ = ("rng",)

    def __init__(self, name: str, now: float, rng: random.Random) -> None:
        super().__init__(name, now)
        self.rng = rng

    def _changed_table(
        self, table: OwnershipTable, tracker: GrantTracker, candidates: list[Candidate], now: float
    ) -> OwnershipTable | None:
        self.next_rebalance_at = 0.0
        planned = super()._changed_table(table, tracker, candidates, now)
        may_move = candidates and tracker.is_sole_decider(now) and not table.has_unknown_holders
        if planned is not None or not may_move or self.rng.random() >= FORCED_MOVE_FRACTION:
            return planned
        draft = TableDraft(table, RangeLoad(self.load.sorted_rates(now)))
        only_completed = self.rng.random() < COMPLETED_FRACTION
        for _ in range(self.rng.randint(1, MAX_MOVED_RANGES)):
            self._move(draft, only_completed, candidates)
        if self.rng.random() < MERGE_FRACTION:
            draft.merge()
        return draft.table() if draft.changed else None

    def _move(self, draft: TableDraft, only_completed: bool, candidates: list[Candidate]) -> None:
        index = self.rng.randrange(len(draft.assignments))
        assignment = draft.assignments[index]
        owner = self.rng.choice(candidates).incarnation
        is_moved_before = assignment.fence == draft.fence
        is_incomplete = only_completed and assignment.previous_holders
        if owner == assignment.owner or is_moved_before or is_incomplete:
            return
        first, last = assignment.keys.first, assignment.keys.last
        if self.rng.random() < SPLIT_FRACTION and len(draft.assignments) < MAX_SPLIT_RANGES:
            first, last = sorted((self.rng.randint(first, last), self.rng.randint(first, last)))
        draft.reassign(index, KeyRange(first, last), owner)


class SimulatedPeerSocket(PeerSocket):
    """Passes datagrams to single daemons to the play; nothing else is sent."""

    __slots__ = ("address", "send_datagram")

    def __init__(self, address: DaemonAddress, send_datagram: SendDatagram) -> None:
        # The socket of the base class is not opened.
        self.address = address
        self.send_datagram = send_datagram

    def broadcast(self, notice: Datagram) -> None:
        """Does nothing: no other daemon routes requests."""

    def send(self, message: Datagram, host: str, port: int) -> None:
        self.send_datagram(self.address, message, (host, port))


class SimulatedDaemon:
    """One process of a daemon. ``run`` lets its tasks handle what is due."""

    __slots__ = (
        "decider_task",
        "next_refresh_at",
        "ownership_task",
        "process",
        "routing_state",
        "store",
        "store_was_reachable",
        "tasks",
        "view_task",
    )

    def __init__(
        self,
        record: MemberRecord,
        members: dict[str, MemberRecord],
        store: MemoryStore,
        wire: Wire,
        send_datagram: SendDatagram,
    ) -> None:
        clock = wire.scheduler.clock
        nowhere = Address(record.host, 0)
        settings = Settings(
            record.instance,
            record.data_centre,
            record.host,
            nowhere,
            nowhere,
            PEER_PORT,
            0,
            nowhere,
            1.0,
            BOUNDS,
            PEER_PORT,
        )
        self.process = SimulatedProcess(record.instance)
        self.store = store
        self.store_was_reachable = True
        codec = PlatformServerCodec()
        self.routing_state = RoutingState(settings, clock, codec)
        self.routing_state.set_members(members)
        self.view_task = ViewTask(self.routing_state, clock)
        self.decider_task = DeciderTask(record, store, self.routing_state, clock, Metrics())
        address = DaemonAddress(record.instance, record.host, record.port)
        peers = SimulatedPeerSocket(address, send_datagram)
        self.ownership_task = OwnershipTask(
            self.routing_state, self.decider_task, peers, clock, codec
        )
        commands = WireFleetCommands(
            clock, codec, self.ownership_task, self.ownership_task.hold_seconds
        )
        commands.wire = wire
        commands.process = self.process
        self.ownership_task.commands = commands
        service = MovingKeyedService(SERVICE, clock.now(), wire.rng)
        self.ownership_task.services[SERVICE] = service
        self.decider_task.ownership_task = self.ownership_task
        self.view_task.ownership_task = self.ownership_task
        self.tasks: tuple[BaseTask, ...] = (
            self.view_task,
            self.decider_task,
            self.ownership_task,
        )
        self.next_refresh_at = 0.0

    def start(self, updates: list[BaseUpdate], items: list[Item], revision: int) -> None:
        """Reads a snapshot of the store."""
        records = [RecordUpdate(item.key, item.value, item.revision) for item in items]
        configuration = ConfigurationUpdate(CONFIGURATION, 1)
        snapshot = (configuration, *updates, *records)
        self.view_task.receive(UpdatesRead(snapshot, revision, True))

    def is_running(self, now: float) -> bool:
        """Whether the process is neither ended nor frozen."""
        return self.process.is_alive and now >= self.process.frozen_until

    @property
    def is_decider(self) -> bool:
        return self.ownership_task.is_decider

    def read(self, updates: list[BaseUpdate], revision: int) -> None:
        """Applies changes of the store, if it can be reached, or records that it cannot."""
        if self.store.reachable != self.store_was_reachable:
            self.store_was_reachable = self.store.reachable
            reachable = self.store.reachable
            self.view_task.receive(StoreReadSucceeded() if reachable else StoreReadFailed("cut"))
        if updates:
            self.view_task.receive(UpdatesRead(tuple(updates), revision, False))

    def receive_datagram(self, message: Datagram, sender: tuple[str, int]) -> None:
        """Passes on what another daemon has sent."""
        if isinstance(message, DeciderClaim):
            self.ownership_task.post(DeciderClaimReceived(message, sender))
        elif isinstance(message, DeciderRetired):
            self.ownership_task.post(DeciderRetiredReceived(message, sender))
        elif isinstance(message, LoadReport):
            self.ownership_task.post(LoadReportReceived(message))

    def run(self, now: float) -> None:
        """Lets the tasks handle their messages, and wake if they are due."""
        completed, self.process.to_deliver = self.process.to_deliver, []
        for message in completed:
            self.ownership_task.post(message)
        self._deliver()
        for task in self.tasks:
            if now >= task.next_wake_at() or (
                task is self.decider_task and not self.decider_task.election.is_decider
            ):
                task.on_wake()
        self._deliver()
        if now >= self.ownership_task.next_wake_at():
            self.ownership_task.on_wake()
            self._deliver()

    def _deliver(self) -> None:
        while any(not task.mailbox.empty() for task in self.tasks):
            for task in self.tasks:
                while not task.mailbox.empty():
                    task.receive(task.mailbox.get())
