"""The decider's election and takeover, store outages, and updates read from the store."""

import json

from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import (
    DeciderChanged,
    StoreReadFailed,
    StoreReadSucceeded,
    UpdatesRead,
)
from fireflylink_decisions.ownership import OUTAGE_GRACE_SECONDS
from fireflylink_protocol import (
    DECIDER_KEY,
    MemberRecord,
    encode_member,
    encode_table,
    member_key,
    ownership_key,
)
from fireflylink_standins import MemoryStore
from fireflylink_store import Commit, Item, Put, StoreUnavailableError

SLOW_CALL_SECONDS = 0.65
"""Less than the time-out of a call, and more than half of the decider's lease."""

CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 110, "sharded": True}],
    "virtual-hosts": [],
}
TABLE = OwnershipTable("a", 3, (Assignment(KeyRange(0, 65535), ServerIncarnation("i-1", 1), 3),))


def server_item(name: str, revision: int, **changes: object) -> Item:
    value = {
        "service": "a",
        "address": f"10.0.0.{name[-1]}:80",
        "zone": "kingston",
        "slots": 4,
        "state": "ready",
        "born": 1,
        **changes,
    }
    return Item(f"servers/{name}", json.dumps(value).encode(), revision)


def apply_items(daemon, *items: Item, is_snapshot: bool = False) -> None:
    """Passes store items to the view task as the store reader does, and delivers all messages."""
    updates = tuple(update for item in items for update in daemon.decoder.decode(item))
    daemon.last_revision += 1
    daemon.view_task.receive(UpdatesRead(updates, daemon.last_revision, is_snapshot))
    daemon.deliver()


def with_configuration(daemon):
    apply_items(daemon, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), is_snapshot=True)
    return daemon


def elect(daemon, clock) -> None:
    """Makes the daemon the decider.

    The store reports that there is no decider record. After 5 s, longer than any daemon waits for
    those of a lower rank, the daemon stands for election without a rival.
    """
    daemon.decider_task.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    daemon.decider_task.on_wake()
    daemon.deliver()


def test_one_daemon_of_several_becomes_the_decider(make_daemon, clock):
    """Guards against two deciders after two daemons have stood for election at the same time."""
    first, second = make_daemon("front-0"), make_daemon("front-1")
    for daemon in (first, second):
        daemon.decider_task.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    for daemon in (first, second):
        daemon.decider_task.on_wake()
    assert_that(first.decider_task.election.is_decider, Is(True))
    assert_that(second.decider_task.election.is_decider, Is(False))


def test_a_daemon_reads_from_the_store_that_it_was_elected(make_daemon, clock, store_state):
    """Guards against a fleet without a decider.

    The write of the decider record took effect, but the daemon did not receive the answer.
    """
    candidate = make_daemon()
    candidate.store.drops_replies = True
    elect(candidate, clock)
    assert_that(candidate.decider_task.election.is_decider, Is(False))
    candidate.store.drops_replies = False
    item = store_state.read(DECIDER_KEY)
    candidate.decider_task.receive(DeciderChanged(candidate.record, item.revision))
    assert_that(candidate.decider_task.election.is_decider, Is(True))


def test_a_new_decider_advances_the_fences_of_the_tables(make_daemon, clock, store_state):
    """Guards against two holders of a key.

    With the old fences, servers would still accept renewals that a former decider sends.
    """
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(TABLE)),)))
    successor = with_configuration(make_daemon())
    apply_items(successor, server_item("i-1", 2))
    elect(successor, clock)
    successor.ownership_task.on_wake()
    successor.deliver()
    service = successor.ownership_task.services["a"]
    assert_that(service.table.fence, GreaterThan(TABLE.fence))
    assert_that(
        {assignment.fence for assignment in service.table.assignments},
        Equals({service.table.fence}),
    )


def test_a_decider_steps_down_when_it_reads_a_table_of_another_decider(
    make_daemon, clock, store_state
):
    """Guards against two holders of a key.

    A decider that has been partitioned from the store reads its successor's table. If it stayed the
    decider, it would grant a key to the new owner while the former owner may still hold it.
    """
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(TABLE)),)))
    former = with_configuration(make_daemon())
    apply_items(former, server_item("i-1", 2))
    elect(former, clock)
    former.ownership_task.on_wake()
    former.deliver()
    moved = Assignment(
        KeyRange(0, 65535), ServerIncarnation("i-2", 1), 9, (ServerIncarnation("i-1", 1),)
    )
    foreign = OwnershipTable("a", 9, (moved,))
    apply_items(former, Item(ownership_key("a"), encode_table(foreign), 900))
    assert_that(former.ownership_task.is_decider, Is(False))
    assert_that(former.decider_task.election.is_decider, Is(False))


