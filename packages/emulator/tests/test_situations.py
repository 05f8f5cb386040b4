"""The worst loads, replayed from their recorded arrivals beside the baseline."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_emulator import SCENARIOS, read_pattern, replay_scenario

LEAST_GAIN = {
    "hot-key-on-cold-server": 0.05,
    "slow-third": 0.12,
    "lost-data-centre": 0.05,
    "impatient-callers": 0.02,
    "grey-servers": 0.02,
    "replaced-servers": 0.02,
    "orders-beside-lookups": 0.05,
}
"""By how much the worth must exceed the baseline's."""


def by_name(scenario) -> str:
    return scenario.name


@pytest.mark.parametrize("scenario", SCENARIOS, ids=by_name)
def test_the_decisions_earn_more_than_the_baseline(replayed, scenario):
    """Guards against a change that makes one of the worst loads worse than deciding nothing."""
    decided, naive = (run.callers.statistics_of(scenario.profile) for run in replayed(scenario))
    assert_that(
        decided.earned_fraction, GreaterThan(naive.earned_fraction + LEAST_GAIN[scenario.name])
    )


@pytest.mark.parametrize("scenario", SCENARIOS, ids=by_name)
def test_no_promise_is_broken_under_load(replayed, scenario):
    """Guards against TWICE and REFUSED: an order that runs twice, or runs after a refusal."""
    decided, _ = replayed(scenario)
    assert_that(decided.callers.statistics_of(scenario.profile).guarantee_violations, Equals(0))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=by_name)
def test_cold_servers_get_no_more_than_they_bear(replayed, scenario):
    """Guards against FAILBACK: the sum of all daemons over the bound of a cold server."""
    decided, _ = replayed(scenario)
    for server in decided.servers:
        assert_that(server.peak_cold_requests, LessThan(server.cold_limit))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=by_name)
def test_a_replay_repeats_exactly(scenario, replayed):
    """Guards against figures that change from run to run."""

    again = replay_scenario(scenario, read_pattern(scenario.name).unwrap(), 1, False)
    decided, _ = replayed(scenario)
    profile = scenario.profile
    assert_that(
        again.callers.statistics_of(profile).earned_value,
        Equals(decided.callers.statistics_of(profile).earned_value),
    )
