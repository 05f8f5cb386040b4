"""When a new holder may be granted keys, and which commands are due."""

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
RESTARTED = ServerIncarnation("old", 2)
NEW = ServerIncarnation("new", 1)
KEYS = KeyRange(0, 65535)


def table(
    owner: ServerIncarnation, fence: int, previous_holders: tuple[ServerIncarnation, ...] = ()
) -> OwnershipTable:
    return OwnershipTable("holds", fence, (Assignment(KEYS, owner, fence, previous_holders),))


def granted_tracker(clock) -> GrantTracker:
    """Returns a tracker with the initial table of a service, whose keys are granted to ``OLD``."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(table(OLD, 1))
    [grant] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_granted(grant, clock.now())
    return grant_tracker


def move_keys(grant_tracker: GrantTracker) -> None:
    grant_tracker.set_table(table(NEW, 2, (OLD,)))


def test_a_moved_key_is_granted_only_after_its_release(clock):
    """Guards against two holders of a key: the new one is granted it before the release."""
    grant_tracker = granted_tracker(clock)
    move_keys(grant_tracker)
    [release] = grant_tracker.due_commands(clock.now())
    assert_that(release, IsInstance(ReleaseCommand))
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))
    grant_tracker.record_released(release, "token", clock.now())
    [grant] = grant_tracker.due_commands(clock.now())
    assert_that(grant.server, Equals(NEW))
    assert_that(grant.handover, Equals("token"))
    assert_that(grant.fence, Equals(2))


def test_keys_of_an_unresponsive_holder_are_granted_only_after_its_hold_has_expired(clock):
    """Guards against two holders of a key: the old one cannot be reached and still serves it."""
    grant_tracker = granted_tracker(clock)
    last_grant = clock.now()
    move_keys(grant_tracker)
    while True:
        commands = grant_tracker.due_commands(clock.now())
        if any(isinstance(command, GrantCommand) for command in commands):
            break
        for command in commands:
            grant_tracker.record_failed(command, clock.now())
        clock.advance(0.05)
    # The clock of a server may run 2% slow.
    assert_that(clock.now() - last_grant, GreaterThan(HOLD_SECONDS * 1.02))
    assert_that(clock.now() - last_grant, LessThan(5.0))


def test_a_grant_without_an_answer_extends_the_hold(clock):
    """Guards against two holders of a key: the server received the grant, its answer was lost."""
    grant_tracker = granted_tracker(clock)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(renewal, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_failed(renewal, clock.now())
    expected = clock.now() + GRANT_TIMEOUT_SECONDS + HOLD_SECONDS * 1.02
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), GreaterThan(expected))


def test_a_grant_that_was_not_sent_does_not_extend_the_hold(clock):
    """Guards against waiting for the hold of a renewal that was never sent, because there was no
    connection to its server."""
    grant_tracker = granted_tracker(clock)
    before = grant_tracker.hold_expires_at(OLD, KEYS)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(renewal, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_not_sent(renewal)
    grant_tracker.record_failed(renewal, clock.now())
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), Equals(before))


def test_an_incarnation_that_has_ended_holds_no_keys(clock):
    """Guards against keys without an owner until the hold of a restarted server expires."""
    grant_tracker = granted_tracker(clock)
    move_keys(grant_tracker)
    grant_tracker.record_incarnation_ended(OLD)
    [grant] = grant_tracker.due_commands(clock.now())
    assert_that(grant.server, Equals(NEW))


def test_keys_of_a_restarted_server_are_granted_on_only_after_its_next_incarnation_released_them(
    clock,
):
    """Guards against two holders of a key: a renewal that is sent after a server has restarted
    under its id is accepted by the next incarnation, which knows no fence."""
    grant_tracker = granted_tracker(clock)
    move_keys(grant_tracker)
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    [release] = grant_tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(RESTARTED, KEYS, 2)))
    grant_tracker.record_released(release, "", clock.now())
    [grant] = grant_tracker.due_commands(clock.now())
    assert_that(grant.server, Equals(NEW))


def sent_renewal(grant_tracker: GrantTracker, clock) -> GrantCommand:
    """Returns a renewal of the grant to ``OLD`` that has no result so far."""
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(renewal, clock.now() + GRANT_TIMEOUT_SECONDS)
    return renewal


@pytest.mark.parametrize("restarted", [False, True])
def test_no_release_is_sent_while_a_renewal_has_no_answer(clock, restarted):
    """Guards against two holders of a key: the holder answers the release and restarts, and its
    next incarnation, which knows of no release, accepts the renewal that was under way."""
    grant_tracker = granted_tracker(clock)
    renewal = sent_renewal(grant_tracker, clock)
    move_keys(grant_tracker)
    if restarted:
        grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))
    grant_tracker.record_granted(renewal, clock.now())
    [release] = grant_tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(RESTARTED if restarted else OLD, KEYS, 2)))


def test_a_release_is_sent_when_a_renewal_without_an_answer_has_timed_out(clock):
    """Guards against keys that nobody owns until the hold ends, because one answer was lost."""
    grant_tracker = granted_tracker(clock)
    renewal = sent_renewal(grant_tracker, clock)
    move_keys(grant_tracker)
    grant_tracker.record_failed(renewal, clock.now())
    [release] = grant_tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(OLD, KEYS, 2)))


def test_an_answer_that_arrives_after_a_restart_counts_for_the_next_incarnation(clock):
    """Guards against two holders of a key: the renewal was in flight when the restart was noticed,
    and the next incarnation had confirmed it."""
    grant_tracker = granted_tracker(clock)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(renewal, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    grant_tracker.record_granted(renewal, clock.now())
    expected = clock.now() + HOLD_SECONDS * 1.02
    assert_that(grant_tracker.hold_expires_at(RESTARTED, KEYS), GreaterThan(expected))
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), GreaterThan(expected))


def test_an_incarnation_that_has_ended_gets_no_renewals(clock):
    """Guards against grants under a forgotten fence: the next incarnation would accept them."""
    grant_tracker = granted_tracker(clock)
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    clock.advance(HOLD_SECONDS / 2)
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))


def test_a_restarted_server_gets_its_own_keys_back_without_a_release(clock):
    """Guards against keys without a holder while the server that gets them releases them."""
    grant_tracker = granted_tracker(clock)
    grant_tracker.record_incarnation_ended(OLD, RESTARTED)
    grant_tracker.set_table(table(RESTARTED, 2, (OLD,)))
    [grant] = grant_tracker.due_commands(clock.now())
    assert_that((grant.server, grant.fence), Equals((RESTARTED, 2)))


def test_a_new_decider_waits_until_grants_of_the_former_one_have_expired(clock):
    """Guards against two holders of a key: the former decider still reaches a server and renews its
    grants, while the new decider does not reach it."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.set_table(with_new_fence(table(NEW, 2, (OLD,))))
    waited_from = clock.now()
    while not any(
        isinstance(command, GrantCommand) for command in _fail_due_commands(grant_tracker, clock)
    ):
        clock.advance(0.1)
    assert_that(clock.now() - waited_from, GreaterThan(OUTAGE_GRACE_SECONDS + HOLD_SECONDS))


