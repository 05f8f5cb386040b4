"""Which releases are needed before keys are granted, after the store has lost ownership tables."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    OUTAGE_GRACE_SECONDS,
    GrantCommand,
    GrantTracker,
    KeyedService,
    ReleaseCommand,
    first_fence,
    with_new_fence,
)

LEFT = ServerIncarnation("left", 1)
RIGHT = ServerIncarnation("right", 1)
UNNAMED = ServerIncarnation("unnamed", 1)
LOW = KeyRange(0, 999)
HIGH = KeyRange(1000, 65535)
RESTORED = OwnershipTable("holds", 7, (Assignment(LOW, LEFT, 7), Assignment(HIGH, RIGHT, 7)))
ERA = 2
NEW_TABLE = with_new_fence(RESTORED, first_fence(ERA))
FORMER_HOLDS_SECONDS = OUTAGE_GRACE_SECONDS + GRANT_TIMEOUT_SECONDS + HOLD_SECONDS * 1.02 + 0.2


@pytest.fixture
def sweeping(clock) -> GrantTracker:
    """Returns the tracker of a decider that knows only the table of the restored store."""
    tracker = GrantTracker(clock.now())
    tracker.start_sweep(clock.now() + FORMER_HOLDS_SECONDS, knows_all_holders=False)
    for server in (LEFT, RIGHT, UNNAMED):
        tracker.sweep.add_server(server)
    tracker.set_table(NEW_TABLE)
    return tracker


def test_no_key_is_granted_before_all_former_holds_have_expired(sweeping, clock):
    """Guards against two owners of a key: a server that the restored table does not name was
    granted it by a table that the store has lost. That all servers have released the keys of others
    proves nothing: another one may register later, or restart and accept a former renewal."""
    started_at = clock.now()
    releases = sweeping.due_commands(clock.now())
    expected = {
        ReleaseCommand(LEFT, HIGH, NEW_TABLE.fence),
        ReleaseCommand(RIGHT, LOW, NEW_TABLE.fence),
        ReleaseCommand(UNNAMED, KeyRange(0, 65535), NEW_TABLE.fence),
    }
    assert_that(set(releases), Equals(expected))
    *others, last = releases
    for release in others:
        sweeping.record_released(release, "", clock.now())
    assert_that(sweeping.due_commands(clock.now()), HasLength(0))
    sweeping.record_released(last, "", clock.now())
    while clock.now() < started_at + FORMER_HOLDS_SECONDS:
        assert_that(sweeping.due_commands(clock.now()), HasLength(0))
        clock.advance(0.1)
    grants = sweeping.due_commands(clock.now())
    assert_that({grant.server for grant in grants}, Equals({LEFT, RIGHT}))
    assert_that({type(grant) for grant in grants}, Equals({GrantCommand}))


def test_a_server_that_registers_again_during_the_sweep_is_asked_as_well(sweeping, clock):
    """Guards against two owners of a key: the registration of a holder was lost with the tables."""
    late = ServerIncarnation("late", 1)
    for release in sweeping.due_commands(clock.now()):
        sweeping.record_released(release, "", clock.now())
    sweeping.sweep.add_server(late)
    [release] = sweeping.due_commands(clock.now())
    assert_that((release.server, release.keys), Equals((late, KeyRange(0, 65535))))


def test_a_release_of_the_sweep_is_not_final_for_a_known_holder(clock):
    """Guards against two owners of a key: the decider before this one, of the same era, is cut off
    from the store and renews its grant at a previous holder that restarts after its release."""
    tracker = GrantTracker(clock.now())
    tracker.start_sweep(clock.now() + 1.0, knows_all_holders=False)
    for server in (LEFT, RIGHT):
        tracker.sweep.add_server(server)
    moved = Assignment(LOW, LEFT, NEW_TABLE.fence, (RIGHT,))
    others = NEW_TABLE.assignments[1:]
    tracker.set_table(NEW_TABLE.replace(assignments=(moved, *others), has_unknown_holders=True))
    ends_at = clock.now() + OUTAGE_GRACE_SECONDS + GRANT_TIMEOUT_SECONDS
    granted = []
    while clock.now() < ends_at - 0.1:
        for command in tracker.due_commands(clock.now()):
            if isinstance(command, ReleaseCommand):
                tracker.record_released(command, "", clock.now())
            else:
                granted.append(command)
        clock.advance(0.1)
    assert_that({grant.server for grant in granted}, Equals({RIGHT}))


def test_an_unresponsive_server_is_waited_for_until_every_former_hold_has_expired(sweeping, clock):
    """Guards against two owners of a key: a former decider still reaches a server that this one
    does not reach."""
    started_at = clock.now()
    while not any(
        isinstance(command, GrantCommand) for command in _complete_all_but(sweeping, UNNAMED, clock)
    ):
        clock.advance(0.1)
    assert_that(clock.now() - started_at, GreaterThan(OUTAGE_GRACE_SECONDS + HOLD_SECONDS))


def _complete_all_but(tracker: GrantTracker, unresponsive: ServerIncarnation, clock) -> list:
    commands = tracker.due_commands(clock.now())
    for command in commands:
        if command.server == unresponsive:
            tracker.record_failed(command, clock.now())
        elif isinstance(command, ReleaseCommand):
            tracker.record_released(command, "", clock.now())
    return commands


def test_a_decider_that_knows_all_holders_waits_for_its_own_holds_only(clock):
    """Guards against keys without an owner for 12 s after a restore because one server is down,
    although the decider knows all that it has granted. It was elected long ago."""
    tracker = GrantTracker(clock.now())
    tracker.mark_no_former_decider()
    clock.advance(60.0)
    tracker.set_table(RESTORED)
    for grant in tracker.due_commands(clock.now()):
        tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
        tracker.record_granted(grant, clock.now())
    tracker.start_sweep(clock.now() + FORMER_HOLDS_SECONDS, knows_all_holders=True)
    for server in (LEFT, RIGHT, UNNAMED):
        tracker.sweep.add_server(server)
    tracker.set_table(NEW_TABLE)
    releases = _complete_all_but(tracker, UNNAMED, clock)
    assert_that({release.server for release in releases}, Equals({LEFT, RIGHT, UNNAMED}))
    grants = _complete_all_but(tracker, UNNAMED, clock)
    assert_that(
        {(grant.server, grant.fence) for grant in grants},
        Equals({(LEFT, NEW_TABLE.fence), (RIGHT, NEW_TABLE.fence)}),
    )


def test_a_decider_that_knows_all_holders_does_not_wait_for_an_incarnation_that_has_ended(clock):
    """Guards against keys without an owner for 12 s: the former incarnation of a server that the
    table does not name is asked for a release that nobody can answer."""
    tracker = GrantTracker(clock.now())
    tracker.mark_no_former_decider()
    tracker.set_table(RESTORED)
    for grant in tracker.due_commands(clock.now()):
        tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
        tracker.record_granted(grant, clock.now())
    tracker.start_sweep(clock.now() + FORMER_HOLDS_SECONDS, knows_all_holders=True)
    for server in (LEFT, RIGHT, UNNAMED):
        tracker.sweep.add_server(server)
    tracker.set_table(NEW_TABLE)
    for release in tracker.due_commands(clock.now()):
        if release.server != UNNAMED:
            tracker.record_released(release, "", clock.now())
    assert_that(tracker.due_commands(clock.now()), HasLength(0))
    tracker.record_incarnation_ended(UNNAMED, ServerIncarnation("unnamed", 2))
    grants = tracker.due_commands(clock.now())
    assert_that({grant.server for grant in grants}, Equals({LEFT, RIGHT}))
    assert_that({type(grant) for grant in grants}, Equals({GrantCommand}))


def test_a_server_that_the_decider_granted_keys_is_waited_for_until_they_expire(clock):
    """Guards against two owners of a key: a server that does not answer holds keys that the decider
    itself has granted it, by a table that the store has lost."""
    tracker = GrantTracker(clock.now())
    tracker.mark_no_former_decider()
    tracker.set_table(RESTORED)
    for grant in tracker.due_commands(clock.now()):
        tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
        tracker.record_granted(grant, clock.now())
    started_at = clock.now()
    tracker.start_sweep(clock.now() + FORMER_HOLDS_SECONDS, knows_all_holders=True)
    for server in (LEFT, RIGHT):
        tracker.sweep.add_server(server)
    tracker.set_table(NEW_TABLE)
    while not any(
        isinstance(command, GrantCommand) for command in _complete_all_but(tracker, RIGHT, clock)
    ):
        clock.advance(0.1)
    assert_that(clock.now() - started_at, GreaterThan(HOLD_SECONDS * 1.02))


def test_every_fence_of_an_era_is_above_those_of_earlier_eras():
    """Guards against a fence that is used twice: the store has lost the tables that used it."""
    lost = RESTORED.replace(fence=RESTORED.fence + 1_000_000)
    assert_that(with_new_fence(RESTORED, first_fence(ERA)).fence, GreaterThan(lost.fence))
    again = with_new_fence(NEW_TABLE, first_fence(ERA))
    assert_that(again.fence, Equals(NEW_TABLE.fence + 1))


def test_a_service_without_a_table_in_a_restored_store_is_swept_too(clock):
    """Guards against two owners of a key: the copy is older than the first table, and the decider
    takes the service for one that never had an owner."""
    service = KeyedService("holds", clock.now())
    service.start_deciding(None, 0, GrantTracker(clock.now()), ERA, clock.now(), clock.now())
    assert_that(service.grant_tracker.sweep is None, Is(False))
    fresh = KeyedService("holds", clock.now())
    fresh.start_deciding(None, 0, GrantTracker(clock.now()), 0, clock.now(), clock.now())
    assert_that(fresh.grant_tracker.sweep, Is(None))


def test_the_next_decider_goes_on_with_a_sweep_that_was_not_finished(clock):
    """Guards against two owners of a key: the decider that began the sweep was lost, and its table
    is of the new era already."""
    unfinished = NEW_TABLE.replace(has_unknown_holders=True)
    service = KeyedService("holds", clock.now())
    service.start_deciding(unfinished, 9, GrantTracker(clock.now()), ERA, clock.now(), clock.now())
    assert_that(service.grant_tracker.sweep is None, Is(False))


def test_a_newer_table_that_the_store_has_lost_stays_in_use(clock):
    """Guards against moves that are undone after a restore by a daemon that still knows them."""
    service = KeyedService("holds", clock.now())
    newer = RESTORED.replace(fence=9)
    service.record_stored_table(newer, 80, clock.now())
    service.record_stored_table(RESTORED, 2000, clock.now())
    assert_that((service.table, service.revision), Equals((newer, 2000)))
