"""What the decider wants for one service, how much a server can run, and why keys move."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
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
    found = KeyedService("holds", clock.now())
    found.grants = GrantTracker(clock.now())
    return found


def test_the_first_table_waits_for_servers_that_are_still_joining(service, clock, candidates):
    """Guards against a first table for one server, whose keys then all move."""
    joined_at = clock.now()
    found = [candidates("s1"), candidates("s2")]
    assert_that(service.next_table(found, joined_at, clock.now()), Is(None))
    clock.advance(1.6)
    wanted = service.next_table(found, joined_at, clock.now())
    assert_that(len(wanted.assignments), Equals(2))


def test_without_servers_nothing_is_wanted(service, clock):
    """Guards against a table without owners."""
    assert_that(service.next_table([], clock.now(), clock.now() + 9.0), Is(None))


def test_a_takeover_begins_with_every_range_under_a_new_fence(service, clock, candidates):
    """Guards against grants of a former decider that a server still takes."""
    service.table = table(7, (0, 65535, ONE))
    wanted = service.next_table([candidates("s1")], clock.now(), clock.now())
    assert_that([found.fence for found in wanted.assignments], Equals([8]))


def test_changes_tell_lost_owners_from_relieved_ones():
    """Guards against a log line that does not say why keys moved (inc-6f95)."""
    old = table(1, (0, 99, ONE), (100, 199, TWO), (200, 65535, THREE))
    new = table(2, (0, 49, ONE), (50, 99, THREE), (100, 65535, THREE))
    changes = changes_between(old, new, frozenset((ONE, THREE)))
    assert_that((changes.lost_keys, changes.moved_keys, changes.joined), Equals((100, 50, 0)))


def test_an_owner_without_keys_before_counts_as_joined():
    """Guards against a server that joined and whose first keys look like any move."""
    old = table(1, (0, 65535, ONE))
    new = table(2, (0, 999, ONE), (1000, 65535, TWO))
    assert_that(changes_between(old, new, frozenset((ONE, TWO))).joined, Equals(1))


def test_a_slow_server_counts_for_less_and_a_cold_one_for_least():
    """Guards against slow servers that keep as many keys as fast ones."""
    estimates = ServiceTimeEstimates()
    for _ in range(40):
        estimates.add("fast", 1, 0.1)
        estimates.add("slow", 1, 0.3)
    fast = estimates.capacity("fast", 4, False)
    slow = estimates.capacity("slow", 4, False)
    assert_that(slow, LessThan(fast * 0.5))
    assert_that(estimates.capacity("fast", 4, True), LessThan(fast * 0.5))


def test_the_bounds_keep_one_estimate_from_moving_all_keys():
    """Guards against a few strange times that take every key from a server."""
    estimates = ServiceTimeEstimates()
    for _ in range(40):
        estimates.add("usual", 1, 0.1)
    estimates.add("strange", 40, 400.0)
    estimates.add("usual", 40, 4.0)
    usual = 4 / estimates.mean_seconds()
    assert_that(estimates.capacity("strange", 4, False), GreaterThan(usual * 0.39))
    assert_that(estimates.capacity("usual", 4, False), LessThan(usual * 2.01))


def settle_range(service: KeyedService, number: int, now: float) -> None:
    """Lets the release and the grant of one moved range be confirmed."""
    for _ in range(2):
        for command in service.grants.due_commands(now):
            if command.keys.first != number * 100:
                service.grants.record_failed(command, now)
            elif isinstance(command, ReleaseCommand):
                service.grants.record_released(command, "", now)
            else:
                service.grants.record_sent(command, now)
                service.grants.record_granted(command, now)


def test_moves_that_end_one_after_the_other_are_written_down_together(service, clock, candidates):
    """Guards against a table at every plan while moves end, cfp trouble-2: five tables that moved
    no key within 1.6 s, each read by every daemon."""
    service.grants.mark_no_former_decider()
    moved = tuple(
        Assignment(KeyRange(number * 100, number * 100 + 99), TWO, 2, (ONE,))
        for number in range(10)
    )
    rest = Assignment(KeyRange(1000, 65535), ONE, 2)
    service.table = OwnershipTable("holds", 2, (*moved, rest))
    service.grants.set_table(service.table)
    service.next_rebalance_at = clock.now() + 100.0
    written = 0
    for number in range(10):
        settle_range(service, number, clock.now())
        clock.advance(0.4)
        wanted = service.next_table(
            [candidates("s1", 100.0), candidates("s2", 1.0)], clock.now(), clock.now()
        )
        if wanted is not None:
            written += 1
            service.table = wanted
            service.grants.set_table(wanted)
    assert_that(written, LessThan(3))
