"""The parts of the emulator: the agenda, patterns, servers and callers."""

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
    PatternError,
    RunStatistics,
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


def arrive(server: EmulatedServer, count: int = 1) -> list[CallStatus]:
    ends: list[CallStatus] = []
    for _ in range(count):
        attempt = CallerAttempt(LOOKUPS, 5, 0.0, 0.0, 0)
        call = Call(attempt, 10.0, lambda outcome: ends.append(outcome.status))
        server.receive(call, server.incarnation)
    return ends


def test_actions_run_in_the_order_of_time_and_then_of_their_adding(scheduler):
    """Guards against runs that do not repeat."""
    seen = []
    scheduler.schedule_after(2.0, lambda: seen.append("late"))
    scheduler.schedule_after(1.0, lambda: seen.append("first"))
    scheduler.schedule_after(1.0, lambda: seen.append("second"))
    scheduler.run_until(1.5)
    assert_that(seen, Equals(["first", "second"]))
    assert_that(scheduler.clock.now(), Equals(1.5))


def test_a_pattern_reads_back_as_it_was_written():
    """Guards against arrivals that a file changes."""
    pattern = ArrivalPattern("p", (Arrival(0.25, 7), Arrival(0.25, 8), Arrival(3.0, 65535)))
    again = decode_pattern("p", encode_pattern(pattern)).unwrap()
    assert_that(encode_pattern(again), Equals("250 7\n250 8\n3000 65535\n"))
    assert_that(again.seconds, Equals(3.0))


@pytest.mark.parametrize("text", ["12", "12 x", "-1 5", "5 1\n4 1"])
def test_a_text_that_is_no_pattern_is_named(text):
    """Guards against a damaged file that is read as fewer arrivals."""
    error = decode_pattern("p", text).failure()
    assert_that(error, IsInstance(PatternError))
    assert_that(error.detail[0], Equals("p"))


def test_a_missing_pattern_is_an_error():
    """Guards against a replay of nothing."""
    assert_that(read_pattern("none").failure(), IsInstance(PatternError))


def test_a_keyed_server_runs_only_keys_that_it_holds(server, scheduler):
    """Guards against an emulator in which ownership does not matter."""
    assert_that(arrive(server), Equals([CallStatus.MISDIRECTED]))
    server.grant(KeyRange(0, 9), 1, 3.0)
    arrive(server)
    assert_that(len(server.running), Equals(1))
    scheduler.run_until(3.5)
    assert_that(arrive(server), Equals([CallStatus.MISDIRECTED]))


def test_a_grant_below_a_fence_that_was_used_is_refused(server):
    """Guards against an emulator that a superseded decider could get past."""
    server.grant(KeyRange(0, 9), 5, 3.0)
    assert_that(server.grant(KeyRange(5, 20), 4, 3.0), Equals(False))
    server.release(KeyRange(0, 3), 6)
    assert_that([server.holds(key) for key in (3, 4, 9)], Equals([False, True, True]))


def test_a_full_server_queues_a_few_and_declines_the_rest(server):
    """Guards against an emulator without a limit."""
    server.grant(KeyRange(0, 9), 1, 3.0)
    ends = arrive(server, 10)
    assert_that((len(server.running), len(server.waiting)), Equals((2, 4)))
    assert_that(ends, Equals([CallStatus.DECLINED] * 4))


def test_a_cold_server_crashes_well_above_its_bound(server, scheduler):
    """Guards against an emulator that bears any load while cold."""
    server.grant(KeyRange(0, 9), 1, 30.0)
    server.make_cold()
    arrive(server, 30)
    assert_that(server.down, Equals(True))
    assert_that(server.peak_cold_requests, GreaterThan(2 * int(server.cold_limit) - 1))
    scheduler.run_until(6.0)
    assert_that(
        (server.down, server.incarnation.started_ms, server.holds(5)), Equals((False, 2, False))
    )


def test_a_tally_counts_each_broken_promise(attempt):
    """Guards against counts of broken promises that cannot be other than zero."""
    statistics = RunStatistics()
    statistics.record_attempt(attempt, OK_ANSWER)
    assert_that(statistics.answers_without_execution, Equals(1))
    attempt.executions = 2
    statistics.record_executions(attempt)
    assert_that(statistics.duplicate_executions, Equals(1))
    statistics.record_attempt(attempt, NotRun("full"))
    assert_that(statistics.refused_but_executed, Equals(1))


def test_a_refused_order_that_runs_later_is_counted(attempt):
    """Guards against REFUSED: a refusal whose order still runs."""
    statistics = RunStatistics()
    statistics.record_attempt(attempt, NotRun("full"))
    attempt.executions = 1
    statistics.check_refused_attempts()
    assert_that(statistics.refused_but_executed, Equals(1))


def test_callers_come_back_after_a_refusal_and_not_after_an_unknown_end(scheduler, attempt):
    """Guards against callers that repeat what may have run, or that give up at once."""
    callers = Callers(scheduler, [], random.Random(1))
    assert_that(callers._wait(attempt, NotRun("full", retry_after=9.0), 1.5), Equals(0.5))
    assert_that(callers._wait(attempt, NotRun("full", retry_after=0.2), 1.5), Equals(0.2))
    assert_that(callers._wait(attempt, OutcomeUnknown("lost"), 1.5), Equals(None))


def test_generated_requests_with_faults_break_no_promise():
    """Guards against TWICE, REFUSED and FAILBACK: the small form of the run of a million."""
    emulation, begun = run_with_faults(requests=4000, seed=7)
    assert_that(len(begun), GreaterThan(3))
    for statistics in emulation.callers.statistics.values():
        assert_that(statistics.guarantee_violations, Equals(0))
    for server in emulation.servers:
        assert_that(server.peak_cold_requests, LessThan(server.cold_limit))


@pytest.mark.parametrize(
    ("name", "longest"),
    [
        ("a server crashes", 5.0),
        ("the deciding daemon is lost", 0.5),
        ("all daemons at once", 5.0),
    ],
)
def test_keys_are_held_again_soon_after_a_loss(name, longest):
    """Guards against keys that stay without an owner after a loss."""
    [lose] = [found for label, found, _ in FAILURES if label == name]
    _, seconds = measure_recovery(lose, seed=1)
    assert_that(seconds, LessThan(longest))
