"""What a new decider assumes of those before it, which may not know that they are superseded."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from fireflylink_core import Assignment, DaemonAddress, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    OUTAGE_GRACE_SECONDS,
    GrantCommand,
    GrantTracker,
    KeyedService,
    ReleaseCommand,
    with_new_fence,
)

OLD = ServerIncarnation("old", 1)
RESTARTED = ServerIncarnation("old", 2)
NEW = ServerIncarnation("new", 1)
KEYS = KeyRange(0, 65535)
WRITER = DaemonAddress("front-9", "127.0.0.9", 7540)


def table(
    owner: ServerIncarnation, fence: int, previous_holders: tuple[ServerIncarnation, ...] = ()
) -> OwnershipTable:
    return OwnershipTable(
        "holds",
        fence,
        (Assignment(KEYS, owner, fence, previous_holders),),
        written_by_sole_decider=True,
        writer=WRITER,
    )


@pytest.fixture
def tracker(clock) -> GrantTracker:
    """The tracker of a new decider; ``OLD`` owns all keys and has confirmed its first fence."""
    tracker = GrantTracker(clock.now())
    tracker.set_table(with_new_fence(table(OLD, 1)))
    confirm_grant(tracker, clock)
    return tracker


def confirm_grant(tracker: GrantTracker, clock) -> None:
    [grant] = tracker.due_commands(clock.now())
    tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
    tracker.record_granted(grant, clock.now())


def seconds_until_sent(tracker: GrantTracker, clock, kind: type) -> float:
    """Returns how long it takes until a command of a kind is due, while no server answers."""
    started_at = clock.now()
    while True:
        commands = tracker.due_commands(clock.now())
        if any(isinstance(command, kind) for command in commands):
            return clock.now() - started_at
        for command in commands:
            tracker.record_failed(command, clock.now())
        clock.advance(0.1)


def test_no_release_is_sent_while_a_former_decider_may_renew_the_grant(tracker, clock):
    """Guards against two holders of a key: a server that has released it restarts under its id,
    forgets the release, and accepts a renewal of a decider that is cut off from the store."""
    tracker.set_table(table(NEW, 3, (OLD,)))
    waited = seconds_until_sent(tracker, clock, ReleaseCommand)
    assert_that(waited, GreaterThan(OUTAGE_GRACE_SECONDS))


def test_a_release_is_sent_at_once_when_the_former_deciders_have_stepped_down(tracker, clock):
    """Guards against moves that wait for the grace time of a decider that has stepped down."""
    tracker.record_former_deciders_end(clock.now())
    tracker.set_table(table(NEW, 3, (OLD,)))
    [release] = tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(OLD, KEYS, 3)))


def test_a_confirmed_fence_does_not_end_the_wait_for_former_deciders(tracker, clock):
    """Guards against two holders of a key: the server that confirmed the fence restarts under its
    id, accepts a grant of the former decider, and does not answer the present one."""
    assert_that(tracker.hold_expires_at(OLD, KEYS), GreaterThan(clock.now() + OUTAGE_GRACE_SECONDS))
    tracker.record_incarnation_ended(OLD, RESTARTED)
    assert_that(tracker.hold_expires_at(OLD, KEYS), GreaterThan(clock.now() + OUTAGE_GRACE_SECONDS))


def test_a_fence_that_is_confirmed_afterwards_ends_the_wait(tracker, clock):
    """Guards against a long time without an owner when a server is lost after a change of decider:
    nobody can grant keys to its next incarnation under an older fence."""
    tracker.record_former_deciders_end(clock.now())
    clock.advance(1.0)
    confirm_grant(tracker, clock)
    assert_that(tracker.hold_expires_at(OLD, KEYS), LessThan(clock.now() + HOLD_SECONDS * 1.1))


def test_a_fence_that_was_sent_before_does_not_end_the_wait(tracker, clock):
    """Guards against two holders of a key: the server confirmed the fence and restarted, and the
    former decider granted it the keys once more, before it stepped down."""
    clock.advance(1.0)
    [grant] = tracker.due_commands(clock.now())
    tracker.record_sent(grant, clock.now() + GRANT_TIMEOUT_SECONDS)
    clock.advance(0.1)
    tracker.record_former_deciders_end(clock.now())
    tracker.record_granted(grant, clock.now())
    assert_that(
        tracker.hold_expires_at(OLD, KEYS), GreaterThan(clock.now() + HOLD_SECONDS * 1.02 + 0.5)
    )


def test_a_server_that_is_to_own_its_keys_again_releases_them_at_once(tracker, clock):
    """Guards against keys without an owner: a grant has expired, and its server is to get the keys
    again under a higher fence, whichever of its incarnations holds them."""
    tracker.set_table(table(OLD, 3, (OLD,)))
    [release] = tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(OLD, KEYS, 3)))


def test_a_move_that_was_under_way_goes_on_after_a_takeover(clock):
    """Guards against keys without an owner for a whole grace time: the former decider granted
    nothing to the previous holder any more."""
    former = table(NEW, 2, (OLD,))
    tracker = GrantTracker(clock.now())
    tracker.record_former_table(former, clock.now() - 1.0)
    tracker.set_table(with_new_fence(former))
    [release] = tracker.due_commands(clock.now())
    assert_that(release, Equals(ReleaseCommand(OLD, KEYS, 3)))


@pytest.fixture
def service(clock) -> KeyedService:
    return KeyedService("holds", clock.now())


def start(service: KeyedService, stored: OwnershipTable, clock, era: int = 0) -> GrantTracker:
    tracker = GrantTracker(clock.now())
    service.start_deciding(stored, 5, tracker, era, clock.now(), clock.now())
    return tracker


def test_the_writer_of_the_table_is_the_last_former_decider(service, clock):
    """Guards against a wait for deciders that certainly have ended."""
    tracker = start(service, table(OLD, 1), clock)
    assert_that(service.former_decider, Equals(WRITER))
    assert_that(tracker.is_sole_decider(clock.now()), Equals(False))
    service.record_former_decider_stopped(clock.now())
    assert_that(tracker.is_sole_decider(clock.now()), Equals(True))


def test_deciders_before_the_writer_are_waited_for_unless_it_was_the_sole_one(service, clock):
    """Guards against two holders of a key: the last decider has stepped down, and the one before it
    still grants keys."""
    stored = table(OLD, 1).replace(written_by_sole_decider=False)
    tracker = start(service, stored, clock)
    service.record_former_decider_stopped(clock.now())
    assert_that(tracker.is_sole_decider(clock.now()), Equals(False))
    clock.advance(OUTAGE_GRACE_SECONDS)
    assert_that(tracker.is_sole_decider(clock.now()), Equals(False))
    clock.advance(GRANT_TIMEOUT_SECONDS)
    assert_that(tracker.is_sole_decider(clock.now()), Equals(True))


def test_the_writer_is_not_the_last_decider_if_later_tables_may_be_lost(service, clock):
    """Guards against two holders of a key after a restore: the last decider wrote a table that the
    store has lost, and nobody knows which one it was."""
    start(service, table(OLD, 1), clock, era=1)
    assert_that(service.former_decider, Equals(None))


def test_only_keys_of_lost_owners_move_before_the_former_deciders_have_ended(
    service, clock, candidate_factory
):
    """Guards against keys that nobody serves: they are taken from a sound server for the balance,
    and cannot be granted to another one for seconds."""
    tracker = start(service, table(OLD, 1), clock)
    service.table = with_new_fence(table(OLD, 1))
    tracker.set_table(service.table)
    servers = [candidate_factory("old"), candidate_factory("new")]
    assert_that(service.next_table(servers, 0.0, clock.now()), Equals(None))
    lost = service.next_table(servers[1:], 0.0, clock.now())
    assert_that({assignment.owner for assignment in lost.assignments}, Equals({NEW}))
    service.record_former_decider_stopped(clock.now())
    joined = service.next_table(servers, 0.0, clock.now())
    owners = [assignment.owner for assignment in joined.assignments]
    assert_that(sorted(owners, key=str), HasLength(2))


def test_a_grant_to_the_next_owner_waits_for_an_unresponsive_former_holder(tracker, clock):
    """Guards against two holders of a key: its server does not answer, and a former decider may
    have renewed its grant until it stepped down."""
    clock.advance(2.0)
    tracker.record_former_deciders_end(clock.now())
    tracker.set_table(table(NEW, 3, (OLD,)))
    waited = seconds_until_sent(tracker, clock, GrantCommand)
    assert_that(waited, GreaterThan(HOLD_SECONDS * 1.02))
    assert_that(waited, LessThan(OUTAGE_GRACE_SECONDS))
