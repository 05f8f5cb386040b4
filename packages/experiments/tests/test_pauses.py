"""The experiment on pauses, with and without daemons that heed them."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from fireflylink_experiments.pauses import SCENARIOS, replay


def scenario_name(scenario) -> str:
    return scenario.name


@pytest.mark.parametrize("scenario", SCENARIOS, ids=scenario_name)
def test_servers_receive_nothing_in_the_pauses_that_they_ask_for(scenario):
    """Guards against requests inside pauses under a burst: queued ones, retries and new ones. The
    same burst without the policy shows that the count notices them."""
    for heeds_pauses in (False, True):
        emulation = replay(scenario, 1, 12, heeds_pauses)
        arrivals = sum(server.pauses.arrivals for server in emulation.servers)
        expected = Equals(0) if heeds_pauses else GreaterThan(100)
        assert_that(arrivals, expected)
        statistics = emulation.callers.statistics_of(scenario.profile)
        assert_that(statistics.guarantee_violations, Equals(0))
