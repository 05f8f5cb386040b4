"""When a new holder may be granted keys, and what a decider may send."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is, IsInstance, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    OUTAGE_GRACE_SECONDS,
    GrantCommand,
    GrantTracker,
    ReleaseCommand,
    with_new_fence,
)

OLD = ServerIncarnation("old", 1)
NEW = ServerIncarnation("new", 1)
KEYS = KeyRange(0, 65535)


def table(
    owner: ServerIncarnation, fence: int, previous: tuple[ServerIncarnation, ...] = ()
) -> OwnershipTable:
    return OwnershipTable("holds", fence, (Assignment(KEYS, owner, fence, previous),))


def granted_book(clock) -> GrantTracker:
    """Returns a book whose decider wrote the first table and granted all keys to ``OLD``."""
    grants = GrantTracker(clock.now())
    grants.mark_no_former_decider()
    grants.set_table(table(OLD, 1))
    [grant] = grants.due_commands(clock.now())
    grants.record_sent(grant, clock.now())
    grants.record_granted(grant, clock.now())
    return grants


def move(grants: GrantTracker) -> None:
    grants.set_table(table(NEW, 2, (OLD,)))


def test_a_moved_key_is_granted_only_after_its_release(clock):
    """Guards against OWNER: a new holder before the old one has given the keys up."""
    grants = granted_book(clock)
    move(grants)
    [release] = grants.due_commands(clock.now())
    assert_that(release, IsInstance(ReleaseCommand))
    assert_that(grants.due_commands(clock.now()), HasLength(0))
    grants.record_released(release, "token", clock.now())
    [grant] = grants.due_commands(clock.now())
    assert_that(grant.server, Equals(NEW))
    assert_that(grant.handover, Equals("token"))
    assert_that(grant.fence, Equals(2))


def test_a_silent_holder_keeps_its_keys_until_its_hold_has_run_out(clock):
    """Guards against OWNER: a server that cannot be reached goes on serving its keys."""
    grants = granted_book(clock)
    last_grant = clock.now()
    move(grants)
    while True:
        commands = grants.due_commands(clock.now())
        if any(isinstance(command, GrantCommand) for command in commands):
            break
        for command in commands:
            grants.record_failed(command, clock.now())
        clock.advance(0.05)
    # The clock of a server may run 2% slow.
    assert_that(clock.now() - last_grant, GreaterThan(HOLD_SECONDS * 1.02))
    assert_that(clock.now() - last_grant, LessThan(5.0))


def test_a_grant_without_an_answer_counts_as_one_that_comes_true(clock):
    """Guards against a hold that began with a grant whose answer was lost."""
    grants = granted_book(clock)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grants.due_commands(clock.now())
    grants.record_sent(renewal, clock.now())
    grants.record_failed(renewal, clock.now())
    expected = clock.now() + GRANT_TIMEOUT_SECONDS + HOLD_SECONDS * 1.02
    assert_that(grants.hold_expires_at(OLD, KEYS), GreaterThan(expected))


def test_a_grant_of_which_no_byte_was_sent_does_not_prolong_the_hold(clock):
    """Guards against waiting for a server that took no connection since its last grant."""
    grants = granted_book(clock)
    before = grants.hold_expires_at(OLD, KEYS)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grants.due_commands(clock.now())
    grants.record_sent(renewal, clock.now())
    grants.record_not_sent(renewal)
    grants.record_failed(renewal, clock.now())
    assert_that(grants.hold_expires_at(OLD, KEYS), Equals(before))


def test_a_life_that_ended_holds_nothing(clock):
    """Guards against keys without an owner while a restarted server's old hold is waited for."""
    grants = granted_book(clock)
    move(grants)
    grants.record_incarnation_ended(OLD)
    [grant] = grants.due_commands(clock.now())
    assert_that(grant.server, Equals(NEW))


