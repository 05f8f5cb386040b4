"""Key ownership while servers restart under their ids."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import CommandCompleted, DeciderChanged, UpdatesRead
from fireflylink_decisions.ownership import GrantCommand, ReleaseCommand
from fireflylink_protocol import encode_table, ownership_key
from fireflylink_store import Commit, Item, Put

ALL_KEYS = KeyRange(0, 65535)
FORMER = ServerIncarnation("i-1", 1)
CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 110, "sharded": True}],
    "virtual-hosts": [],
}


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
        pass

    def take(self) -> list:
        sent, self.sent = self.sent, []
        return sent


def registration(name: str, born: int, state: str = "ready") -> Item:
    value = {
        "service": "a",
        "address": f"10.0.0.{name[-1]}:80",
        "zone": "kingston",
        "slots": 4,
        "state": state,
        "born": born,
    }
    return Item(f"servers/{name}", json.dumps(value).encode(), born)


def apply_items(daemon, *items: Item) -> None:
    updates = tuple(update for item in items for update in daemon.decoder.decode(item))
    daemon.view_task.receive(UpdatesRead(updates, 1, False))
    daemon.deliver()


def wake(daemon, clock, seconds: float) -> list:
    """Lets time pass and the decider act each 0.1 s; returns the commands that it sends."""
    ends_at = clock.now() + seconds
    while clock.now() < ends_at:
        clock.advance(0.1)
        daemon.decider_task.on_wake()
        daemon.ownership_task.on_wake()
        daemon.deliver()
        daemon.ownership_task.on_wake()
    return daemon.ownership_task.commands.take()


def complete(daemon, command) -> None:
    daemon.ownership_task.receive(CommandCompleted("a", command, None, "", None))
    daemon.deliver()


@pytest.fixture
def decider(make_daemon, clock, store_state):
    """Returns a decider whose keys are all granted to the server ``i-1``."""
    stored = OwnershipTable("a", 3, (Assignment(ALL_KEYS, FORMER, 3),))
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(stored)),)))
    daemon = make_daemon()
    daemon.ownership_task.commands = RecordingCommands()
    apply_items(
        daemon,
        Item("op/config", json.dumps(CONFIGURATION).encode(), 1),
        registration("i-1", 1),
    )
    daemon.decider_task.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    daemon.decider_task.on_wake()
    daemon.deliver()
    [grant] = wake(daemon, clock, 0.1)
    complete(daemon, grant)
    return daemon


def test_a_key_is_not_granted_on_while_the_next_incarnation_of_its_holder_serves_it(decider, clock):
    """Guards against two owners of a key.

    The server restarted under its id, accepted a renewal, and leaves: its keys go to another one.
    """
    [renewal] = wake(decider, clock, 1.1)
    complete(decider, renewal)
    apply_items(decider, registration("i-1", 2, "draining"), registration("i-2", 1))
    commands = wake(decider, clock, 0.4) + wake(decider, clock, 0.1)
    assert_that([c for c in commands if isinstance(c, GrantCommand)], HasLength(0))
    [release] = [c for c in commands if isinstance(c, ReleaseCommand)]
    assert_that(release.server, Equals(ServerIncarnation("i-1", 2)))
    complete(decider, release)
    grants = [c for c in wake(decider, clock, 0.1) if isinstance(c, GrantCommand)]
    assert_that([grant.server for grant in grants], Equals([ServerIncarnation("i-2", 1)]))
