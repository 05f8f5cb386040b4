"""The size of a load report with the most keys."""

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from fireflylink_protocol import MAX_REPORTED_KEYS, LoadReport, encode_datagram


def test_a_full_report_fits_into_one_datagram():
    """Guards against load reports that exceed a usual link's MTU and are fragmented or dropped.

    1472 bytes are the UDP payload of an Ethernet frame of 1500 bytes with IPv4: 20 bytes are the IP
    header and 8 the UDP header.
    """
    keys = tuple(range(65535, 65535 - MAX_REPORTED_KEYS, -1))
    report = LoadReport("front-spanish-town-1", "availability", 1 << 30, 99999, keys)
    assert_that(len(encode_datagram(report)), LessThan(1472))
