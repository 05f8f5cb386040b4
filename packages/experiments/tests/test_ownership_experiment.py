"""Guards the targets for unavailable time, measured on the model of the ownership protocol."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from fireflylink_core import Isolation
from fireflylink_experiments.ownership._cluster import Cluster
from fireflylink_experiments.ownership._scenarios import (
    DaemonLost,
    DataCentreLost,
    ServerLost,
    TakenOut,
    follow,
)
from fireflylink_experiments.ownership._serving import ServingModel
from fireflylink_experiments.ownership._users import Load, build_configuration, build_members


class TakenOutBriefly(TakenOut):
    out_seconds = 6.0
    back_seconds = 10.0


@pytest.fixture(scope="module")
def load() -> Load:
    """The load of the Association."""
    return Load(build_configuration("Association", Isolation.KEEP), random.Random(1))


@pytest.mark.parametrize(
    "scenario", [ServerLost(), DaemonLost(), DataCentreLost(), TakenOutBriefly()]
)
def test_unavailable_time_is_within_its_target(load, scenario) -> None:
    """A rule that forgets to name the former owner makes every planned move wait for 2 s."""
    configuration = build_configuration("Association", scenario.isolation)
    cluster = Cluster(configuration, build_members("Association"), load)
    for _ in range(10):
        cluster.advance(5.0)
    model = ServingModel(cluster)
    follow(cluster, model, 1.0)
    scenario.run(cluster, model)
    assert_that(model.worst, LessThan(scenario.target + 0.001))
    assert_that(model.two_owners, Equals(0))
