"""Bounds of the log."""

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


def test_lines_about_requests_are_bounded_and_what_is_left_out_is_counted(clock):
    """Guards against a log that grows with the load, and against lines missing unnoticed."""
    limiter = RequestLogLimiter()
    written = sum(limiter.try_acquire(True, clock.now()) for _ in range(5000))
    failed = sum(limiter.try_acquire(False, clock.now()) for _ in range(5000))
    assert_that(
        (written, failed), Equals((MAX_ANSWERED_LINES_PER_SECOND, MAX_UNANSWERED_LINES_PER_SECOND))
    )
    assert_that(
        limiter.take_omitted(),
        Equals(10000 - MAX_ANSWERED_LINES_PER_SECOND - MAX_UNANSWERED_LINES_PER_SECOND),
    )
    clock.advance(1.0)
    assert_that(limiter.try_acquire(True, clock.now()), Equals(True))


def test_a_reader_that_stops_costs_lines_and_not_requests(monkeypatch):
    """Guards against a full pipe that blocks the daemon."""
    reader, pipe = os.pipe()
    os.set_blocking(pipe, False)
    monkeypatch.setattr("fireflylink_daemon._log.STANDARD_OUTPUT", pipe)
    writer = _LineWriter()
    with gevent.Timeout(5.0):
        for _ in range(20_000):
            writer.write("x" * 100)
    assert_that(len(writer.lines), LessThan(MAX_BUFFERED_LINES + 1))
    assert_that(writer.dropped, GreaterThan(10_000))
    os.read(reader, 1 << 20)
    os.close(reader)
    os.close(pipe)


def test_a_line_is_one_line_whatever_its_values_are():
    """Guards against a value that forges another line or another field."""
    line = _format_line("request", {"path": 'a b="c"\nevent=forged', "seconds": 0.12345})
    assert_that(line.count("\n"), Equals(0))
    assert_that(re.findall(r"(\w+)=", line.split('"', 1)[0]), Equals(["event", "path"]))
    assert_that(line.endswith("seconds=0.123"), Equals(True))
