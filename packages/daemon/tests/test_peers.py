"""Datagrams of other daemons."""

import gevent
import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan

from fireflylink_daemon._peers import KeyCounter, PeerSocket
from fireflylink_protocol import LoadReport, encode_datagram


class ReadySocket:
    """A socket on which a load report has always arrived."""

    def __init__(self) -> None:
        self.datagram = encode_datagram(LoadReport("front-1", "a", 1, 1, (7,)))
        self.reads = 0

    def recvfrom(self, count: int):
        self.reads += 1
        return self.datagram, ("127.0.0.1", 7540)


class Mailbox:
    def __init__(self) -> None:
        self.messages = []

    def post(self, message: object) -> None:
        self.messages.append(message)


@pytest.fixture
def peers(make_daemon) -> PeerSocket:
    sock = PeerSocket("front-0", "127.0.0.1", 0, KeyCounter(), make_daemon().view_task)
    sock.sock.close()
    sock.ownership_task = Mailbox()
    sock.sock = ReadySocket()
    return sock


def test_datagrams_that_always_arrive_let_others_run(peers):
    """Guards against a decider that reads nothing but load reports: a read that need not wait does
    not let the event loop run."""
    receiver = gevent.spawn(peers._receive_datagrams)
    turns = []
    for _ in range(10):
        gevent.sleep(0.0005)
        turns.append(peers.sock.reads)
    receiver.kill()
    assert_that(len(set(turns)), GreaterThan(5))
