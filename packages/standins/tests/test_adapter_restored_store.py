"""The store client against the stand-in of the store that is restored from an older copy."""

import json

import gevent
import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, IsInstance

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import CallerLimits, SystemClock
from fireflylink_platform import PlatformStoreClient, names
from fireflylink_store import (
    Commit,
    ConflictError,
    HistoryCompactedError,
    Put,
    StoreError,
    StoreRestoredError,
    StoreUnavailableError,
    era_of,
    number_of,
)

COPY_AGE_SECONDS = 0.2


def restore(store) -> None:
    """Restores the store from a copy without what was written since the last ``gevent.sleep``."""
    store.state.restore(COPY_AGE_SECONDS)


def age_copy() -> None:
    """Waits until what was written before is in the copy that ``restore`` takes."""
    gevent.sleep(COPY_AGE_SECONDS + 0.1)


def test_a_revision_given_out_again_is_larger_than_all_before_the_restore(store):
    """Guards against changes of a restored store that count as known: its revisions go back."""
    age_copy()
    lost = store.put("a", b"lost").unwrap()
    restore(store)
    again = store.put("a", b"kept").unwrap()
    assert_that(number_of(again), Equals(number_of(lost)))
    assert_that(again, GreaterThan(lost))
    item = store.client.read("a", store.deadline()).unwrap()
    snapshot = store.client.list("", store.deadline()).unwrap()
    assert_that((item.revision, snapshot.revision), Equals((again, again)))
    assert_that(snapshot.items, Equals((item,)))


def test_a_watch_from_a_revision_that_was_given_out_again_fails(store):
    """Guards against changes that are missed: the lost history and the new one differ."""
    age_copy()
    lost = store.put("a", b"lost").unwrap()
    restore(store)
    other = store.new_client()
    other.commit(Commit((), (Put("b", b"1"),)), store.deadline()).unwrap()
    other.commit(Commit((), (Put("b", b"2"),)), store.deadline()).unwrap()
    watched = store.client.watch("", lost, 0.1, store.deadline())
    assert_that(watched.failure(), IsInstance(StoreRestoredError))
    assert_that(watched.failure().era, Equals(1))


def test_a_waiting_watch_notices_a_restore(store):
    """Guards against a daemon that waits for a revision which the restored store has not reached.

    Within an era the answer would mean that the history was compacted.
    """
    age_copy()
    lost = store.put("a", b"lost").unwrap()
    watching = gevent.spawn(store.client.watch, "", lost, 2.0, store.deadline())
    gevent.sleep(0.05)
    restore(store)
    error = watching.get(timeout=1.0).failure()
    assert_that(error, IsInstance(StoreRestoredError))
    assert_that(isinstance(error, HistoryCompactedError), Equals(False))


def test_a_known_restore_keeps_a_conditional_write_from_being_sent(store):
    """Guards against a write over another value: its revision was given out again."""
    age_copy()
    lost = store.put("a", b"lost", expected=0).unwrap()
    restore(store)
    store.new_client().commit(Commit((), (Put("a", b"other"),)), store.deadline()).unwrap()
    store.client.read("b", store.deadline())
    written = store.put("a", b"stale", expected=lost)
    assert_that(written.failure(), IsInstance(StoreRestoredError))
    assert_that(store.state.read("a").value, Equals(b"other"))


def test_a_write_that_meets_an_unknown_restore_does_not_count_as_accepted(store):
    """Guards against a decider that goes on after a write whose revision was given out again."""
    age_copy()
    lost = store.put("a", b"lost", expected=0).unwrap()
    restore(store)
    store.new_client().commit(Commit((), (Put("a", b"other"),)), store.deadline()).unwrap()
    written = store.put("a", b"stale", expected=lost)
    assert_that(written.failure(), IsInstance(StoreRestoredError))


