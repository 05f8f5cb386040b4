"""Grants, renewals and releases on real sockets to servers that are slow to take commands."""

import json

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation, SystemClock
from fireflylink_daemon import read_settings
from fireflylink_daemon._messages import DeciderChanged, UpdatesRead
from fireflylink_decisions.ownership import CLOCK_DRIFT_FACTOR, GRANT_TIMEOUT_SECONDS
from fireflylink_protocol import encode_table, ownership_key
from fireflylink_standins import StoreState
from fireflylink_store import Commit, Item, Put

SERVER = ServerIncarnation("i-1", 1)
RANGE_COUNT = 6
RANGES = tuple(
    KeyRange(number * 10_000, number * 10_000 + 9_999 if number < RANGE_COUNT - 1 else 65_535)
    for number in range(RANGE_COUNT)
)
TABLE = OwnershipTable("a", 3, tuple(Assignment(keys, SERVER, 3) for keys in RANGES))
CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 110, "sharded": True}],
    "virtual-hosts": [],
}


class SilentServer:
    """Accepts connections and reads commands, but answers none of them.

    ``arrivals`` has the time on ``clock`` and the body of each command.
    """

    def __init__(self, clock: SystemClock) -> None:
        self.clock = clock
        self.arrivals: list[tuple[float, dict]] = []
        self.server = StreamServer(("127.0.0.1", 0), self._handle)
        self.server.start()
        self.port = self.server.server_port

    def _handle(self, connection: socket.socket, _address: object) -> None:
        while True:
            try:
                data = connection.recv(65536)
            except OSError:
                return
            if not data:
                return
            body = data.partition(b"\r\n\r\n")[2]
            self.arrivals.append((self.clock.now(), json.loads(body)))


@pytest.fixture
def system_clock() -> SystemClock:
    return SystemClock()


@pytest.fixture
def silent_server(system_clock):
    server = SilentServer(system_clock)
    yield server
    server.server.stop()


@pytest.fixture
def decider(harness_class, settings_file, system_clock, silent_server):
    """A decider that has to grant all ranges of ``TABLE`` to ``silent_server``."""
    store_state = StoreState(system_clock)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(TABLE)),)))
    settings = read_settings(settings_file()).unwrap()
    daemon = harness_class(settings, system_clock, store_state, "front-0")
    server = {
        "service": "a",
        "address": f"127.0.0.1:{silent_server.port}",
        "zone": "kingston",
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
    items = (
        Item("op/config", json.dumps(CONFIGURATION).encode(), 1),
        Item("servers/i-1", json.dumps(server).encode(), 2),
    )
    updates = tuple(update for item in items for update in daemon.decoder.decode(item))
    daemon.view_task.receive(UpdatesRead(updates, 2, True))
    daemon.deliver()
    daemon.decider_task.receive(DeciderChanged(None, 0))
    daemon.decider_task.election.vacant_since = system_clock.now() - 5.0
    daemon.decider_task.on_wake()
    daemon.deliver()
    daemon.ownership_task.on_wake()
    daemon.deliver()
    # The planner would merge the neighbouring ranges of one owner.
    daemon.ownership_task.services["a"].next_plan_at = float("inf")
    yield daemon
    daemon.ownership_task._stop_deciding()


def run(daemon, clock, seconds: float) -> None:
    """Lets the decider work for some seconds, at the interval of its task."""
    ends_at = clock.now() + seconds
    while clock.now() < ends_at:
        daemon.ownership_task.on_wake()
        daemon.deliver()
        gevent.sleep(0.02)


def test_no_grant_arrives_later_than_the_decider_counts_with(decider, silent_server, system_clock):
    """Guards against two holders of a key.

    Grants wait behind others to a server that does not answer. One that is sent after its turn
    starts a hold that outlasts what the decider counts with; the keys are then granted elsewhere.
    """
    late = []
    seen = 0
    ends_at = system_clock.now() + 2.5
    while system_clock.now() < ends_at:
        run(decider, system_clock, 0.02)
        tracker = decider.ownership_task.services["a"].grant_tracker
        for arrived_at, body in silent_server.arrivals[seen:]:
            seen += 1
            keys = KeyRange(body["from"], body["to"])
            hold_ends_at = arrived_at + body["hold-ms"] / 1000.0 * CLOCK_DRIFT_FACTOR
            # Without the holds of former deciders, which would hide a wait of a few seconds.
            if tracker.holds.expiries[SERVER][(keys, body["fence"])] < hold_ends_at:
                late.append((arrived_at, keys))
    assert_that(seen, GreaterThan(RANGE_COUNT))
    assert_that(late, HasLength(0))


def test_a_slow_server_does_not_delay_the_grants_of_its_other_ranges(
    decider, silent_server, system_clock
):
    """Guards against renewals that wait for the time-out of each command before them."""
    run(decider, system_clock, 2 * GRANT_TIMEOUT_SECONDS)
    first_arrivals: dict[int, float] = {}
    for arrived_at, body in silent_server.arrivals:
        first_arrivals.setdefault(body["from"], arrived_at)
    assert_that(set(first_arrivals), Equals({keys.first for keys in RANGES}))
    waited = max(first_arrivals.values()) - min(first_arrivals.values())
    # One after the other, the last one would wait for the time-outs of the five before it.
    assert_that(waited, LessThan((RANGE_COUNT - 1) * GRANT_TIMEOUT_SECONDS / 2))
