"""The state of the stand-in of the store: what a restore from a copy brings back and takes away."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import ManualClock
from fireflylink_standins import StoreState
from fireflylink_store import Commit, Put


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def state(clock) -> StoreState:
    return StoreState(clock)


def put(state: StoreState, key: str, value: bytes, lease_id: int = 0) -> int:
    return state.commit(Commit(puts=(Put(key, value, lease_id),)))


def test_a_restore_brings_the_copy_back(state, clock):
    """Guards against a stand-in that loses or keeps more than the platform's store does."""
    former = state.create_lease(9.0)
    put(state, "kept", b"old")
    put(state, "ended", b"old", former)
    clock.advance(2.0)
    lost = state.create_lease(9.0)
    put(state, "kept", b"new")
    put(state, "created", b"new", lost)
    state.revoke_lease(former)
    clock.advance(1.0)
    state.restore(2.0)
    assert_that(state.read("kept").value, Equals(b"old"))
    assert_that(state.read("ended").value, Equals(b"old"))
    assert_that(state.read("created"), Is(None))
    assert_that((state.era, state.revision), Equals((1, 3)))
    assert_that((state.renew_lease(former), state.renew_lease(lost)), Equals((9.0, None)))
    assert_that(state.changes("", 4), Is(None))
    assert_that((put(state, "x", b""), state.create_lease(9.0)), Equals((4, lost)))


def test_operators_and_servers_values_are_written_again_unless_changed_since(state, clock):
    """Guards against a soak in which a version that an operator wrote is gone, or comes back."""
    put(state, "op/evacuate/ended", b"")
    clock.advance(2.0)
    put(state, "op/config", b"2")
    put(state, "op/other", b"2")
    lease = state.create_lease(9.0)
    put(state, "servers/s1", b"", lease)
    state.commit(Commit(deletions=("op/evacuate/ended",)))
    state.restore(1.0)
    assert_that([item.key for item in state.range("")], Equals(["op/evacuate/ended"]))
    put(state, "op/config", b"3")
    state.write_again()
    values = [(item.key, item.value) for item in state.range("")]
    assert_that(values, Equals([("op/config", b"3"), ("op/other", b"2"), ("servers/s1", b"")]))
    state.revoke_lease(lease)
    assert_that(state.read("servers/s1"), Is(None))