def test_a_decider_steps_down_when_its_record_is_deleted(make_daemon, clock):
    """Guards against a decider that continues after its lease has been revoked."""
    daemon = with_configuration(make_daemon())
    elect(daemon, clock)
    daemon.decider_task.receive(DeciderChanged(None, 10_000))
    daemon.deliver()
    assert_that(daemon.ownership_task.is_decider, Is(False))


def test_a_decider_stops_when_another_has_its_record_although_its_lease_is_renewed(
    make_daemon, clock, store_state
):
    """Guards against two deciders: the store revoked the record, another daemon was elected, and
    the former decider, whose watch hears nothing, goes on for as long as its lease is renewed."""
    daemon = with_configuration(make_daemon())
    elect(daemon, clock)
    other = encode_member(MemberRecord("front-9", 1, "kingston", "127.0.0.9", 7540))
    store_state.commit(Commit(puts=(Put(DECIDER_KEY, other),)))
    for _ in range(20):
        clock.advance(0.1)
        daemon.decider_task.on_wake()
    daemon.deliver()
    assert_that(daemon.ownership_task.is_decider, Is(False))


def test_a_decider_stops_granting_after_the_grace_time_without_the_store(make_daemon, clock):
    """Guards against a decider that is partitioned from the store and never stops granting."""
    daemon = with_configuration(make_daemon())
    elect(daemon, clock)
    daemon.store.reachable = False
    clock.advance(OUTAGE_GRACE_SECONDS - 1.0)
    daemon.decider_task.on_wake()
    assert_that(daemon.decider_task.election.may_grant(clock.now()), Is(True))
    clock.advance(2.0)
    assert_that(daemon.decider_task.election.may_grant(clock.now()), Is(False))


def test_a_snapshot_removes_what_it_does_not_contain(make_daemon, clock):
    """Guards against servers and evacuations that remain after their items were deleted.

    A daemon that missed the deletions, because the store had compacted them, reads a snapshot.
    """
    daemon = with_configuration(make_daemon())
    apply_items(daemon, server_item("i-1", 2), Item("op/evacuate/kingston", b"{}", 3))
    assert_that(daemon.routing_state.directory.evacuated.keys(), Equals({"kingston"}))
    apply_items(
        daemon,
        server_item("i-2", 4),
        Item("op/config", json.dumps(CONFIGURATION).encode(), 1),
        is_snapshot=True,
    )
    assert_that(set(daemon.routing_state.directory.entries), Equals({"i-2"}))
    assert_that(daemon.routing_state.directory.evacuated, Equals({}))


def test_registrations_that_expired_in_an_outage_are_used_until_the_grace_time_ends(
    make_daemon, clock
):
    """Guards against a daemon without servers after an outage of the store.

    The registrations expired during the outage, and the servers need some time to register again.
    """
    daemon = with_configuration(make_daemon())
    apply_items(daemon, server_item("i-1", 2), server_item("i-2", 3))
    daemon.view_task.receive(StoreReadFailed("down"))
    clock.advance(8.0)
    daemon.view_task.receive(StoreReadSucceeded())
    apply_items(daemon, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), is_snapshot=True)
    pool = daemon.routing_state.dispatcher.pools["a"]
    assert_that(len(pool.trackers), Equals(2))
    apply_items(daemon, server_item("i-1", 9))
    clock.advance(2.1)
    daemon.view_task.on_wake()
    assert_that([incarnation.server_id for incarnation in pool.trackers], Equals(["i-1"]))


def test_an_older_configuration_never_replaces_a_newer_one(make_daemon):
    """Guards against a daemon that returns to an older configuration version."""
    daemon = with_configuration(make_daemon())
    older = {**CONFIGURATION, "version": "r6", "services": []}
    apply_items(daemon, Item("op/config", json.dumps(older).encode(), 9))
    assert_that(daemon.routing_state.routes.version, Equals(7))


def test_an_item_that_cannot_be_decoded_changes_nothing(make_daemon):
    """Guards against a malformed value that removes the routes or adds a server."""
    daemon = with_configuration(make_daemon())
    apply_items(daemon, Item("op/config", b"{}", 9), Item("servers/i-9", b"x", 10))
    assert_that(daemon.routing_state.routes.version, Equals(7))
    assert_that(daemon.routing_state.directory.entries, Equals({}))