def test_a_new_decider_waits_for_what_a_former_one_may_still_grant(clock):
    """Guards against OWNER: the former decider still reaches a server that this one does not."""
    grants = GrantTracker(clock.now())
    grants.set_table(with_new_fence(table(NEW, 2, (OLD,))))
    waited_from = clock.now()
    while not any(isinstance(command, GrantCommand) for command in _fail(grants, clock)):
        clock.advance(0.1)
    assert_that(clock.now() - waited_from, GreaterThan(OUTAGE_GRACE_SECONDS + HOLD_SECONDS))


def _fail(grants: GrantTracker, clock) -> list:
    commands = grants.due_commands(clock.now())
    for command in commands:
        grants.record_failed(command, clock.now())
    return commands


def test_a_server_that_confirmed_the_new_fence_is_out_of_the_former_deciders_reach(clock):
    """Guards against a long time without owner when a server is lost after a change of decider."""
    grants = GrantTracker(clock.now())
    grants.set_table(with_new_fence(table(OLD, 1)))
    [grant] = grants.due_commands(clock.now())
    assert_that(grant.fence, Equals(2))
    grants.record_sent(grant, clock.now())
    grants.record_granted(grant, clock.now())
    assert_that(grants.hold_expires_at(OLD, KEYS), LessThan(clock.now() + 5.0))


def test_a_grant_that_ran_out_is_not_renewed_under_the_same_fence(clock):
    """Guards against OWNER: the server may have started again under its id and know no fence."""
    grants = granted_book(clock)
    clock.advance(HOLD_SECONDS + 0.1)
    assert_that(grants.due_commands(clock.now()), HasLength(0))
    assert_that(grants.expired_ranges(clock.now()), Equals(frozenset({KEYS})))


def test_the_rest_of_a_cut_range_goes_on_under_its_fence(clock):
    """Guards against an interruption of keys that stay while their neighbours move."""
    grants = granted_book(clock)
    stays = Assignment(KeyRange(0, 99), OLD, 1)
    moves = Assignment(KeyRange(100, 65535), NEW, 2, (OLD,))
    grants.set_table(OwnershipTable("holds", 2, (stays, moves)))
    clock.advance(1.5)
    commands = grants.due_commands(clock.now())
    renewals = [command for command in commands if isinstance(command, GrantCommand)]
    assert_that([renewal.fence for renewal in renewals], Equals([1]))
    assert_that([renewal.renewal for renewal in renewals], Equals([True]))


def test_moves_that_ended_are_written_down_without_their_former_holders(clock):
    """Guards against a successor that waits again for holds that are known to have ended."""
    grants = granted_book(clock)
    move(grants)
    assert_that(grants.settled_table(), Is(None))
    [release] = grants.due_commands(clock.now())
    grants.record_released(release, "", clock.now())
    [grant] = grants.due_commands(clock.now())
    grants.record_granted(grant, clock.now())
    assert_that(grants.settled_table(), Equals(table(NEW, 2)))


@pytest.mark.parametrize("command", ["grant", "release"])
def test_a_command_is_sent_again_after_a_failure_but_not_beside_itself(clock, command):
    """Guards against a storm of commands to a server that does not answer."""
    grants = granted_book(clock)
    if command == "release":
        move(grants)
    else:
        clock.advance(1.5)
    [first] = grants.due_commands(clock.now())
    assert_that(grants.due_commands(clock.now()), HasLength(0))
    grants.record_failed(first, clock.now())
    assert_that(grants.due_commands(clock.now()), HasLength(0))
    clock.advance(0.5)
    assert_that(grants.due_commands(clock.now()), HasLength(1))