def _fail_due_commands(grant_tracker: GrantTracker, clock) -> list:
    commands = grant_tracker.due_commands(clock.now())
    for command in commands:
        grant_tracker.record_failed(command, clock.now())
    return commands


def test_a_confirmed_new_fence_ends_the_wait_for_grants_of_the_former_decider(clock):
    """Guards against a long time without an owner when a server is lost after a change of decider:
    nobody can grant keys to it under the old fence, not even to its next incarnation."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.record_former_deciders_end(clock.now())
    grant_tracker.set_table(with_new_fence(table(OLD, 1)))
    [grant] = grant_tracker.due_commands(clock.now())
    assert_that(grant.fence, Equals(2))
    grant_tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_granted(grant, clock.now())
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), LessThan(clock.now() + 5.0))


def test_an_expired_grant_is_not_renewed_under_the_same_fence(clock):
    """Guards against two holders of a key: the server may have restarted with the same id, and then
    does not know the fence."""
    grant_tracker = granted_tracker(clock)
    clock.advance(HOLD_SECONDS + 0.1)
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))
    assert_that(grant_tracker.expired_ranges(clock.now()), Equals(frozenset({KEYS})))


def test_the_rest_of_a_split_range_is_renewed_under_its_fence(clock):
    """Guards against an interruption for keys that stay with their owner while others move."""
    grant_tracker = granted_tracker(clock)
    stays = Assignment(KeyRange(0, 99), OLD, 1)
    moves = Assignment(KeyRange(100, 65535), NEW, 2, (OLD,))
    grant_tracker.set_table(OwnershipTable("holds", 2, (stays, moves)))
    clock.advance(1.5)
    commands = grant_tracker.due_commands(clock.now())
    renewals = [command for command in commands if isinstance(command, GrantCommand)]
    assert_that([renewal.fence for renewal in renewals], Equals([1]))
    assert_that([renewal.renewal for renewal in renewals], Equals([True]))


def test_previous_holders_of_completed_moves_are_removed_from_the_table(clock):
    """Guards against a successor that waits again for holds that are known to have ended."""
    grant_tracker = granted_tracker(clock)
    move_keys(grant_tracker)
    assert_that(grant_tracker.table_without_completed_moves(), Is(None))
    [release] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_released(release, "", clock.now())
    [grant] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_granted(grant, clock.now())
    assert_that(grant_tracker.table_without_completed_moves(), Equals(table(NEW, 2)))


@pytest.mark.parametrize("command", ["grant", "release"])
def test_a_failed_command_is_retried_after_a_delay_and_never_sent_twice_at_once(clock, command):
    """Guards against a storm of commands to a server that does not answer."""
    grant_tracker = granted_tracker(clock)
    if command == "release":
        move_keys(grant_tracker)
    else:
        clock.advance(1.5)
    [first] = grant_tracker.due_commands(clock.now())
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))
    grant_tracker.record_failed(first, clock.now())
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(0))
    clock.advance(0.5)
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(1))


def test_previous_holders_in_a_sole_deciders_table_are_waited_for_one_hold_only(clock):
    """Guards against keys without a holder for a whole outage grace time when all daemons are
    killed during a move: the table's writer granted nothing more to the previous holder."""
    former = table(NEW, 2, (OLD,)).replace(written_by_sole_decider=True)
    seen_at = clock.now() - 1.0
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.record_former_table(former, seen_at)
    grant_tracker.set_table(with_new_fence(former))
    while not any(
        isinstance(command, GrantCommand) for command in _fail_due_commands(grant_tracker, clock)
    ):
        clock.advance(0.1)
    assert_that(clock.now() - seen_at, GreaterThan(HOLD_SECONDS))
    assert_that(clock.now() - seen_at, LessThan(HOLD_SECONDS + 1.5))