def test_servers_are_cold_after_an_evacuation_has_ended(make_daemon, clock):
    """Guards against overloading servers that need to warm up after an evacuation."""
    service = {"name": "a", "max-conns": 110, "warmup-s": 3.0, "warmup-per-s": 7.3}
    daemon = make_daemon()
    value = {**CONFIGURATION, "services": [service]}
    apply_items(daemon, Item("op/config", json.dumps(value).encode(), 1), server_item("i-1", 2))
    [tracker] = daemon.routing_state.trackers.values()
    daemon.routing_state.set_evacuated("kingston", True)
    assert_that(tracker.cold_limiter.is_cold(clock.now()), Is(False))
    daemon.routing_state.set_evacuated("kingston", False)
    assert_that(tracker.cold_limiter.is_cold(clock.now()), Is(True))


def test_a_daemon_whose_record_expired_has_no_share_of_cold_servers(make_daemon):
    """Guards against exceeding the rate limit of cold servers.

    The daemon's record expires in an outage of the store, and the other daemons divide its share of
    the limit among themselves. The daemon must not use that share until it is listed again.
    """
    daemon = with_configuration(make_daemon())
    names = [f"front-{number}" for number in range(4)]
    for name in names:
        record = MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)
        apply_items(daemon, Item(member_key(name), encode_member(record), 5))
    assert_that(daemon.routing_state.fleet_position.whole_share(14.0, "i-1"), GreaterThan(2))
    apply_items(daemon, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), is_snapshot=True)
    for name in names[1:]:
        record = MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)
        apply_items(daemon, Item(member_key(name), encode_member(record), 9))
    assert_that(daemon.routing_state.fleet_position.whole_share(14.0, "i-1"), Equals(0))


def test_a_lease_is_not_shorter_than_the_minimum_of_the_store(
    make_daemon, clock, store_state, settings_file
):
    """Guards against a fleet without a decider when the store refuses short leases."""
    daemon = make_daemon()
    daemon.routing_state.settings = daemon.routing_state.settings.replace(minimum_lease_seconds=4.0)
    decider_task = type(daemon.decider_task)(
        daemon.record, daemon.store, daemon.routing_state, clock, daemon.decider_task.metrics
    )
    decider_task.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    decider_task.on_wake()
    assert_that([seconds for seconds, _ in store_state.leases.values()], Equals([4.0]))


class RefusingStore(MemoryStore):
    """Refuses to read single items, as a store does whose limit on reads is used up."""

    __slots__ = ()

    def read(self, key, deadline):
        return Failure(StoreUnavailableError("status 429"))


class SlowStore(MemoryStore):
    """Takes ``SLOW_CALL_SECONDS`` for a read and for the renewal of a lease."""

    __slots__ = ()

    def read(self, key, deadline):
        return self._slowly(lambda: super(SlowStore, self).read(key, deadline))

    def renew_lease(self, lease_id, deadline):
        return self._slowly(lambda: super(SlowStore, self).renew_lease(lease_id, deadline))

    def _slowly(self, call):
        self.state.clock.advance(SLOW_CALL_SECONDS / 2)
        result = call()
        self.state.clock.advance(SLOW_CALL_SECONDS / 2)
        return result


def test_a_decider_whose_record_cannot_be_read_makes_way_for_another_one(make_daemon, store_state):
    """Guards against keys that nobody owns: a decider renews its lease for a tenth of a read, while
    the store refuses its reads, and grants nothing after the grace time of an outage."""
    daemon = make_daemon()
    daemon.record_commands()
    daemon.stand_for_election()
    daemon.decider_task.store = RefusingStore(store_state)
    daemon.run(OUTAGE_GRACE_SECONDS + 2.0)
    election = daemon.decider_task.election
    is_idle = election.is_decider and not election.may_grant(daemon.clock.now())
    assert_that(is_idle, Is(False))


def test_a_decider_keeps_its_lease_while_the_store_is_slow(make_daemon, clock, store_state):
    """Guards against a decider that loses its lease of 1.2 s, because it reads its record between
    two renewals that take 0.65 s each."""
    daemon = make_daemon()
    daemon.stand_for_election()
    daemon.decider_task.store = SlowStore(store_state)
    revision = daemon.decider_task.election.revision
    for _ in range(200):
        clock.advance(0.01)
        daemon.decider_task.on_wake()
        assert_that(daemon.decider_task.election.revision, Equals(revision))
