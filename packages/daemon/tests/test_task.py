"""Loops of the daemon that meet an unexpected error."""

import gevent
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_daemon._task import spawn_supervised


def test_a_loop_goes_on_after_an_unexpected_error():
    """Guards against one unexpected error that ends a part of the daemon for good, such as the
    reading of the store."""
    calls = []

    def loop() -> None:
        calls.append(len(calls))
        if len(calls) == 1:
            raise KeyError("unexpected")

    greenlet = spawn_supervised("test", loop)
    greenlet.join(timeout=3.0)
    assert_that((greenlet.dead, calls), Equals((True, [0, 1])))


def test_a_loop_that_returns_is_not_started_again():
    """Guards against a loop that spins after it has ended."""
    calls = []
    spawn_supervised("test", lambda: calls.append(1)).join(timeout=3.0)
    gevent.sleep(0.3)
    assert_that(calls, Equals([1]))
