"""Election, takeover, outages and reading of the store, on the real tasks."""

import json

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import DeciderChanged, StoreLost, StoreReached, UpdatesRead
from fireflylink_decisions.ownership import OUTAGE_GRACE_SECONDS
from fireflylink_protocol import (
    DECIDER_KEY,
    MemberRecord,
    encode_member,
    encode_table,
    member_key,
    ownership_key,
)
from fireflylink_store import Commit, Item, Put

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


def read(bench, *items: Item, whole: bool = False) -> None:
    """Lets the view read items as the store's reader posts them."""
    updates = tuple(update for item in items for update in bench.decoder.decode(item))
    bench.last_revision += 1
    bench.view.receive(UpdatesRead(updates, bench.last_revision, whole))
    bench.deliver()


def configured(bench):
    read(bench, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), whole=True)
    return bench


def elect(bench, clock) -> None:
    bench.decider.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    bench.decider.wake()
    bench.deliver()


def test_one_daemon_of_several_becomes_the_decider(bench, clock):
    """Guards against two daemons that both decide."""
    first, second = bench("front-0"), bench("front-1")
    for daemon in (first, second):
        daemon.decider.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    for daemon in (first, second):
        daemon.decider.wake()
    assert_that(first.decider.election.is_decider, Is(True))
    assert_that(second.decider.election.is_decider, Is(False))


def test_an_election_whose_answer_was_lost_is_noticed_by_the_watch(bench, clock, state):
    """Guards against a fleet without a decider: the write took effect, its answer did not come."""
    candidate = bench()
    candidate.store.drops_replies = True
    elect(candidate, clock)
    assert_that(candidate.decider.election.is_decider, Is(False))
    candidate.store.drops_replies = False
    item = state.read(DECIDER_KEY)
    candidate.decider.receive(DeciderChanged(candidate.record, item.revision))
    assert_that(candidate.decider.election.is_decider, Is(True))


def test_a_decider_takes_over_the_tables_under_a_new_fence(bench, clock, state):
    """Guards against OWNER: renewals of a former decider that servers still take."""
    state.commit(Commit((), (Put(ownership_key("a"), encode_table(TABLE)),)))
    taking = configured(bench())
    read(taking, server_item("i-1", 2))
    elect(taking, clock)
    taking.ownership.wake()
    taking.deliver()
    service = taking.ownership.services["a"]
    assert_that(service.table.fence, GreaterThan(TABLE.fence))
    assert_that({a.fence for a in service.table.assignments}, Equals({service.table.fence}))


def test_a_decider_that_reads_another_ones_table_stops(bench, clock, state):
    """Guards against OWNER as on a day of the bench: a decider that was cut off came back, read the
    table of its successor, and granted a key that its former holder still had."""
    state.commit(Commit((), (Put(ownership_key("a"), encode_table(TABLE)),)))
    old = configured(bench())
    read(old, server_item("i-1", 2))
    elect(old, clock)
    old.ownership.wake()
    old.deliver()
    moved = Assignment(
        KeyRange(0, 65535), ServerIncarnation("i-2", 1), 9, (ServerIncarnation("i-1", 1),)
    )
    foreign = OwnershipTable("a", 9, (moved,))
    read(old, Item(ownership_key("a"), encode_table(foreign), 900))
    assert_that(old.ownership.deciding, Is(False))
    assert_that(old.decider.election.is_decider, Is(False))


def test_a_decider_whose_record_was_taken_away_stops(bench, clock):
    """Guards against a decider that does not learn that its lease was revoked."""
    decider = configured(bench())
    elect(decider, clock)
    decider.decider.receive(DeciderChanged(None, 10_000))
    decider.deliver()
    assert_that(decider.ownership.deciding, Is(False))


def test_a_decider_without_the_store_grants_only_for_a_time(bench, clock):
    """Guards against a decider that was cut off and goes on granting for ever."""
    decider = configured(bench())
    elect(decider, clock)
    decider.store.reachable = False
    clock.advance(OUTAGE_GRACE_SECONDS - 1.0)
    decider.decider.wake()
    assert_that(decider.decider.election.may_grant(clock.now()), Is(True))
    clock.advance(2.0)
    assert_that(decider.decider.election.may_grant(clock.now()), Is(False))


