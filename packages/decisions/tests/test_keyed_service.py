"""Next table of a keyed service, capacity estimates, and counts of keys that move."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    GrantTracker,
    KeyedService,
    ReleaseCommand,
    ServiceTimeEstimates,
    changes_between,
)

ONE = ServerIncarnation("s1", 1)
TWO = ServerIncarnation("s2", 1)
THREE = ServerIncarnation("s3", 1)


def table(fence: int, *pieces: tuple[int, int, ServerIncarnation]) -> OwnershipTable:
    return OwnershipTable(
        "holds",
        fence,
        tuple(
            Assignment(KeyRange(first, last), incarnation, fence)
            for first, last, incarnation in pieces
        ),
    )


@pytest.fixture
def service(clock) -> KeyedService:
    keyed_service = KeyedService("holds", clock.now())
    keyed_service.grant_tracker = GrantTracker(clock.now())
    return keyed_service


def test_the_initial_table_waits_for_servers_that_are_still_joining(
    service, clock, candidate_factory
):
    """Guards against an initial table with one server only, from which most keys move soon."""
    joined_at = clock.now()
    servers = [candidate_factory("s1"), candidate_factory("s2")]
    assert_that(service.next_table(servers, joined_at, clock.now()), Is(None))
    clock.advance(1.6)
    planned = service.next_table(servers, joined_at, clock.now())
    assert_that(len(planned.assignments), Equals(2))


def test_no_table_is_planned_without_servers(service, clock):
    """Guards against a table without owners."""
    assert_that(service.next_table([], clock.now(), clock.now() + 9.0), Is(None))


def test_a_new_decider_first_gives_every_range_a_new_fence(service, clock, candidate_factory):
    """Guards against grants of a former decider that servers still accept."""
    service.table = table(7, (0, 65535, ONE))
    planned = service.next_table([candidate_factory("s1")], clock.now(), clock.now())
    assert_that([assignment.fence for assignment in planned.assignments], Equals([8]))


def test_changes_count_keys_of_lost_owners_and_of_remaining_ones_separately():
    """Guards against a log line that does not show why keys were moved."""
    old = table(1, (0, 99, ONE), (100, 199, TWO), (200, 65535, THREE))
    new = table(2, (0, 49, ONE), (50, 99, THREE), (100, 65535, THREE))
    changes = changes_between(old, new, frozenset((ONE, THREE)))
    assert_that((changes.lost_keys, changes.moved_keys, changes.joined), Equals((100, 50, 0)))


def test_an_owner_that_had_no_keys_counts_as_joined():
    """Guards against a log line in which the first keys of a new server look like any move."""
    old = table(1, (0, 65535, ONE))
    new = table(2, (0, 999, ONE), (1000, 65535, TWO))
    assert_that(changes_between(old, new, frozenset((ONE, TWO))).joined, Equals(1))


def test_slow_and_cold_servers_have_a_lower_capacity():
    """Guards against slow servers that keep as many keys as fast ones."""
    estimates = ServiceTimeEstimates()
    for _ in range(40):
        estimates.add("fast", 1, 0.1)
        estimates.add("slow", 1, 0.3)
    fast = estimates.capacity("fast", 4, False)
    slow = estimates.capacity("slow", 4, False)
    assert_that(slow, LessThan(fast * 0.5))
    assert_that(estimates.capacity("fast", 4, True), LessThan(fast * 0.5))


def test_capacities_are_limited_relative_to_the_mean():
    """Guards against a server that loses all its keys because of a few outliers in service time."""
    estimates = ServiceTimeEstimates()
    for _ in range(40):
        estimates.add("usual", 1, 0.1)
    estimates.add("strange", 40, 400.0)
    estimates.add("usual", 40, 4.0)
    usual = 4 / estimates.mean_seconds()
    assert_that(estimates.capacity("strange", 4, False), GreaterThan(usual * 0.39))
    assert_that(estimates.capacity("usual", 4, False), LessThan(usual * 2.01))


def complete_move(service: KeyedService, number: int, now: float) -> None:
    """Confirms the release and the grant of one moved range, and fails all other commands."""
    for _ in range(2):
        for command in service.grant_tracker.due_commands(now):
            if command.keys.first != number * 100:
                service.grant_tracker.record_failed(command, now)
            elif isinstance(command, ReleaseCommand):
                service.grant_tracker.record_released(command, "", now)
            else:
                service.grant_tracker.record_sent(command, now + GRANT_TIMEOUT_SECONDS)
                service.grant_tracker.record_granted(command, now)


def test_moves_that_complete_one_after_another_are_written_together(
    service, clock, candidate_factory
):
    """Guards against a new table with every plan while moves complete: every daemon reads each
    table, although none of them moves a key."""
    service.grant_tracker.mark_no_former_decider()
    moved = tuple(
        Assignment(KeyRange(number * 100, number * 100 + 99), TWO, 2, (ONE,))
        for number in range(10)
    )
    rest = Assignment(KeyRange(1000, 65535), ONE, 2)
    service.table = OwnershipTable("holds", 2, (*moved, rest))
    service.grant_tracker.set_table(service.table)
    service.next_rebalance_at = clock.now() + 100.0
    written = 0
    for number in range(10):
        complete_move(service, number, clock.now())
        clock.advance(0.4)
        planned = service.next_table(
            [candidate_factory("s1", 100.0), candidate_factory("s2", 1.0)], clock.now(), clock.now()
        )
        if planned is not None:
            written += 1
            service.table = planned
            service.grant_tracker.set_table(planned)
    assert_that(written, LessThan(3))


def test_keys_of_any_unacknowledged_move_are_not_renewed(service):
    """Guards against two holders of a key: the first of two unacknowledged tables was written.

    Its successor assumes that the keys that it moves are not renewed, whatever was planned later.
    """
    whole = tuple(
        Assignment(KeyRange(first, last), ONE, 1) for first, last in ((0, 9), (10, 19), (20, 65535))
    )
    service.table = OwnershipTable("holds", 1, whole)
    moves_first = (Assignment(KeyRange(0, 9), TWO, 2, (ONE,)), *whole[1:])
    moves_second = (whole[0], Assignment(KeyRange(10, 19), TWO, 2, (ONE,)), whole[2])
    service.unacknowledged_tables = [
        OwnershipTable("holds", 2, moves_first),
        OwnershipTable("holds", 2, moves_second),
    ]
    assert_that(
        service.ranges_pending_removal(),
        Equals(frozenset({(KeyRange(0, 9), 1), (KeyRange(10, 19), 1)})),
    )
