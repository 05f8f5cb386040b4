"""Readers of the store that pass changes on to each other, with a real store state."""

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from fireflylink_core import ChangeFragment, SystemClock
from fireflylink_daemon import read_settings
from fireflylink_daemon._member_task import MemberTask
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._store_reader import StoreReader
from fireflylink_daemon._view_task import ViewTask
from fireflylink_decisions.relay import RelayRoles
from fireflylink_platform import PlatformItemDecoder, PlatformServerCodec
from fireflylink_protocol import (
    MemberRecord,
    decode_datagram,
    encode_datagram,
    encode_member,
    member_key,
)
from fireflylink_standins import MemoryStore, StoreState, write_configuration
from fireflylink_store import Commit, Put, StoreUnavailableError, era_of, qualified, qualified_lease

NAMES = ("front-0", "front-1", "front-2")


class Network:
    """Delivers fragments between readers as datagrams; ``lost`` drops every one."""

    def __init__(self) -> None:
        self.readers = {}
        self.lost = False
        self.longest_bytes = 0

    def send_fragments(self, fragments, receivers) -> None:
        for fragment in fragments:
            datagram = encode_datagram(fragment)
            self.longest_bytes = max(self.longest_bytes, len(datagram))
            for name in receivers:
                if not self.lost and name in self.readers:
                    self.readers[name].post_fragment(decode_datagram(datagram).unwrap())


class CountingStore(MemoryStore):
    """Counts the calls that read, and answers none while ``down``; a watch polls."""

    def __init__(self, state) -> None:
        super().__init__(state)
        self.reads = 0
        self.down = False

    def list(self, prefix, deadline):
        self.reads += 1
        return super().list(prefix, deadline) if not self.down else self._fail()

    def watch(self, prefix, revision, wait_seconds, deadline):
        self.reads += 1
        if self.hangs:
            return super().watch(prefix, revision, wait_seconds, deadline)
        ends_at = gevent.get_hub().loop.now() + wait_seconds
        while not self.down:
            if self.hangs:
                return super().watch(prefix, revision, wait_seconds, deadline)
            read = super().watch(prefix, revision, 0.0, deadline)
            if not isinstance(read, Success):
                return read
            if read.unwrap().changes or gevent.get_hub().loop.now() >= ends_at:
                return read
            gevent.sleep(0.01)
        return self._fail()

    def renew_lease(self, lease_id, deadline):
        return super().renew_lease(lease_id, deadline) if not self.down else self._fail()

    def create_lease(self, ttl_seconds, deadline):
        return super().create_lease(ttl_seconds, deadline) if not self.down else self._fail()

    def _fail(self):
        return Failure(StoreUnavailableError("down"))


def member(name: str) -> MemberRecord:
    return MemberRecord(name, 1, "kingston", "127.0.0.1", 7540)


class ReaderHarness:
    """A store reader with its view task and its own connection to the store."""

    def __init__(self, settings, clock, state, network, name) -> None:
        settings = settings.replace(instance=name)
        self.store = CountingStore(state)
        self.view_task = ViewTask(RoutingState(settings, clock, PlatformServerCodec()), clock)
        self.member_task = MemberTask(member(name), self.store, self.view_task, clock, Metrics())
        self.reader = StoreReader(
            self.store,
            PlatformItemDecoder(),
            self.view_task,
            self.member_task,
            network,
            clock,
            Metrics(),
        )
        network.readers[name] = self.reader
        self.member_task.on_store_back = self.reader.interrupt
        self.member_task.on_store_restored = self.reader.interrupt_former_era
        self.view_task.start()
        self.member_task.start()
        self.reader.start()

    @property
    def evacuated(self):
        return set(self.view_task.routing_state.directory.evacuated)

    @property
    def version(self):
        return self.view_task.routing_state.configuration.version

    def stop(self) -> None:
        self.reader.stop()
        self.member_task.stop()
        self.view_task.stop()


@pytest.fixture
def fleet(settings_file):
    clock = SystemClock()
    state = StoreState(clock)
    for name in NAMES:
        state.commit(Commit((), (Put(member_key(name), encode_member(member(name))),)))
    network = Network()
    settings = read_settings(settings_file()).unwrap()
    harnesses = {name: ReaderHarness(settings, clock, state, network, name) for name in NAMES}
    relay = next(
        name for name in NAMES if RelayRoles.of(name, dict.fromkeys(NAMES, "kingston")).followers
    )
    gevent.sleep(0.8)
    yield harnesses, relay, state, network
    for harness in harnesses.values():
        harness.stop()


def write(state, key: str, value: bytes = b"1") -> None:
    state.commit(Commit((), (Put(key, value),)))


def test_followers_learn_of_changes_without_calls_to_the_store(fleet):
    """Guards against a call of every daemon to the store at every change."""
    harnesses, relay, state, network = fleet
    followers = [harness for name, harness in harnesses.items() if name != relay]
    gevent.sleep(4.2)
    before = sum(harness.store.reads for harness in followers)
    for number in range(5):
        write(state, f"op/evacuate/z{number}")
        gevent.sleep(0.2)
    for harness in followers:
        assert_that(harness.evacuated, Equals({f"z{number}" for number in range(5)}))
    assert_that(sum(harness.store.reads for harness in followers) - before, Equals(0))
    assert_that(harnesses[relay].store.reads, GreaterThan(3))
    assert_that(network.longest_bytes, LessThan(1500))


