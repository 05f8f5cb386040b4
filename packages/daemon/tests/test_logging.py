"""Limits of the log: lines per second, buffered lines, and the format of a line."""

import os
import re

import gevent
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_core import ManualClock
from fireflylink_daemon._log import MAX_BUFFERED_LINES, _format_line, _LineWriter
from fireflylink_daemon._request_log_limiter import (
    MAX_ANSWERED_LINES_PER_SECOND,
    MAX_UNANSWERED_LINES_PER_SECOND,
    RequestLogLimiter,
)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


def test_lines_about_requests_are_limited_and_omitted_ones_are_counted(clock):
    """Guards against a log that grows with the load, and against omitting lines silently."""
    limiter = RequestLogLimiter()
    answered = sum(limiter.try_acquire(True, clock.now()) for _ in range(5000))
    unanswered = sum(limiter.try_acquire(False, clock.now()) for _ in range(5000))
    assert_that(
        (answered, unanswered),
        Equals((MAX_ANSWERED_LINES_PER_SECOND, MAX_UNANSWERED_LINES_PER_SECOND)),
    )
    assert_that(
        limiter.take_omitted(),
        Equals(10000 - MAX_ANSWERED_LINES_PER_SECOND - MAX_UNANSWERED_LINES_PER_SECOND),
    )
    clock.advance(1.0)
    assert_that(limiter.try_acquire(True, clock.now()), Equals(True))


def test_lines_are_dropped_when_the_reader_of_the_pipe_stops(monkeypatch):
    """Guards against a daemon that blocks on a write to a full pipe."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    monkeypatch.setattr("fireflylink_daemon._log.STANDARD_OUTPUT", write_end)
    writer = _LineWriter()
    with gevent.Timeout(5.0):
        for _ in range(20_000):
            writer.write("x" * 100)
    assert_that(len(writer.lines), LessThan(MAX_BUFFERED_LINES + 1))
    assert_that(writer.dropped, GreaterThan(10_000))
    os.read(read_end, 1 << 20)
    os.close(read_end)
    os.close(write_end)


def test_values_with_special_characters_stay_within_one_line_and_field():
    """Guards against log injection: a value from a request that adds a line or a field."""
    line = _format_line("request", {"path": 'a b="c"\nevent=forged', "seconds": 0.12345})
    assert_that(line.count("\n"), Equals(0))
    assert_that(re.findall(r"(\w+)=", line.split('"', 1)[0]), Equals(["event", "path"]))
    assert_that(line.endswith("seconds=0.123"), Equals(True))
