"""Guards P6 and P7 over generated requests with crashes, repetitions and gateway changes."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from fireflylink_experiments.request_faults._history import Violations
from fireflylink_experiments.request_faults._run import FaultRun

REQUESTS = 12_000


@pytest.fixture(scope="module")
def violations() -> Violations:
    return FaultRun(REQUESTS, seed=5).run()


def test_no_request_is_doubled_lost_or_wrongly_called_not_run(violations: Violations) -> None:
    """Combinations of faults break guarantees that hold under each fault alone."""
    counts = (violations.doubled, violations.open_attempts, violations.wrongly_not_run)
    assert_that(counts, Equals((0, 0, 0)))


def test_cold_server_stays_within_its_limit_under_faults(violations: Violations) -> None:
    """A gateway change during a cold start must not add up the requests of both gateways (P3)."""
    assert_that(violations.highest_cold_load, Equals(1))


def test_generated_run_covers_every_kind_of_reply(violations: Violations) -> None:
    """A run in which nothing goes wrong would show nothing."""
    for told in ("unknown already-run", "unknown id-too-old", "unknown still-running"):
        assert_that(violations.outcomes.get(told, 0), GreaterThan(0))
    assert_that(violations.outcomes["answered"], GreaterThan(REQUESTS * 2 // 3))
