"""What is recorded about the end of a previous holder's hold."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import AfterPreprocessing, Equals, GreaterThan, HasLength, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    GrantCommand,
    GrantTracker,
    HoldEndReason,
    with_new_fence,
)

OLD = ServerIncarnation("old", 1)
RESTARTED = ServerIncarnation("old", 2)
NEW = ServerIncarnation("new", 1)
KEYS = KeyRange(0, 65535)


def table(
    owner: ServerIncarnation, fence: int, previous_holders: tuple[ServerIncarnation, ...] = ()
) -> OwnershipTable:
    return OwnershipTable("holds", fence, (Assignment(KEYS, owner, fence, previous_holders),))


def send_grant(grant_tracker: GrantTracker, now: float) -> GrantCommand:
    """Sends the grant that is due, and leaves it without an answer."""
    [grant] = grant_tracker.due_commands(now)
    grant_tracker.record_sent(grant, now + GRANT_TIMEOUT_SECONDS)
    return grant


@pytest.fixture
def grant_tracker(clock) -> GrantTracker:
    """A tracker whose keys were granted to ``OLD`` half a second ago."""
    tracker = GrantTracker(clock.now())
    tracker.mark_no_former_decider()
    tracker.set_table(table(OLD, 1))
    tracker.record_granted(send_grant(tracker, clock.now()), clock.now())
    clock.advance(0.5)
    return tracker


def end_by_release(grant_tracker: GrantTracker, clock) -> None:
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    [release] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_released(release, "", clock.now())


def end_by_expiry(grant_tracker: GrantTracker, clock) -> None:
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    clock.advance(5.0)


def end_by_restart_at_another_address(grant_tracker: GrantTracker, clock) -> None:
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    grant_tracker.record_incarnation_ended(OLD)


def end_by_restart_of_the_owner(grant_tracker: GrantTracker, clock) -> None:
    grant_tracker.set_table(table(RESTARTED, 2, (OLD,)))
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (end_by_release, HoldEndReason.RELEASED),
        (end_by_expiry, HoldEndReason.EXPIRED),
        (end_by_restart_at_another_address, HoldEndReason.INCARNATION_ENDED),
        (end_by_restart_of_the_owner, HoldEndReason.OWNER_RESTARTED),
    ],
)
def test_the_end_of_a_hold_names_its_reason_and_the_former_grant(grant_tracker, clock, end, reason):
    """Guards against a report of two owners whose cause cannot be told from the log."""
    granted_at = clock.now() - 0.5
    end(grant_tracker, clock)
    grant_tracker.due_commands(clock.now())
    [hold_end] = grant_tracker.hold_ends.take()
    assert_that(hold_end.reason, Equals(reason))
    assert_that((hold_end.server, hold_end.former_fence, hold_end.fence), Equals((OLD, 1, 2)))
    assert_that((hold_end.keys, hold_end.granted_at), Equals((KEYS, granted_at)))
    assert_that(hold_end.ended_at, Equals(clock.now()))
    assert_that(hold_end.expires_at, GreaterThan(granted_at + 3.0))
    assert_that(hold_end.unanswered_grants, Equals(0))


def test_a_previous_holder_without_a_known_grant_is_told_apart(clock):
    """Guards against a log in which a holder that nothing is known of looks like an expired one."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    grant_tracker.due_commands(clock.now())
    [hold_end] = grant_tracker.hold_ends.take()
    assert_that(hold_end.reason, Equals(HoldEndReason.NO_GRANT))
    assert_that(hold_end.former_fence, Equals(None))


def test_a_release_says_that_the_hold_had_not_expired(grant_tracker, clock):
    """Guards against a log in which a release looks like the expiry of a hold."""
    end_by_release(grant_tracker, clock)
    [hold_end] = grant_tracker.hold_ends.take()
    assert_that(hold_end.ended_at, LessThan(hold_end.expires_at))


def test_a_release_that_the_next_incarnation_answered_names_both(grant_tracker, clock):
    """Guards against a log that does not show that another incarnation answered."""
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    [release] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_released(release, "", clock.now())
    [hold_end] = grant_tracker.hold_ends.take()
    assert_that((hold_end.server, hold_end.holder), Equals((OLD, RESTARTED)))
    assert_that(hold_end.former_fence, Equals(1))


def test_a_grant_without_an_answer_is_counted_at_the_end_of_the_hold(grant_tracker, clock):
    """Guards against a release that was taken for final while a grant was under way, and a log that
    does not show it."""
    clock.advance(0.6)
    send_grant(grant_tracker, clock.now())
    grant_tracker.set_table(table(NEW, 2, (OLD,)))
    grant_tracker.record_incarnation_ended(OLD)
    grant_tracker.due_commands(clock.now())
    [hold_end] = grant_tracker.hold_ends.take()
    assert_that(hold_end.unanswered_grants, Equals(1))


def test_the_ends_are_kept_until_the_first_grant_is_confirmed(grant_tracker, clock):
    """Guards against a confirmed grant whose log line does not name the former holds: the range was
    split, so that its state was copied, before the grant was confirmed."""
    end_by_release(grant_tracker, clock)
    parts = (KeyRange(0, 99), KeyRange(100, 65535))
    assignments = tuple(Assignment(keys, NEW, 2, (OLD,)) for keys in parts)
    grant_tracker.set_table(OwnershipTable("holds", 3, assignments))
    grants = grant_tracker.due_commands(clock.now())
    assert_that(grants, HasLength(2))
    for grant in grants:
        ends = grant_tracker.take_hold_ends_of(grant)
        assert_that([end.server for end in ends], Equals([OLD]))
        assert_that(grant_tracker.take_hold_ends_of(grant), HasLength(0))


def test_each_end_is_recorded_once(grant_tracker, clock):
    """Guards against a log that grows with the time for which a grant is not confirmed."""
    end_by_expiry(grant_tracker, clock)
    for _ in range(20):
        clock.advance(0.1)
        for command in grant_tracker.due_commands(clock.now()):
            grant_tracker.record_failed(command, clock.now())
    assert_that(grant_tracker.hold_ends.take(), HasLength(1))
    assert_that(grant_tracker.hold_ends.take(), HasLength(0))


def test_confirmed_grants_of_keys_that_were_granted_anew_are_forgotten(clock):
    """Guards against memory that grows with each new fence of the same keys."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    current = table(OLD, 1)
    for _ in range(5):
        grant_tracker.set_table(current)
        grant_tracker.record_granted(send_grant(grant_tracker, clock.now()), clock.now())
        current = with_new_fence(current)
    assert_that(
        grant_tracker.hold_ends.granted_at[OLD],
        AfterPreprocessing(list, Equals([(KEYS, 5)])),
    )
