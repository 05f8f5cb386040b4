"""The measurement runs, and the bounds of its messages hold."""

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from fireflylink_protocol import MAX_REPORTED_KEYS, LoadReport, encode_datagram


def test_a_full_report_fits_into_one_datagram():
    """Guards against reports that a link splits or drops."""
    keys = tuple(range(65535, 65535 - MAX_REPORTED_KEYS, -1))
    report = LoadReport("front-spanish-town-1", "availability", 1 << 30, 99999, keys)
    assert_that(len(encode_datagram(report)), LessThan(1472))