def test_keys_that_an_unacknowledged_table_takes_away_are_not_renewed(clock):
    """Guards against two holders of a key: the store wrote the table, its reply was lost, and a
    successor assumes that the previous holder gets no more grants."""
    grant_tracker = granted_tracker(clock)
    clock.advance(1.5)
    assert_that(grant_tracker.due_commands(clock.now(), frozenset({(KEYS, 1)})), HasLength(0))
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(1))


def test_the_hold_of_one_server_is_not_counted_for_another(clock):
    """Guards against keys without an owner while the hold of an unrelated server is waited for."""
    grant_tracker = granted_tracker(clock)
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), GreaterThan(clock.now()))
    assert_that(grant_tracker.hold_expires_at(NEW, KEYS), LessThan(clock.now()))


def test_holds_and_renewals_stay_within_the_limit_of_the_platform(clock):
    """Guards against grants that a platform with shorter holds refuses, or renewals after they have
    expired there."""
    grant_tracker = GrantTracker(clock.now(), 1.5)
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(table(OLD, 1))
    [grant] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_granted(grant, clock.now())
    clock.advance(0.6)
    assert_that(grant_tracker.due_commands(clock.now()), HasLength(1))
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), LessThan(clock.now() + 1.5))


def test_a_grant_that_was_not_sent_does_not_undo_an_earlier_one_without_an_answer(clock):
    """Guards against two holders of a key: the server received a first grant, its answer was lost,
    the second one found no connection, and the decider dropped the expiry of the first."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(table(OLD, 1))
    [first] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(first, clock.now() + GRANT_TIMEOUT_SECONDS)
    clock.advance(GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_failed(first, clock.now())
    expected = grant_tracker.hold_expires_at(OLD, KEYS)
    clock.advance(0.5)
    [second] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(second, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_not_sent(second)
    grant_tracker.record_failed(second, clock.now())
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), Equals(expected))


def test_a_grant_that_was_not_sent_does_not_extend_a_hold_after_the_keys_were_moved(clock):
    """Guards against keys without a holder longer than needed: the table changes while a renewal
    waits for a connection, the renewal is never sent, and its hold still counts."""
    grant_tracker = granted_tracker(clock)
    before = grant_tracker.hold_expires_at(OLD, KEYS)
    clock.advance(HOLD_SECONDS / 2)
    [renewal] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(renewal, clock.now() + GRANT_TIMEOUT_SECONDS)
    move_keys(grant_tracker)
    grant_tracker.record_not_sent(renewal)
    grant_tracker.record_failed(renewal, clock.now())
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), Equals(before))


def test_a_first_grant_that_was_not_sent_leaves_no_hold(clock):
    """Guards against waiting for the hold of a server that was never sent a grant."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(table(OLD, 1))
    [first] = grant_tracker.due_commands(clock.now())
    grant_tracker.record_sent(first, clock.now() + GRANT_TIMEOUT_SECONDS)
    grant_tracker.record_not_sent(first)
    assert_that(grant_tracker.hold_expires_at(OLD, KEYS), LessThan(clock.now()))