def test_a_former_holder_of_a_settled_past_is_waited_out_for_one_hold_only(clock):
    """Guards against keys without owner for 16 s after all daemons were killed beside a move: the
    table's writer granted its former holder nothing any more."""
    former = table(NEW, 2, (OLD,)).replace(written_by_sole_decider=True)
    seen_at = clock.now() - 1.0
    grants = GrantTracker(clock.now())
    grants.record_former_table(former, seen_at)
    grants.set_table(with_new_fence(former))
    while not any(isinstance(command, GrantCommand) for command in _fail(grants, clock)):
        clock.advance(0.1)
    assert_that(clock.now() - seen_at, GreaterThan(HOLD_SECONDS))
    assert_that(clock.now() - seen_at, LessThan(HOLD_SECONDS + 1.5))


def test_keys_that_a_table_on_its_way_takes_away_are_not_renewed(clock):
    """Guards against OWNER: the store took the table, its answer was lost, and a successor counts
    on the former holder getting no more grants."""
    grants = granted_book(clock)
    clock.advance(1.5)
    assert_that(grants.due_commands(clock.now(), frozenset({(KEYS, 1)})), HasLength(0))
    assert_that(grants.due_commands(clock.now()), HasLength(1))


def test_holds_of_other_keys_do_not_delay_a_move(clock):
    """Guards against keys without owner for as long as their former holder is renewed elsewhere."""
    grants = granted_book(clock)
    assert_that(grants.hold_expires_at(OLD, KEYS), GreaterThan(clock.now()))
    assert_that(grants.hold_expires_at(NEW, KEYS), LessThan(clock.now()))


def test_holds_stay_within_what_the_platform_allows(clock):
    """Guards against grants that a deployment with shorter holds refuses, or renews too late."""
    grants = GrantTracker(clock.now(), 1.5)
    grants.mark_no_former_decider()
    grants.set_table(table(OLD, 1))
    [grant] = grants.due_commands(clock.now())
    grants.record_sent(grant, clock.now())
    grants.record_granted(grant, clock.now())
    clock.advance(0.6)
    assert_that(grants.due_commands(clock.now()), HasLength(1))
    assert_that(grants.hold_expires_at(OLD, KEYS), LessThan(clock.now() + 1.5))


def test_a_grant_that_was_not_sent_does_not_undo_an_earlier_one_without_answer(clock):
    """Guards against OWNER: a first grant came true and its answer was lost, the second one found
    no connection, and the decider forgot the first."""
    grants = GrantTracker(clock.now())
    grants.mark_no_former_decider()
    grants.set_table(table(OLD, 1))
    [first] = grants.due_commands(clock.now())
    grants.record_sent(first, clock.now())
    clock.advance(GRANT_TIMEOUT_SECONDS)
    grants.record_failed(first, clock.now())
    expected = grants.hold_expires_at(OLD, KEYS)
    clock.advance(0.5)
    [second] = grants.due_commands(clock.now())
    grants.record_sent(second, clock.now())
    grants.record_not_sent(second)
    grants.record_failed(second, clock.now())
    assert_that(grants.hold_expires_at(OLD, KEYS), Equals(expected))


def test_a_grant_that_was_not_sent_does_not_extend_a_hold_after_the_keys_were_moved(clock):
    """Guards against keys without an owner for 0.8 s longer, outages --seed 2: the table changed
    while a renewal waited for a connection, and its hold was counted on."""
    grants = granted_book(clock)
    before = grants.hold_expires_at(OLD, KEYS)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grants.due_commands(clock.now())
    grants.record_sent(renewal, clock.now())
    move(grants)
    grants.record_not_sent(renewal)
    grants.record_failed(renewal, clock.now())
    assert_that(grants.hold_expires_at(OLD, KEYS), Equals(before))


def test_a_first_grant_that_was_not_sent_leaves_no_hold(clock):
    """Guards against waiting for a server that was never granted anything."""
    grants = GrantTracker(clock.now())
    grants.mark_no_former_decider()
    grants.set_table(table(OLD, 1))
    [first] = grants.due_commands(clock.now())
    grants.record_sent(first, clock.now())
    grants.record_not_sent(first)
    assert_that(grants.hold_expires_at(OLD, KEYS), LessThan(clock.now()))
