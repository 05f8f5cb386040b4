"""The store client against the stand-in of the platform's store, over HTTP."""

from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance

from fireflylink_core import SystemClock
from fireflylink_platform import PlatformStoreClient
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


def test_a_written_item_is_read_unchanged(store):
    """Guards against values that are changed by encoding or decoding."""
    value = bytes(range(256))
    revision = store.put("a/1", value).unwrap()
    item = store.client.read("a/1", store.deadline()).unwrap()
    assert_that((item.value, item.revision), Equals((value, revision)))
    assert_that(store.client.read("a/2", store.deadline()), Equals(Success(None)))


def test_a_long_list_is_read_in_pages(store):
    """Guards against a list that lacks the items after the first page.

    The stand-in returns at most 500 items in a page, so the items need three pages.
    """
    for number in range(1203):
        store.state.commit(Commit((), (Put(f"a/{number:05}", b"x"),)))
    snapshot = store.client.list("a/", store.deadline()).unwrap()
    assert_that(snapshot.items, HasLength(1203))


def test_a_commit_whose_condition_fails_returns_the_present_items(store):
    """Guards against a decider that overwrites the table of another one."""
    revision = store.put("a", b"1", expected=0).unwrap()
    error = store.put("a", b"2", expected=0).failure()
    assert_that(error, IsInstance(ConflictError))
    assert_that([(i.key, i.revision) for i in error.items], Equals([("a", revision)]))


def test_a_watch_returns_a_deletion_once(store):
    """Guards against a deletion that is decoded as an item, or that is returned again."""
    revision = store.put("a", b"1").unwrap()
    store.client.commit(Commit(deletions=("a",)), store.deadline())
    changes = store.client.watch("", revision, 1.0, store.deadline()).unwrap()
    assert_that(changes.changes[0], IsInstance(Deletion))
    again = store.client.watch("", changes.revision, 0.05, store.deadline()).unwrap()
    assert_that(again.changes, HasLength(0))


def test_a_watch_of_compacted_history_fails(store):
    """Guards against changes that are missed without an error."""
    revision = store.put("a", b"1").unwrap()
    store.put("a", b"2")
    store.state.compact()
    watched = store.client.watch("", revision, 0.1, store.deadline())
    assert_that(watched.failure(), IsInstance(HistoryCompactedError))


def test_a_revoked_lease_deletes_its_keys(store):
    """Guards against a member or decider that stays listed after its lease was revoked."""
    lease = store.client.create_lease(5.0, store.deadline()).unwrap()
    store.put("m", b"1", lease=lease.lease_id)
    assert_that(store.client.renew_lease(lease.lease_id, store.deadline()), Equals(Success(5.0)))
    store.client.revoke_lease(lease.lease_id, store.deadline())
    assert_that(store.client.read("m", store.deadline()), Equals(Success(None)))
    renewed = store.client.renew_lease(lease.lease_id, store.deadline())
    assert_that(renewed.failure(), IsInstance(LeaseNotFoundError))
    put = store.put("m", b"1", lease=lease.lease_id)
    assert_that(put.failure(), IsInstance(LeaseNotFoundError))


def test_a_commit_to_a_store_that_is_down_fails_as_unavailable(store):
    """Guards against a refused call whose outcome counts as unknown."""
    store.faults.down = True
    assert_that(store.put("a", b"1").failure(), IsInstance(StoreUnavailableError))


def test_a_commit_whose_reply_is_lost_does_not_fail_as_unavailable(store):
    """Guards against a commit that took effect and counts as not applied.

    ``StoreUnavailableError`` says that a call was not applied.
    """
    store.faults.drops_replies = True
    error = store.put("a", b"1").failure()
    assert_that(error, IsInstance(StoreError))
    assert_that(isinstance(error, StoreUnavailableError), Equals(False))
    store.faults.drops_replies = False
    item = store.client.read("a", store.deadline()).unwrap()
    assert_that(item.value, Equals(b"1"))


def test_a_refused_connection_fails_as_unavailable():
    """Guards against an unknown outcome of a call that was never sent."""
    clock = SystemClock()
    # Nothing listens on port 1, so the connection is refused.
    client = PlatformStoreClient("127.0.0.1", 1, clock)
    read = client.read("a", clock.now() + 1.0)
    assert_that(read, IsInstance(Failure))
    assert_that(read.failure(), IsInstance(StoreUnavailableError))
    assert_that(issubclass(StoreOutcomeUnknownError, StoreError), Equals(True))