def two_ranges(fence: int) -> OwnershipTable:
    halves = (KeyRange(0, 32767), KeyRange(32768, 65535))
    return OwnershipTable("holds", fence, tuple(Assignment(keys, OLD, fence) for keys in halves))


def test_a_command_that_cannot_be_sent_now_is_decided_anew_later(clock):
    """Guards against two holders of a key: a command that waited is sent under an old table."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(two_ranges(1))
    refused = grant_tracker.due_commands(clock.now(), accept=lambda _command: False)
    assert_that(refused, HasLength(0))
    grant_tracker.set_table(two_ranges(2))
    later = grant_tracker.due_commands(clock.now(), accept=lambda _command: True)
    assert_that({command.fence for command in later}, Equals({2}))


def test_commands_that_have_been_due_for_longest_are_sent_first(clock):
    """Guards against a range that is never renewed, because others of its server come first."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    grant_tracker.set_table(two_ranges(1))
    taken = []

    def take_one(command) -> bool:
        taken.append(command)
        return len(taken) == 1

    [first] = grant_tracker.due_commands(clock.now(), accept=take_one)
    grant_tracker.record_failed(first, clock.now())
    clock.advance(1.0)
    taken.clear()
    [second] = grant_tracker.due_commands(clock.now(), accept=take_one)
    assert_that(second.keys == first.keys, Is(False))


def test_the_commands_of_one_server_are_found_without_the_others(clock):
    """Guards against a scan of all ranges for each completed command."""
    grant_tracker = GrantTracker(clock.now())
    grant_tracker.mark_no_former_decider()
    halves = (Assignment(KeyRange(0, 9), OLD, 1), Assignment(KeyRange(10, 65535), NEW, 1))
    grant_tracker.set_table(OwnershipTable("holds", 1, halves))
    commands = grant_tracker.due_commands(clock.now(), server=NEW)
    assert_that([command.server for command in commands], Equals([NEW]))
