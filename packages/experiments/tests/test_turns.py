"""The experiment with answers without end."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, HasLength

from fireflylink_experiments.turns import PeerProcess, Run
from fireflylink_http_client import HttpConnection


@pytest.fixture
def peers():
    opened = [PeerProcess(endless=False), PeerProcess(endless=True)]
    yield opened
    for peer in opened:
        peer.close()


def test_sound_answers_arrive_beside_one_without_end(peers):
    """Guards against an experiment that measures nothing, or callers that get no turn at all."""
    run = Run(HttpConnection, (peers[0].port, peers[1].port))
    line = run.play(1, 0.5)
    assert_that(line.split(), HasLength(5))
    assert_that(len(run.latencies), GreaterThan(20))
    assert_that(run.meter.measured_seconds, GreaterThan(0.0))
