"""Replays of all scenarios with the production code and with the baseline."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_emulator import SCENARIOS, read_pattern, replay_scenario

MIN_GAIN = {
    "hot-key-on-cold-server": 0.05,
    "slow-third": 0.12,
    "lost-data-centre": 0.05,
    "impatient-callers": 0.02,
    "grey-servers": 0.02,
    "replaced-servers": 0.02,
    "orders-beside-lookups": 0.05,
}
"""By how much the earned fraction of the possible value must exceed that of the baseline."""


def scenario_name(scenario) -> str:
    return scenario.name


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_routing_earns_more_value_than_the_baseline(replay_with_baseline, scenario):
    """Guards against routing decisions that lose their advantage over the baseline in a scenario.

    A change to dispatch, limits or retries may make a scenario worse than without any of them.
    """
    production, baseline = (
        run.callers.statistics_of(scenario.profile) for run in replay_with_baseline(scenario)
    )
    assert_that(
        production.earned_fraction, GreaterThan(baseline.earned_fraction + MIN_GAIN[scenario.name])
    )


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_no_guarantee_is_violated_under_load(replay_with_baseline, scenario):
    """Guards against a request that runs twice, or runs although its caller was refused.

    Under load, calls time out at servers that may still run them: a retry would then run the
    request a second time, and a refusal would be wrong.
    """
    production, _ = replay_with_baseline(scenario)
    assert_that(production.callers.statistics_of(scenario.profile).guarantee_violations, Equals(0))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_cold_servers_receive_fewer_requests_than_their_limit(replay_with_baseline, scenario):
    """Guards against more requests to a cold server than its limit.

    Each daemon may keep to its own share while the sum over all daemons exceeds the limit.
    """
    production, _ = replay_with_baseline(scenario)
    for server in production.servers:
        assert_that(server.peak_cold_requests_per_second, LessThan(server.cold_limit))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_a_replay_is_reproducible(scenario, replay_with_baseline):
    """Guards against results that differ between runs with the same seed."""

    again = replay_scenario(scenario, read_pattern(scenario.name).unwrap(), 1, False)
    production, _ = replay_with_baseline(scenario)
    profile = scenario.profile
    assert_that(
        again.callers.statistics_of(profile).earned_value,
        Equals(production.callers.statistics_of(profile).earned_value),
    )
