"""Failures of backend servers while they answer: P3, P5, poison requests, silent connections."""

import json
import time

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan, Not

from fireflylink_standins import Scenario, Told

KEYS = 40
SLOW_FACTOR = 8.0
RECOVERY_SECONDS = 10.0
IDLE_SECONDS = 1.5
"""Longer than the idle time after which a connection is checked before use (1 s)."""

NEEDLE = "crash-on-this"


def test_p3_server_that_turns_cold_silently_keeps_its_cold_limit(scenario: Scenario) -> None:
    """P3: work in the number of a warm server sent to one whose cold start nobody announced."""
    scenario.fault("bookings", fault="slow", factor=SLOW_FACTOR)
    scenario.fault("holds", fault="slow", factor=SLOW_FACTOR)
    scenario.fault("bookings", fault="lying_health", enabled=True)
    before = scenario.violations("bookings").get("cold-overload", 0)
    counts = scenario.system.backend_admin("bookings", "GET", "/admin/counts")
    generation = counts["bookings-1"]["generation"]
    with scenario.load("bookings", rate=150) as pooled, scenario.load("holds", 80, KEYS):
        scenario.until("load is running", lambda: pooled.counts["answered"] > 100, 10.0)
        scenario.fault("bookings", "bookings-1", fault="turn_cold")
        scenario.fault("holds", "holds-1", fault="turn_cold")
        scenario.until("the cold server warms up", lambda: is_warm(scenario), RECOVERY_SECONDS)
    counts = scenario.system.backend_admin("bookings", "GET", "/admin/counts")
    assert_that(counts["bookings-1"]["generation"], Not(Equals(generation)))
    assert_that(scenario.violations("bookings").get("cold-overload", 0), Equals(before))


def is_warm(scenario: Scenario) -> bool:
    pooled = scenario.system.backend_admin("bookings", "GET", "/admin/counts")["bookings-1"]
    keyed = scenario.system.backend_admin("holds", "GET", "/admin/counts")["holds-1"]
    return bool(pooled["state"] == "warm" and keyed["state"] == "warm")


def test_p5_broken_answers_reach_no_caller(scenario: Scenario) -> None:
    """P5: a cut answer, or one to another call, passed on to a caller as its own."""
    faults = ("truncate", "wrong_call_id", "lose_answer", "truncate", "wrong_call_id")
    with (
        scenario.load("holds", rate=120, keys=KEYS, methods=(("GET", 2), ("PUT", 1))) as keyed,
        scenario.load("bookings", rate=80, methods=(("GET", 1), ("POST", 1))) as pooled,
    ):
        for fault in faults:
            scenario.fault("holds", fault=fault, count=4)
            scenario.fault("bookings", fault=fault, count=4)
            expected = keyed.counts["answered"] + 60
            scenario.until(
                "load goes on",
                lambda expected=expected: keyed.counts["answered"] > expected,
                RECOVERY_SECONDS,
            )
    for report in (keyed, pooled):
        assert_that(report.counts["wrong-answer"], Equals(0))
        assert_that(report.counts["no-outcome"], Equals(0))
        assert_that(report.counts["no-reply"], Equals(0))
        assert_that(report.counts["answered"], GreaterThan(0))


def test_p5_late_answer_reaches_no_later_caller(scenario: Scenario) -> None:
    """P5: the answer to a call that was given up, taken for the answer to the next call."""
    scenario.fault("holds", fault="delay", delay_ms=700)
    with scenario.load("holds", 60, KEYS, methods=(("GET", 1), ("PUT", 1)), timeout_ms=300) as late:
        scenario.until("late answers", lambda: late.counts["unknown"] > 30, RECOVERY_SECONDS)
        scenario.fault("holds", fault="delay", delay_ms=0)
        answered = late.counts["answered"]
        scenario.until(
            "answers after the delays",
            lambda: late.counts["answered"] > answered + 100,
            RECOVERY_SECONDS,
        )
    assert_that(late.counts["wrong-answer"], Equals(0))
    assert_that(late.counts["no-outcome"], Equals(0))
    assert_that(late.counts["no-reply"], Equals(0))


def test_poison_request_is_refused_after_two_crashes(scenario: Scenario) -> None:
    """A request that crashes its server, repeated by its caller, must not crash it for ever."""
    entries = list(scenario.system.daemons)
    scenario.fault("holds", fault="poison", marker=NEEDLE)
    started_ms = scenario.now_ms()
    with scenario.load("holds", rate=60, keys=KEYS) as beside:
        scenario.until("load is running", lambda: beside.counts["answered"] > 30, 10.0)
        for entry in entries:
            scenario.until(
                f"{entry} refuses the request",
                lambda entry=entry: put_poison(scenario, entry).reason == "poison",
                RECOVERY_SECONDS,
            )
        refused_ms = scenario.now_ms()
        for entry in entries * 2:
            assert_that(put_poison(scenario, entry).reason, Equals("poison"))
        neighbour = scenario.until(
            "the same key is served",
            lambda: [told for told in [get_same_key(scenario, entries[0])] if is_answered(told)],
            RECOVERY_SECONDS,
        )
        assert_that(neighbour, HasLength(1))
    crashed = poison_starts(scenario, started_ms)
    assert_that(len(crashed), LessThan(3))
    assert_that([start for start in crashed if start > refused_ms], HasLength(0))
    assert_that(dict(beside.reasons), Not(Contains("not-run:poison")))


def put_poison(scenario: Scenario, entry: str) -> Told:
    return scenario.send(entry, "PUT", "holds/poisoned", NEEDLE.encode())


def get_same_key(scenario: Scenario, entry: str) -> Told:
    return scenario.send(entry, "GET", "holds/poisoned")


def is_answered(told: Told) -> bool:
    return told.outcome == "answered"


def poison_starts(scenario: Scenario, started_ms: float) -> list[float]:
    return [
        entry.start_ms
        for entry in scenario.started_after("holds", started_ms)
        if entry.key == "poisoned" and entry.method == "PUT"
    ]


def test_silent_connections_do_not_swallow_a_post(scenario: Scenario) -> None:
    """A POST on a connection that went silent while idle: not answered, or run again elsewhere."""
    entries = list(scenario.system.daemons)
    with scenario.load("bookings", rate=150) as warm:
        scenario.until("connections are open", lambda: warm.counts["answered"] > 100, 10.0)
    scenario.fault("bookings", fault="silence")
    time.sleep(IDLE_SECONDS)
    told = scenario.post_repeatedly("bookings", entries, 24, 1, 0.05).result()
    outcomes = [(attempts[0].outcome, attempts[0].reason) for attempts in told.values()]
    assert_that(outcomes, Equals([("answered", "")] * 24))
    runs = [entry.request_id for entry in scenario.entries("bookings") if entry.request_id in told]
    assert_that(sorted(runs), Equals(sorted(told)))
    for request_id, attempts in told.items():
        assert_that(json.loads(attempts[0].body)["request_id"], Equals(request_id))
