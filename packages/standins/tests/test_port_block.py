"""Ports that are handed out to processes which bind them later."""

import socket

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from fireflylink_standins import PortBlock


@pytest.fixture
def blocks():
    taken = [PortBlock(), PortBlock()]
    yield taken
    for block in taken:
        block.close()


def test_no_port_is_handed_out_twice(blocks):
    """Guards against "Address already in use" when two systems start on one machine."""
    ports = [block.take() for _ in range(100) for block in blocks]
    assert_that(len(set(ports)), Equals(200))


def test_ports_lie_outside_of_the_range_for_outgoing_connections(blocks):
    """Guards against an outgoing connection that gets the port of a daemon which restarts."""
    with socket.socket() as outgoing:
        outgoing.bind(("127.0.0.1", 0))
        assert_that(blocks[1].take(), LessThan(outgoing.getsockname()[1]))
