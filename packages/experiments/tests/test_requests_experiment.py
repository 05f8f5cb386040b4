"""Guards the targets of the request decisions on short runs of the measurement."""

from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_experiments.requests._run import RunResult, run
from fireflylink_experiments.requests._scenarios import SCENARIOS
from fireflylink_experiments.requests._sizes import SIZES

RunScenario = Callable[..., RunResult]


@pytest.fixture
def run_scenario() -> RunScenario:
    """Runs a scenario of a service for a few simulated seconds."""

    def run_one(service: str, scenario: str, seconds: float = 5.0) -> RunResult:
        size = next(size for size in SIZES if size.name == service)
        chosen = next(each for each in SCENARIOS if each.name == scenario)
        return run(size, chosen, "policy", seconds, seed=1)

    return run_one


def test_straggler_hardly_changes_the_tail_of_a_pooled_service(run_scenario: RunScenario) -> None:
    """One slow server of six would set the p99 of all orders."""
    healthy = run_scenario("orders", "healthy")
    with_straggler = run_scenario("orders", "stragglers-1")
    assert_that(with_straggler.p99, LessThan(1.5 * healthy.p99))


def test_overload_leaves_goodput_near_the_capacity(run_scenario: RunScenario) -> None:
    """Servers would work on requests that come too late, or stand idle behind a full queue."""
    assert_that(run_scenario("orders", "overload").goodput, GreaterThan(0.95))


@pytest.mark.parametrize("scenario", ["cold-start", "turns-cold", "data-centre-moves"])
def test_cold_server_never_gets_more_than_its_limit(
    run_scenario: RunScenario, scenario: str
) -> None:
    """Load on a server in cold start delays its warm-up and crashes it again (P3)."""
    assert_that(run_scenario("orders", scenario, 8.0).highest_cold_load, Equals(1))


def test_poison_request_crashes_two_servers_at_most(run_scenario: RunScenario) -> None:
    """A caller that resends it would bring down the whole service."""
    assert_that(run_scenario("orders", "poison").crashes, LessThan(3))


def test_measurement_is_repeatable(run_scenario: RunScenario) -> None:
    """Figures before and after a change could not be compared otherwise."""
    first = run_scenario("orders", "silent-connections")
    assert_that(run_scenario("orders", "silent-connections"), Equals(first))
