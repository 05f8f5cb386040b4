"""The components of the emulator: scheduler, patterns, servers, callers and faults."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan

from fireflylink_core import KeyRange, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator import (
    APPROVALS,
    FAILURES,
    FLEET,
    LOOKUPS,
    Arrival,
    ArrivalPattern,
    Callers,
    EmulatedServer,
    RunStatistics,
    UnreadablePattern,
    decode_pattern,
    encode_pattern,
    measure_recovery,
    read_pattern,
    run_with_faults,
)
from fireflylink_emulator._caller_attempt import CallerAttempt, CallStatus
from fireflylink_emulator._emulated_server import Call

OK_ANSWER = ServerAnswer(200, (), b"")


@pytest.fixture
def server(scheduler) -> EmulatedServer:
    return EmulatedServer("s1", LOOKUPS, FLEET, "a", 1.0, scheduler, random.Random(1))


@pytest.fixture
def attempt() -> CallerAttempt:
    return CallerAttempt(APPROVALS, 5, 0.0, 0.0, 1)


def send_calls(server: EmulatedServer, count: int = 1) -> list[CallStatus]:
    statuses: list[CallStatus] = []
    for _ in range(count):
        attempt = CallerAttempt(LOOKUPS, 5, 0.0, 0.0, 0)
        call = Call(attempt, 10.0, lambda outcome: statuses.append(outcome.status))
        server.receive(call, server.incarnation)
    return statuses


def test_actions_run_by_due_time_and_then_in_the_order_of_scheduling(scheduler):
    """Guards against runs that are not reproducible.

    Actions that are due at the same time must not run in an arbitrary order.
    """
    executed = []
    scheduler.schedule_after(2.0, lambda: executed.append("late"))
    scheduler.schedule_after(1.0, lambda: executed.append("first"))
    scheduler.schedule_after(1.0, lambda: executed.append("second"))
    scheduler.run_until(1.5)
    assert_that(executed, Equals(["first", "second"]))
    assert_that(scheduler.clock.now(), Equals(1.5))


def test_an_encoded_pattern_decodes_to_the_same_arrivals():
    """Guards against arrivals that change when they are written to a file and read again."""
    pattern = ArrivalPattern("p", (Arrival(0.25, 7), Arrival(0.25, 8), Arrival(3.0, 65535)))
    decoded = decode_pattern("p", encode_pattern(pattern)).unwrap()
    assert_that(encode_pattern(decoded), Equals("250 7\n250 8\n3000 65535\n"))
    assert_that(decoded.duration_seconds, Equals(3.0))


@pytest.mark.parametrize("text", ["12", "12 x", "-1 5", "5 1\n4 1"])
def test_a_malformed_pattern_is_rejected_with_its_name(text):
    """Guards against a damaged file that is decoded with wrong or missing arrivals."""
    error = decode_pattern("p", text).failure()
    assert_that(error, IsInstance(UnreadablePattern))
    assert_that(error.detail[0], Equals("p"))


def test_a_missing_pattern_is_an_error():
    """Guards against a replay without arrivals when the pattern file is missing."""
    assert_that(read_pattern("none").failure(), IsInstance(UnreadablePattern))


def test_a_keyed_server_runs_only_keys_that_it_holds(server, scheduler):
    """Guards against an emulated server that runs requests for keys without a valid grant."""
    assert_that(send_calls(server), Equals([CallStatus.MISDIRECTED]))
    server.grant(KeyRange(0, 9), 1, 3.0)
    send_calls(server)
    assert_that(len(server.running_calls), Equals(1))
    scheduler.run_until(3.5)
    assert_that(send_calls(server), Equals([CallStatus.MISDIRECTED]))


def test_a_grant_with_a_lower_fence_is_refused(server):
    """Guards against an emulated server that accepts grants of a superseded decider."""
    server.grant(KeyRange(0, 9), 5, 3.0)
    assert_that(server.grant(KeyRange(5, 20), 4, 3.0), Equals(False))
    server.release(KeyRange(0, 3), 6)
    assert_that([server.holds(key) for key in (3, 4, 9)], Equals([False, True, True]))


def test_a_full_server_queues_two_calls_per_slot_and_declines_the_rest(server):
    """Guards against an emulated server with an unlimited queue."""
    server.grant(KeyRange(0, 9), 1, 3.0)
    statuses = send_calls(server, 10)
    assert_that((len(server.running_calls), len(server.waiting_calls)), Equals((2, 4)))
    assert_that(statuses, Equals([CallStatus.DECLINED] * 4))


def test_a_cold_server_crashes_above_twice_its_limit(server, scheduler):
    """Guards against an emulated server that survives any load while cold.

    Overload of cold servers would then have no effect in the emulator. The server restarts 4 s
    after the crash, as a new incarnation without grants.
    """
    server.grant(KeyRange(0, 9), 1, 30.0)
    server.make_cold()
    send_calls(server, 30)
    assert_that(server.down, Equals(True))
    assert_that(server.peak_cold_requests_per_second, GreaterThan(2 * int(server.cold_limit) - 1))
    scheduler.run_until(6.0)
    assert_that(
        (server.down, server.incarnation.started_ms, server.holds(5)), Equals((False, 2, False))
    )


def test_each_guarantee_violation_is_counted(attempt):
    """Guards against counts of violations that stay zero whatever happens."""
    statistics = RunStatistics()
    statistics.record_attempt(attempt, OK_ANSWER)
    assert_that(statistics.answers_without_execution, Equals(1))
    attempt.executions = 2
    statistics.record_executions(attempt)
    assert_that(statistics.duplicate_executions, Equals(1))
    statistics.record_attempt(attempt, NotRun("full"))
    assert_that(statistics.refused_but_executed, Equals(1))


def test_a_refused_attempt_that_runs_later_is_counted(attempt):
    """Guards against a refused attempt that a server runs after the refusal was recorded."""
    statistics = RunStatistics()
    statistics.record_attempt(attempt, NotRun("full"))
    attempt.executions = 1
    statistics.count_refused_but_executed()
    assert_that(statistics.refused_but_executed, Equals(1))


def test_callers_retry_after_a_refusal_but_not_after_an_unknown_outcome(scheduler, attempt):
    """Guards against callers that retry what may have run, or never retry a refusal.

    They wait as the reply asks, but no longer than a third of the remaining time.
    """
    callers = Callers(scheduler, [], random.Random(1))
    assert_that(callers._retry_delay(attempt, NotRun("full", retry_after=9.0), 1.5), Equals(0.5))
    assert_that(callers._retry_delay(attempt, NotRun("full", retry_after=0.2), 1.5), Equals(0.2))
    assert_that(callers._retry_delay(attempt, OutcomeUnknown("lost"), 1.5), Equals(None))


def test_generated_requests_with_faults_violate_no_guarantee():
    """Guards against duplicate executions, executed refusals and overload of cold servers.

    This is a short form of the run of a million requests of ``fireflylink_emulator.faults``. The
    check of ``fault_counts`` guards against a run that injects few kinds of faults.
    """
    emulation, fault_counts = run_with_faults(requests=4000, seed=7)
    assert_that(len(fault_counts), GreaterThan(3))
    for statistics in emulation.callers.statistics.values():
        assert_that(statistics.guarantee_violations, Equals(0))
    for server in emulation.servers:
        assert_that(server.peak_cold_requests_per_second, LessThan(server.cold_limit))


@pytest.mark.parametrize(
    ("name", "max_seconds"),
    [
        ("a server crashes", 5.0),
        ("the deciding daemon is lost", 0.5),
        ("all daemons at once", 5.0),
    ],
)
def test_keys_are_held_again_soon_after_a_failure(name, max_seconds):
    """Guards against keys that stay without a holder after a server or the decider is lost.

    After the loss of a server or of all daemons, all keys must be held again within 5 s. Holds
    outlast the election of another decider, so that keys stay held when only the decider is lost.
    """
    [inject_failure] = [failure for label, failure, _ in FAILURES if label == name]
    _, seconds = measure_recovery(inject_failure, seed=1)
    assert_that(seconds, LessThan(max_seconds))
