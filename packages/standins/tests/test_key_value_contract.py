"""Guards that the in-memory client and the one over HTTP behave alike towards their caller."""

from collections.abc import Iterator

import gevent
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, LessThan

from fireflylink_platform_client import (
    BaseKeyValueClient,
    Entry,
    KeyValueClient,
    LeaseExpired,
    OutcomeUnknownError,
    PlatformUnavailable,
    RevisionConflict,
)
from fireflylink_standins import MemoryKeyValue, PlatformFaults, PlatformMode, PlatformStandin


class Platform:
    """A client, and the faults of the store behind it."""

    __slots__ = ("client", "counts", "faults", "standin")

    def __init__(self, kind: str) -> None:
        self.standin = PlatformStandin()
        self.client: BaseKeyValueClient
        if kind == "memory":
            memory = MemoryKeyValue(call_timeout=0.3)
            self.client, self.faults, self.counts = memory, memory.faults, memory.counts
        else:
            self.standin.start()
            self.client = KeyValueClient("127.0.0.1", self.standin.port, call_timeout=0.3)
            self.faults: PlatformFaults = self.standin.faults
            self.counts = self.standin.counts


@pytest.fixture(params=["memory", "http"])
def platform(request: pytest.FixtureRequest) -> Iterator[Platform]:
    started = Platform(request.param)
    yield started
    started.client.close()
    started.standin.stop()


def test_write_needs_the_present_revision(platform: Platform) -> None:
    """Two deciders that both succeed would each act on a table of its own."""
    client = platform.client
    first = client.write("a/key", b"one", 0).unwrap()
    conflict = client.write("a/key", b"two", 0).failure()
    assert_that(conflict, IsInstance(RevisionConflict))
    assert_that(conflict.current, Equals(first))
    second = client.write("a/key", b"two", first).unwrap()
    assert_that(client.read("a/key").unwrap(), Equals(Entry("a/key", b"two", second)))
    assert_that(client.delete("a/key", first).failure(), IsInstance(RevisionConflict))
    client.delete("a/key", second).unwrap()
    assert_that(client.read("a/key").unwrap(), Equals(None))


def test_prefix_read_returns_entries_and_the_store_revision(platform: Platform) -> None:
    """A watch that starts after a lower revision than was read sees its entries again."""
    platform.client.write("a/1", b"x", 0)
    platform.client.write("b/1", b"y", 0)
    snapshot = platform.client.read_prefix("a/").unwrap()
    assert_that(snapshot.entries, Equals((Entry("a/1", b"x", 1),)))
    assert_that(snapshot.revision, Equals(2))


def test_watch_returns_only_changes_after_its_revision(platform: Platform) -> None:
    """A missed change would leave a data centre with an old configuration."""
    client = platform.client
    first = client.write("a/1", b"x", 0).unwrap()
    watch = gevent.spawn(client.watch, "a/", first, 2.0)
    gevent.sleep(0.05)
    client.write("b/1", b"other", 0)
    second = client.write("a/2", b"y", 0).unwrap()
    snapshot = watch.get(timeout=1.0).unwrap()
    assert_that(snapshot.entries, Equals((Entry("a/2", b"y", second),)))
    assert_that(client.watch("a/", snapshot.revision, 0.1).unwrap().entries, Equals(()))
    assert_that(client.watch("a/", first, 2.0).unwrap(), Equals(snapshot))


def test_outage_ends_a_waiting_watch(platform: Platform) -> None:
    """A watch that outlives an outage unnoticed would delay the first change after it."""
    watch = gevent.spawn(platform.client.watch, "a/", 0, 5.0)
    gevent.sleep(0.05)
    assert_that(platform.counts.pending_watches, Equals(1))
    platform.faults.mode = PlatformMode.DOWN
    store = getattr(platform.client, "store", platform.standin.store)
    store.wake_watchers()
    assert_that(watch.get(timeout=0.5).failure(), IsInstance(PlatformUnavailable))
    assert_that(platform.counts.calls["watch"], Equals(1))


def test_lost_reply_took_effect_and_lost_request_did_not(platform: Platform) -> None:
    """The caller sees the same error for both and has to read back."""
    client = platform.client
    platform.faults.lose_replies = 1
    assert_that(client.write("key", b"x", 0).failure(), IsInstance(OutcomeUnknownError))
    assert_that(client.read("key").unwrap(), Equals(Entry("key", b"x", 1)))
    platform.faults.lose_requests = 1
    assert_that(client.write("key", b"y", 1).failure(), IsInstance(OutcomeUnknownError))
    assert_that(client.read("key").unwrap(), Equals(Entry("key", b"x", 1)))


@pytest.mark.parametrize(
    ("mode", "error"),
    [(PlatformMode.DOWN, PlatformUnavailable), (PlatformMode.SILENT, OutcomeUnknownError)],
)
def test_outage_of_a_write(platform: Platform, mode: PlatformMode, error: type[Exception]) -> None:
    """A silent platform may have taken the write, one that refuses has not."""
    platform.faults.mode = mode
    assert_that(platform.client.write("key", b"x", 0).failure(), IsInstance(error))
    assert_that(platform.client.read("key").failure(), IsInstance(PlatformUnavailable))


def test_slow_platform_delays_every_call(platform: Platform) -> None:
    """A delay within the deadline is not an error."""
    platform.faults.mode = PlatformMode.SLOW
    platform.faults.delay_ms = 100
    with gevent.Timeout(0.05, False):
        platform.client.read("key").unwrap()
        raise AssertionError("the read was not delayed")
    assert_that(platform.client.read("key").unwrap(), Equals(None))


def test_expired_lease_takes_its_entries(platform: Platform) -> None:
    """An entry that outlives the lease of its holder keeps others from taking over."""
    client = platform.client
    lease = client.open_lease(100).unwrap()
    client.write("leased", b"x", 0, lease=lease).unwrap()
    gevent.sleep(0.06)
    client.renew_lease(lease).unwrap()
    gevent.sleep(0.06)
    assert_that(client.read("leased").unwrap().revision, LessThan(2))
    gevent.sleep(0.06)
    assert_that(client.read("leased").unwrap(), Equals(None))
    assert_that(client.renew_lease(lease).failure(), IsInstance(LeaseExpired))
