"""The daemon's member record, in a store that may be restored from an older copy."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, Not

from fireflylink_daemon._member_task import MemberTask
from fireflylink_daemon._messages import UpdatesRead
from fireflylink_daemon._metrics import Metrics
from fireflylink_protocol import member_key
from fireflylink_store import qualified, qualified_lease

MEMBER_KEY = member_key("front-0")


@pytest.fixture
def daemon(make_daemon):
    return make_daemon()


@pytest.fixture
def member_task(daemon, clock):
    task = MemberTask(daemon.record, daemon.store, daemon.view_task, clock, Metrics())
    daemon.view_task.member_task = task
    task.on_wake()
    clock.advance(1.0)
    return task


def read_snapshot(daemon, member_task, revision: int) -> None:
    """Lets the daemon apply a snapshot of the store that has no items."""
    daemon.view_task.receive(UpdatesRead((), revision, is_snapshot=True))
    while not member_task.mailbox.empty():
        member_task.receive(member_task.mailbox.get())


def test_a_lease_that_a_restore_took_back_is_created_anew_at_once(
    store_state, member_task, daemon, clock
):
    """Guards against a daemon that takes no part in limits, relaying and notices: the copy is older
    than its lease, whose id may be given to another daemon."""
    restored_eras = []
    member_task.on_store_restored = restored_eras.append
    store_state.restore(5.0)
    clock.advance(1.0)
    member_task.on_wake()
    item = store_state.read(MEMBER_KEY)
    assert_that(item, Not(Is(None)))
    assert_that(member_task.lease_id, Equals(qualified_lease(1, item.lease_id)))
    assert_that(member_task.confirmed_at, Equals(clock.now()))
    assert_that(restored_eras, Equals([1]))
    assert_that(daemon.view_task.mailbox.qsize(), Equals(0))


def test_a_lease_that_outlived_a_restore_is_replaced(store_state, member_task, clock):
    """Guards against a member record that ends a few seconds after a restore: the lease of the copy
    cannot be told from one that was given out again, so it is no longer renewed."""
    former = member_task.lease_id
    store_state.restore(0.5)
    assert_that(store_state.read(MEMBER_KEY).lease_id, Equals(former))
    member_task.on_wake()
    clock.advance(4.0)
    member_task.on_wake()
    clock.advance(4.0)
    item = store_state.read(MEMBER_KEY)
    assert_that(qualified_lease(1, item.lease_id), Equals(member_task.lease_id))
    assert_that(member_task.lease_id, GreaterThan(qualified_lease(1, former)))


def test_a_snapshot_without_the_own_record_makes_a_daemon_join_again(member_task, daemon):
    """Guards against a daemon that no other one knows until its next renewal: a restore took its
    record back, and a snapshot has no deletions."""
    read_snapshot(daemon, member_task, qualified(1, 1))
    assert_that((member_task.lease_id, member_task.next_call_at), Equals((0, 0.0)))


def test_a_snapshot_from_before_a_daemon_joined_does_not_make_it_join_again(member_task, daemon):
    """Guards against two writes of each daemon's record when a fleet starts: the first snapshot
    lacks the record that is being written."""
    lease_id = member_task.lease_id
    read_snapshot(daemon, member_task, member_task.joined_revision - 1)
    assert_that(member_task.lease_id, Equals(lease_id))
