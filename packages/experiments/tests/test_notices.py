"""The experiment on servers that ask for pauses or leave, with and without daemons that heed it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from fireflylink_experiments.notices import SCENARIOS, replay


def scenario_name(scenario) -> str:
    return scenario.name


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_servers_receive_nothing_that_they_do_not_want(scenario):
    """Guards against requests inside pauses, or after a server has said that it leaves: queued
    ones, retries and new ones. The same load without the policy shows that the count has them."""
    for heeds_notices in (False, True):
        emulation = replay(scenario, 1, 12, heeds_notices)
        arrivals = sum(
            server.pauses.arrivals + server.arrivals_after_leaving for server in emulation.servers
        )
        expected = Equals(0) if heeds_notices else GreaterThan(10)
        assert_that(arrivals, expected)
        statistics = emulation.callers.statistics_of(scenario.profile)
        assert_that(statistics.guarantee_violations, Equals(0))