def test_a_whole_reading_removes_what_it_does_not_hold(bench, clock):
    """Guards against servers and evacuations that ended while the history was lost."""
    reader = configured(bench())
    read(reader, server_item("i-1", 2), Item("op/evacuate/kingston", b"{}", 3))
    assert_that(reader.serving.directory.evacuated.keys(), Equals({"kingston"}))
    read(
        reader,
        server_item("i-2", 4),
        Item("op/config", json.dumps(CONFIGURATION).encode(), 1),
        whole=True,
    )
    assert_that(set(reader.serving.directory.entries), Equals({"i-2"}))
    assert_that(reader.serving.directory.evacuated, Equals({}))


def test_registrations_that_lapsed_in_an_outage_are_used_until_the_grace_time_ends(bench, clock):
    """Guards against RECOVER: every server is given up at the end of an outage."""
    reader = configured(bench())
    read(reader, server_item("i-1", 2), server_item("i-2", 3))
    reader.view.receive(StoreLost("down"))
    clock.advance(8.0)
    reader.view.receive(StoreReached())
    read(reader, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), whole=True)
    pool = reader.serving.dispatcher.pools["a"]
    assert_that(len(pool.trackers), Equals(2))
    read(reader, server_item("i-1", 9))
    clock.advance(2.1)
    reader.view.wake()
    assert_that([incarnation.server_id for incarnation in pool.trackers], Equals(["i-1"]))


def test_an_older_configuration_never_replaces_a_newer_one(bench):
    """Guards against CONFIG: a daemon that goes back."""
    reader = configured(bench())
    older = {**CONFIGURATION, "version": "r6", "services": []}
    read(reader, Item("op/config", json.dumps(older).encode(), 9))
    assert_that(reader.serving.routes.version, Equals(7))


def test_an_unreadable_item_changes_nothing(bench):
    """Guards against a foreign value that empties the routes or adds a server."""
    reader = configured(bench())
    read(reader, Item("op/config", b"{}", 9), Item("servers/i-9", b"x", 10))
    assert_that(reader.serving.routes.version, Equals(7))
    assert_that(reader.serving.directory.entries, Equals({}))


def test_servers_that_come_back_from_an_evacuation_are_taken_for_cold(bench, clock):
    """Guards against FAILBACK: a data centre that is taken back at full rate."""
    warm = {"name": "a", "max-conns": 110, "warmup-s": 3.0, "warmup-per-s": 7.3}
    reader = bench()
    value = {**CONFIGURATION, "services": [warm]}
    read(reader, Item("op/config", json.dumps(value).encode(), 1), server_item("i-1", 2))
    [tracker] = reader.serving.trackers.values()
    reader.serving.set_evacuated("kingston", True)
    assert_that(tracker.cold_limiter.is_cold(clock.now()), Is(False))
    reader.serving.set_evacuated("kingston", False)
    assert_that(tracker.cold_limiter.is_cold(clock.now()), Is(True))


def test_a_daemon_whose_record_lapsed_has_no_share_of_cold_servers(bench):
    """Guards against FAILBACK, cmva trouble-1 at 23 s: a daemon came back from an outage in which
    the others had divided its share among themselves, and used it once more."""
    daemon = configured(bench())
    names = [f"front-{number}" for number in range(4)]
    for name in names:
        record = MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)
        read(daemon, Item(member_key(name), encode_member(record), 5))
    assert_that(daemon.serving.position.share(14.0, "i-1"), GreaterThan(2))
    read(daemon, Item("op/config", json.dumps(CONFIGURATION).encode(), 1), whole=True)
    for name in names[1:]:
        record = MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)
        read(daemon, Item(member_key(name), encode_member(record), 9))
    assert_that(daemon.serving.position.share(14.0, "i-1"), Equals(0))


def test_a_lease_is_as_long_as_the_store_asks_for(bench, clock, state, settings_file):
    """Guards against a fleet without a decider where the store refuses short leases."""
    daemon = bench()
    daemon.serving.settings = daemon.serving.settings.replace(minimum_lease_seconds=4.0)
    again = type(daemon.decider)(
        daemon.record, daemon.store, daemon.serving, clock, daemon.decider.metrics
    )
    again.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    again.wake()
    assert_that([seconds for seconds, _ in state.leases.values()], Equals([4.0]))
