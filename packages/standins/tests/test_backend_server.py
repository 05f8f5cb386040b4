"""The stand-in of a backend server: what a release waits for, and commands that are late."""

import pytest
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import IsInstance

from fireflylink_core import SystemClock
from fireflylink_http_client import LostError
from fireflylink_standins import BackendServerStandin, Caller, StoreState

WORK_SECONDS = 0.4
KEY = 7


@pytest.fixture
def server():
    clock = SystemClock()
    standin = BackendServerStandin("a0", "availability", "kingston", True, StoreState(clock), clock)
    standin.work_seconds = WORK_SECONDS
    standin.start()
    yield standin
    standin.stop()


def test_a_server_that_drops_answers_closes_the_connection(server):
    """Guards against a stand-in that answers status 500 where it is to give no answer."""
    server.drops_answers = True
    server.keyed = False
    result = Caller(server.listener.port, server.clock).send("GET", "/lookup/7", KEY)
    assert_that(result, IsInstance(Failure))
    assert_that(result.failure(), IsInstance(LostError))
