"""Fixtures: the tasks of a daemon with an in-memory store and a manual clock."""

import json

import pytest

from fireflylink_core import DaemonAddress, ManualClock
from fireflylink_daemon import read_settings
from fireflylink_daemon._decider_task import DeciderTask
from fireflylink_daemon._messages import (
    CommandCompleted,
    DeciderChanged,
    DeciderRetiredReceived,
    UpdatesRead,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._ownership_task import OwnershipTask
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._view_task import ViewTask
from fireflylink_platform import PlatformItemDecoder, PlatformServerCodec
from fireflylink_protocol import DeciderClaim, DeciderRetired, MemberRecord
from fireflylink_standins import DAEMON_BOUNDS, MemoryStore, StoreState
from fireflylink_store import Item

SETTINGS = {
    "instance": "front-0",
    "data_centre": "kingston",
    "address": "127.0.0.1",
    "caller_address": "127.0.0.1:0",
    "readiness_address": "127.0.0.1:0",
    "metrics_port": 0,
    "peer_ports": [0, 0],
    "store": {"address": "127.0.0.1:1", "minimum_lease_ms": 1000},
    "bounds": DAEMON_BOUNDS,
}


class RecordingPeerSocket:
    """Stands in for ``PeerSocket``: records the notices instead of sending them."""

    def __init__(self) -> None:
        self.notices = []
        self.sent = []

    def broadcast(self, notice) -> None:
        self.notices.append(notice)

    def send(self, message, host, port) -> None:
        self.sent.append((message, (host, port)))

    def take(self) -> list:
        """Returns what was sent to single daemons since the last call, with their addresses."""
        sent, self.sent = self.sent, []
        return sent


class RecordingCommands:
    """Stands in for ``FleetCommands``: records the commands instead of sending them."""

    def __init__(self) -> None:
        self.sent = []

    def has_free_task(self, server, command, now) -> bool:
        return True

    def send(self, server, service, command, deadline) -> None:
        self.sent.append(command)

    def record_completed(self, message) -> bool:
        return False

    def close_absent(self, present) -> list:
        return []

    def close(self) -> None:
        """Does nothing: no connection is open."""

    def take(self) -> list:
        """Returns the commands that were sent since the last call."""
        sent, self.sent = self.sent, []
        return sent


class TaskHarness:
    """The view, decider and ownership tasks of a daemon.

    They run without greenlets: a test calls ``receive``, ``on_wake`` and ``deliver`` itself.
    """

    def __init__(self, settings, clock: ManualClock, store_state: StoreState, name: str) -> None:
        self.clock = clock
        self.store = MemoryStore(store_state)
        self.routing_state = RoutingState(settings, clock, PlatformServerCodec())
        self.view_task = ViewTask(self.routing_state, clock)
        self.record = MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)
        self.decider_task = DeciderTask(
            self.record, self.store, self.routing_state, clock, Metrics()
        )
        self.peers = RecordingPeerSocket()
        self.ownership_task = OwnershipTask(
            self.routing_state, self.decider_task, self.peers, clock, PlatformServerCodec()
        )
        self.decider_task.ownership_task = self.ownership_task
        self.view_task.ownership_task = self.ownership_task
        self.decoder = PlatformItemDecoder()
        self.last_revision = 0

    def record_commands(self) -> None:
        """Records the commands to servers instead of sending them."""
        self.ownership_task.commands = RecordingCommands()

    def apply_items(self, *items: Item) -> None:
        """Passes items to the view task as the store reader does, and delivers all messages."""
        updates = tuple(update for item in items for update in self.decoder.decode(item))
        self.view_task.receive(UpdatesRead(updates, 1, False))
        self.deliver()

    def stand_for_election(self) -> None:
        """Makes the daemon the decider, if the store has no decider record."""
        self.decider_task.receive(DeciderChanged(None, 0))
        self.clock.advance(5.0)
        self.decider_task.on_wake()
        self.deliver()

    def run(self, seconds: float) -> list:
        """Lets time pass and the decider act each 0.1 s; returns the commands that it sent."""
        ends_at = self.clock.now() + seconds
        while self.clock.now() < ends_at:
            self.clock.advance(0.1)
            self.decider_task.on_wake()
            self.ownership_task.on_wake()
            self.deliver()
            self.ownership_task.on_wake()
        return self.ownership_task.commands.take()

    def answer_claims(self) -> None:
        """Lets the former deciders that were asked to step down answer that they have."""
        for message, address in self.peers.take():
            if isinstance(message, DeciderClaim):
                notice = DeciderRetired("front-9", message.revision)
                self.ownership_task.receive(DeciderRetiredReceived(notice, address))

    def complete(self, *commands) -> None:
        """Lets commands to the service ``a`` succeed."""
        for command in commands:
            self.ownership_task.receive(CommandCompleted("a", command, None, "", None))
        self.deliver()

    def deliver(self) -> None:
        """Lets the tasks handle their messages until every mailbox is empty."""
        tasks = (self.view_task, self.decider_task, self.ownership_task)
        while any(not task.mailbox.empty() for task in tasks):
            for task in tasks:
                while not task.mailbox.empty():
                    task.receive(task.mailbox.get())


@pytest.fixture
def harness_class() -> type[TaskHarness]:
    return TaskHarness


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def settings_file(tmp_path):
    def write(**changes: object) -> str:
        path = tmp_path / "settings.json"
        path.write_text(json.dumps({**SETTINGS, **changes}))
        return str(path)

    return write


@pytest.fixture
def store_state(clock) -> StoreState:
    return StoreState(clock)


@pytest.fixture
def make_daemon(clock, store_state, settings_file):
    settings = read_settings(settings_file()).unwrap()

    def make(name: str = "front-0") -> TaskHarness:
        return TaskHarness(settings, clock, store_state, name)

    return make


@pytest.fixture
def former_decider() -> DaemonAddress:
    """A daemon that was the decider before those of the test."""
    return DaemonAddress("front-9", "127.0.0.9", 7540)


CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 110, "sharded": True}],
    "virtual-hosts": [],
}


@pytest.fixture
def configuration_item() -> Item:
    """A configuration with the keyed service ``a``."""
    return Item("op/config", json.dumps(CONFIGURATION).encode(), 1)


@pytest.fixture
def registration():
    """Returns a function that makes the registration of a server of the service ``a``."""

    def make(name: str, born: int, state: str = "ready") -> Item:
        value = {
            "service": "a",
            "address": f"10.0.0.{name[-1]}:80",
            "zone": "kingston",
            "slots": 4,
            "state": state,
            "born": born,
        }
        return Item(f"servers/{name}", json.dumps(value).encode(), born)

    return make
