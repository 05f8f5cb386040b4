"""The store client against the stand-in of the platform's store, over HTTP."""

import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import CallerLimits, SystemClock
from fireflylink_platform import PlatformStoreClient
from fireflylink_standins import StoreFaults, StoreState, make_store_application
from fireflylink_store import (
    Commit,
    ConflictError,
    Deletion,
    HistoryCompactedError,
    LeaseNotFoundError,
    Put,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)


class Platform:
    """A running stand-in of the store and a client of it."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.state = StoreState(self.clock)
        self.faults = StoreFaults()
        application = make_store_application(self.state, self.faults)
        self.listener = HttpListener(application, "127.0.0.1", 0, CallerLimits)
        self.listener.start()
        self.client = PlatformStoreClient("127.0.0.1", self.listener.port, self.clock)

    def deadline(self) -> float:
        return self.clock.now() + 5.0

    def put(self, key: str, value: bytes, expected: int | None = None, lease: int = 0):
        conditions = () if expected is None else ((key, expected),)
        commit = Commit(conditions, (Put(key, value, lease),))
        return self.client.commit(commit, self.deadline())


@pytest.fixture
def platform():
    started = Platform()
    yield started
    started.client.close()
    started.listener.close()


def test_a_written_item_is_read_unchanged(platform):
    """Guards against values that are changed by encoding or decoding."""
    value = bytes(range(256))
    revision = platform.put("a/1", value).unwrap()
    item = platform.client.read("a/1", platform.deadline()).unwrap()
    assert_that((item.value, item.revision), Equals((value, revision)))
    assert_that(platform.client.read("a/2", platform.deadline()), Equals(Success(None)))


def test_a_long_list_is_read_in_pages(platform):
    """Guards against a list that lacks the items after the first page."""
    for number in range(1203):
        platform.state.commit(Commit((), (Put(f"a/{number:05}", b"x"),)))
    snapshot = platform.client.list("a/", platform.deadline()).unwrap()
    assert_that(snapshot.items, HasLength(1203))


def test_a_commit_whose_condition_fails_returns_the_present_items(platform):
    """Guards against a decider that overwrites the table of another one."""
    revision = platform.put("a", b"1", expected=0).unwrap()
    error = platform.put("a", b"2", expected=0).failure()
    assert_that(error, IsInstance(ConflictError))
    assert_that([(i.key, i.revision) for i in error.items], Equals([("a", revision)]))


def test_a_watch_returns_changes_and_deletions(platform):
    """Guards against a deletion that is decoded as an item."""
    revision = platform.put("a", b"1").unwrap()
    platform.client.commit(Commit(deletions=("a",)), platform.deadline())
    changes = platform.client.watch("", revision, 1.0, platform.deadline()).unwrap()
    assert_that(changes.changes[0], IsInstance(Deletion))
    again = platform.client.watch("", changes.revision, 0.05, platform.deadline()).unwrap()
    assert_that(again.changes, HasLength(0))


def test_a_watch_of_compacted_history_fails(platform):
    """Guards against changes that are missed without an error."""
    revision = platform.put("a", b"1").unwrap()
    platform.put("a", b"2")
    platform.state.compact()
    watched = platform.client.watch("", revision, 0.1, platform.deadline())
    assert_that(watched.failure(), IsInstance(HistoryCompactedError))


def test_a_revoked_lease_deletes_its_keys(platform):
    """Guards against a member or decider that stays listed after its lease was revoked."""
    lease = platform.client.create_lease(5.0, platform.deadline()).unwrap()
    platform.put("m", b"1", lease=lease.lease_id)
    assert_that(
        platform.client.renew_lease(lease.lease_id, platform.deadline()), Equals(Success(5.0))
    )
    platform.client.revoke_lease(lease.lease_id, platform.deadline())
    assert_that(platform.client.read("m", platform.deadline()), Equals(Success(None)))
    renewed = platform.client.renew_lease(lease.lease_id, platform.deadline())
    assert_that(renewed.failure(), IsInstance(LeaseNotFoundError))
    put = platform.put("m", b"1", lease=lease.lease_id)
    assert_that(put.failure(), IsInstance(LeaseNotFoundError))


def test_a_commit_to_a_store_that_is_down_was_not_applied(platform):
    """Guards against a refused call whose outcome counts as unknown."""
    platform.faults.down = True
    assert_that(platform.put("a", b"1").failure(), IsInstance(StoreUnavailableError))


def test_a_lost_reply_is_an_unknown_outcome(platform):
    """Guards against a commit that took effect and counts as not applied."""
    platform.faults.drops_replies = True
    error = platform.put("a", b"1").failure()
    assert_that(error, IsInstance(StoreError))
    assert_that(isinstance(error, StoreUnavailableError), Equals(False))
    platform.faults.drops_replies = False
    item = platform.client.read("a", platform.deadline()).unwrap()
    assert_that(item.value, Equals(b"1"))


def test_a_refused_connection_means_not_sent():
    """Guards against an unknown outcome of a call that was never sent."""
    clock = SystemClock()
    store = PlatformStoreClient("127.0.0.1", 1, clock)
    read = store.read("a", clock.now() + 1.0)
    assert_that(read, IsInstance(Failure))
    assert_that(read.failure(), IsInstance(StoreUnavailableError))
    assert_that(issubclass(StoreOutcomeUnknownError, StoreError), Equals(True))