def test_followers_read_by_themselves_when_the_relay_is_silent(fleet):
    """Guards against an old configuration in force: the relay is cut off from its followers."""
    harnesses, _, state, network = fleet
    gevent.sleep(4.2)
    network.lost = True
    gevent.sleep(1.4)
    write(state, "op/evacuate/late")
    gevent.sleep(0.3)
    for harness in harnesses.values():
        assert_that(harness.evacuated, Contains("late"))


def test_a_lost_datagram_is_made_up_by_one_read(fleet):
    """Guards against a follower that stays behind after a datagram was lost."""
    harnesses, _, state, network = fleet
    gevent.sleep(4.2)
    network.lost = True
    write(state, "op/evacuate/lost")
    gevent.sleep(0.15)
    network.lost = False
    gevent.sleep(0.9)
    for harness in harnesses.values():
        assert_that(harness.evacuated, Contains("lost"))


def test_a_change_is_known_within_two_seconds_although_the_relay_is_cut_off_from_the_store(fleet):
    """Guards against an old configuration that stays in force at daemons which reach the store,
    because the daemon that reads it for them does not and they notice too late."""
    harnesses, relay, state, _ = fleet
    gevent.sleep(4.2)
    harnesses[relay].store.down = True
    # The worst case: the last call of the relay has just succeeded.
    harnesses[relay].reader.confirmed_at = SystemClock().now()
    write(state, "op/evacuate/missed")
    gevent.sleep(1.9)
    for name, harness in harnesses.items():
        if name != relay:
            assert_that(harness.evacuated, Contains("missed"))


def test_a_relay_without_the_store_is_silent(fleet):
    """Guards against followers that believe a relay that no longer hears of any change."""
    harnesses, relay, state, _ = fleet
    gevent.sleep(4.2)
    harnesses[relay].store.down = True
    gevent.sleep(2.8)
    write(state, "op/evacuate/missed")
    gevent.sleep(0.4)
    for name, harness in harnesses.items():
        if name != relay:
            assert_that(harness.evacuated, Contains("missed"))


@pytest.fixture
def lone_reader(settings_file):
    """A reader in a fleet of one daemon, which has no relay."""
    clock = SystemClock()
    state = StoreState(clock)
    settings = read_settings(settings_file()).unwrap()
    harness = ReaderHarness(settings, clock, state, Network(), "front-0")
    gevent.sleep(0.3)
    yield harness, state
    harness.stop()


def test_a_call_that_hangs_since_an_outage_does_not_delay_the_next_read(lone_reader):
    """Guards against an old configuration in force for seconds after the return of the store: the
    watch call that was sent during the outage gets no answer, while other calls succeed again."""
    harness, state = lone_reader
    harness.store.hangs = True
    write(state, "op/evacuate/before")
    gevent.sleep(2.6)
    harness.store.hangs = False
    write(state, "op/evacuate/after")
    # The next renewal of the lease, at the latest 1 s later, shows that the store is back.
    gevent.sleep(1.3)
    assert_that(harness.evacuated, Contains("after"))


def test_a_lost_answer_of_a_watch_call_is_noticed_within_three_seconds(lone_reader):
    """Guards against an old configuration in force at a daemon that counts as in touch again: the
    answer of one watch call is lost, and no other call fails."""
    harness, state = lone_reader
    watch = harness.store.watch

    def lose_answer(prefix, revision, wait_seconds, deadline):
        harness.store.watch = watch
        while SystemClock().now() < deadline:
            gevent.sleep(0.01)
        return harness.store._fail()

    gevent.sleep(2.1)
    harness.store.watch = lose_answer
    gevent.sleep(2.1)
    write(state, "op/evacuate/lost")
    gevent.sleep(3.0)
    assert_that(harness.evacuated, Contains("lost"))


def test_a_daemon_that_is_about_to_follow_reads_in_few_calls(settings_file):
    """Guards against a call for each registration and daemon when a whole fleet starts at once: a
    daemon that no relay has reached yet reads several changes with one call."""
    clock = SystemClock()
    state = StoreState(clock)
    for name in NAMES:
        state.commit(Commit((), (Put(member_key(name), encode_member(member(name))),)))
    settings = read_settings(settings_file()).unwrap()
    follower = next(
        name for name in NAMES if RelayRoles.of(name, dict.fromkeys(NAMES, "kingston")).has_relay
    )
    harness = ReaderHarness(settings, clock, state, Network(), follower)
    gevent.sleep(0.2)
    before = harness.store.reads
    for number in range(30):
        write(state, f"op/evacuate/z{number}")
        gevent.sleep(0.04)
    assert_that(harness.store.reads - before, LessThan(5))
    gevent.sleep(0.8)
    assert_that(len(harness.evacuated), Equals(30))
    harness.stop()