def test_a_lease_id_that_was_given_out_again_is_not_used(store):
    """Guards against a daemon that keeps the lease of another one, or ends it."""
    age_copy()
    lost = store.client.create_lease(5.0, store.deadline()).unwrap().lease_id
    restore(store)
    other = store.new_client()
    again = other.create_lease(5.0, store.deadline()).unwrap().lease_id
    assert_that((number_of(again), again == lost), Equals((number_of(lost), False)))
    renewed = store.client.renew_lease(lost, store.deadline())
    revoked = store.client.revoke_lease(lost, store.deadline())
    put = store.put("m", b"1", lease=lost)
    for result in (renewed, revoked, put):
        assert_that(result.failure(), IsInstance(StoreRestoredError))
    assert_that(other.renew_lease(again, store.deadline()), Equals(Success(5.0)))


def test_a_client_uses_what_another_one_read_after_the_restore(store):
    """Guards against calls that fail for the rest of the day: the tasks of a daemon have clients of
    their own, and one of them notices a restore first."""
    age_copy()
    restore(store)
    revision = store.new_client().commit(Commit((), (Put("a", b"1"),)), store.deadline()).unwrap()
    assert_that(era_of(revision), Equals(1))
    store.put("a", b"2", expected=revision).unwrap()
    conflict = store.put("a", b"3", expected=revision).failure()
    assert_that(conflict, IsInstance(ConflictError))
    assert_that(conflict.items[0].revision, GreaterThan(revision))


def test_a_store_that_refuses_calls_states_its_era(store):
    """Guards against a stale write that is sent although the store has said that it was
    restored: the answers to refused calls have its era, too."""
    age_copy()
    lost = store.put("a", b"lost").unwrap()
    restore(store)
    store.faults.down = True
    refused = store.client.read("a", store.deadline())
    assert_that(refused.failure(), IsInstance(StoreUnavailableError))
    store.faults.down = False
    calls = store.client.call_count
    written = store.put("a", b"stale", expected=lost)
    assert_that(written.failure(), IsInstance(StoreRestoredError))
    assert_that(store.client.call_count, Equals(calls))


@pytest.fixture
def scripted_client():
    """Returns a client of a store that gives each page of a list with the next of some eras."""
    clock = SystemClock()
    listeners = []

    def make(*eras: str | None) -> tuple[PlatformStoreClient, float]:
        waiting = list(eras)

        def answer(_environ, start_response):
            era = waiting.pop(0)
            key = len(waiting)
            item = {"key": f"a/{9 - key}", "value": "", "revision": 7, "lease": 0}
            body = {"items": [item], "has-more": bool(waiting), "current-rev": 7}
            headers = [] if era is None else [(names.STORE_ERA, era)]
            start_response("200 OK", [("Content-Type", names.JSON_TYPE), *headers])
            return [json.dumps(body).encode()]

        listener = HttpListener(answer, "127.0.0.1", 0, CallerLimits)
        listener.start()
        listeners.append(listener)
        return PlatformStoreClient("127.0.0.1", listener.port, clock), clock.now() + 5.0

    yield make
    for listener in listeners:
        listener.close()


def test_a_list_whose_pages_are_of_two_eras_fails(scripted_client):
    """Guards against a snapshot of two histories, whose revision says nothing about its items."""
    client, deadline = scripted_client("3", "4")
    assert_that(client.list("a/", deadline).failure(), IsInstance(StoreRestoredError))


def test_an_answer_without_an_era_is_of_the_last_known_one(scripted_client):
    """Guards against a snapshot that seems older than what is known because a header is missing."""
    client, deadline = scripted_client("3", None)
    snapshot = client.list("a/", deadline).unwrap()
    assert_that([era_of(item.revision) for item in snapshot.items], Equals([3, 3]))


@pytest.mark.parametrize("era", ["2", "-1", "x", "3.0", "9" * 5000, "\u0664"])
def test_an_era_that_is_unusable_or_goes_back_is_an_error(scripted_client, era):
    """Guards against a late answer that makes the restored store look like the former one, and
    against a client that ends at a malformed header."""
    client, deadline = scripted_client("3", era.encode().decode("latin-1"))
    error = client.list("a/", deadline).failure()
    assert_that((type(error), client.era), Equals((StoreError, 3)))
