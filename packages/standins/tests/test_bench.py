"""The benchmark of the cost of a daemon."""

import os

from testtools.assertions import assert_that
from testtools.matchers import Contains, GreaterThan

from fireflylink_standins import BenchTarget, process_cpu_seconds, resident_megabytes


def test_cpu_time_and_memory_of_a_process_are_read():
    """Guards against a benchmark that prints zeros for figures that it could not read."""
    # Uses some CPU time, so that the measured time is more than zero.
    total = sum(number * number for number in range(1_000_000))
    assert_that(total, GreaterThan(0))
    assert_that(process_cpu_seconds(os.getpid()), GreaterThan(0.0))
    assert_that(resident_megabytes(os.getpid()), GreaterThan(5.0))


def test_a_target_reports_its_median_and_cpu_cost():
    """Guards against figures that are printed in the wrong unit."""
    target = BenchTarget("daemon", 1, "/orders/1", None)
    target.latencies = [0.001, 0.002, 0.010]
    target.elapsed_seconds = 0.5
    target.cpu_seconds = 0.003
    for part in ("p50_ms=2.00", "requests_per_second=6", "daemon_cpu_us_per_request=1000"):
        assert_that(target.report_line(), Contains(part))