def test_changes_of_a_restored_store_reach_followers(fleet):
    """Guards against changes that are dropped as known: the revisions of a restored store go back,
    and its followers know larger ones of the lost history."""
    harnesses, relay, state, _ = fleet
    gevent.sleep(4.5)
    for number in range(10):
        write(state, f"op/evacuate/lost{number}")
    gevent.sleep(0.1)
    state.restore(0.2)
    write(state, "op/evacuate/first")
    gevent.sleep(1.5)
    write(state, "op/evacuate/second")
    gevent.sleep(0.4)
    for harness in harnesses.values():
        assert_that(harness.evacuated, Contains("first"))
        assert_that(harness.evacuated, Contains("second"))
        assert_that(harness.reader.revision, Equals(qualified(1, state.revision)))
    # Each follower has read a snapshot, and then hears the changes from its relay again.
    before = sum(h.store.reads for name, h in harnesses.items() if name != relay)
    write(state, "op/evacuate/third")
    gevent.sleep(0.4)
    assert_that(
        sum(h.store.reads for name, h in harnesses.items() if name != relay), Equals(before)
    )


def test_a_restored_store_brings_no_older_version_back_into_force(fleet):
    """Guards against requests that are handled by an older version than one acknowledged before:
    the copy holds the older one, and the next version gets a revision that was in use."""
    harnesses, _, state, _ = fleet
    write_configuration(state, 1)
    gevent.sleep(0.3)
    write_configuration(state, 2)
    gevent.sleep(0.8)
    state.restore(1.0)
    for _ in range(10):
        gevent.sleep(0.1)
        assert_that({harness.version for harness in harnesses.values()}, Equals({2}))
    write_configuration(state, 3)
    gevent.sleep(1.0)
    assert_that({harness.version for harness in harnesses.values()}, Equals({3}))


def test_an_evacuation_that_a_restored_store_lacks_stays_until_it_can_be_written_again(fleet):
    """Guards against requests to a data centre that is taken out: the copy is older than the
    evacuation, and the daemon takes it for lifted until the operator has written it again."""
    harnesses, _, state, _ = fleet
    gevent.sleep(0.3)
    write(state, "op/evacuate/kingston")
    gevent.sleep(0.5)
    state.restore(0.6)
    for _ in range(10):
        gevent.sleep(0.1)
        for harness in harnesses.values():
            assert_that(harness.evacuated, Contains("kingston"))


def test_followers_do_not_wait_for_a_relay_whose_reads_are_refused(fleet):
    """Guards against followers that stay behind: the store refuses their relay's reads, while it
    renews the relay's lease, so that the relay states its old knowledge as current."""
    harnesses, relay, state, _ = fleet
    gevent.sleep(4.2)
    harnesses[relay].store.watch = refuse
    gevent.sleep(2.2)
    write(state, "op/evacuate/missed")
    gevent.sleep(3.0)
    for name, harness in harnesses.items():
        if name != relay:
            assert_that(harness.evacuated, Contains("missed"))


def refuse(*_):
    gevent.sleep(0.01)
    return Failure(StoreUnavailableError("status 429"))


def test_a_renewal_after_a_restore_does_not_confirm_what_was_read_before(lone_reader):
    """Guards against an old configuration in force at the followers of a relay that renews its
    lease at the restored store, and whose watch call of the former era gets no answer."""
    harness, _ = lone_reader
    confirmed_at = harness.reader.contact_at()
    harness.member_task.confirmed_at = SystemClock().now() + 5.0
    harness.member_task.lease_id = qualified_lease(1, 1)
    assert_that(harness.reader.contact_at() < confirmed_at + 5.0, Equals(True))


def test_a_call_of_the_former_era_that_hangs_does_not_delay_the_next_read(lone_reader):
    """Guards against an old configuration in force for seconds after a restore: the watch call that
    was sent before it gets no answer, and no other call of the daemon fails."""
    harness, state = lone_reader
    watch = harness.store.watch
    hanging = Event()

    def hang(prefix, revision, wait_seconds, deadline):
        harness.store.watch = watch
        hanging.set()
        return harness.store._wait_for_nothing(SystemClock().now() + 2.8)

    harness.store.watch = hang
    hanging.wait(3.0)
    state.restore(0.1)
    write(state, "op/evacuate/new")
    gevent.sleep(1.5)
    assert_that(harness.evacuated, Contains("new"))


def test_a_batch_of_two_eras_is_not_applied(lone_reader):
    """Guards against a follower that keeps what a restore took back, or takes a malformed
    datagram's huge revision for what it knows."""
    harness, _ = lone_reader
    revision = harness.reader.revision
    harness.reader.post_fragment(
        ChangeFragment("front-1", revision, qualified(9, 1), 0, 1, b"", 0, 0)
    )
    gevent.sleep(2.2)
    assert_that(harness.reader.follower.pending, Equals({}))
    assert_that(era_of(harness.reader.follower.revision), Equals(0))
