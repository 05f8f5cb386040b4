"""Exchanges over real sockets with a peer that follows a script."""

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import LostReason, SystemClock
from fireflylink_http_client import HttpConnection, LostError, NotSentError

ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbody"
LATE = ANSWER.replace(b"Id: a", b"Id: old").replace(b"body", b"late")
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ScriptedPeer:
    """Accepts one connection, waits for a request, then sends the given parts."""

    def __init__(self, parts: list[bytes], *, reset: bool = False, reads: int = 1) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.port = self.listener.getsockname()[1]
        self.parts = parts
        self.reset = reset
        self.reads = reads
        self.received = b""
        self.greenlet = gevent.spawn(self._play)

    def _play(self) -> None:
        accepted, _ = self.listener.accept()
        for _ in range(self.reads):
            self.received += accepted.recv(65536)
        for part in self.parts:
            accepted.sendall(part)
            gevent.sleep(0.01)
        if self.reset:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        if self.reset or (self.parts and self.parts[-1] == b""):
            accepted.close()
        self.accepted = accepted


@pytest.fixture
def connect():
    clock = SystemClock()
    opened = []

    def run(peer: ScriptedPeer) -> HttpConnection:
        connection = HttpConnection(clock)
        connection.connect("127.0.0.1", peer.port, clock.now() + 2.0)
        opened.append((connection, peer))
        return connection

    yield run
    for connection, peer in opened:
        connection.close()
        peer.greenlet.kill()
        peer.listener.close()


def exchange(connection: HttpConnection, request: bytes = REQUEST, seconds: float = 1.0):
    deadline = connection.clock.now() + seconds
    return connection.exchange(
        request, "GET", deadline, lambda response: response.header("Request-Id") == "a"
    )


def test_an_answer_leaves_the_connection_usable(connect):
    """Guards against a new connection for every request."""
    response, reusable = exchange(connect(ScriptedPeer([ANSWER])))
    assert_that((response.body, reusable), Equals((b"body", True)))


@pytest.mark.parametrize("parts", [[LATE, ANSWER], [LATE + ANSWER]])
def test_a_late_answer_to_an_earlier_request_is_passed_over(connect, parts):
    """Guards against MIXED: the answer of another request on a kept connection."""
    response, reusable = exchange(connect(ScriptedPeer(parts)))
    assert_that((response.body, reusable), Equals((b"body", False)))


def test_bytes_behind_an_answer_end_the_connection(connect):
    """Guards against MIXED: junk that would be read as the next answer."""
    response, reusable = exchange(connect(ScriptedPeer([ANSWER + b"junk"])))
    assert_that((response.body, reusable), Equals((b"body", False)))


def test_a_waiting_second_answer_makes_an_idle_connection_unusable(connect):
    """Guards against a request on a connection that holds an answer nobody asked for."""
    connection = connect(ScriptedPeer([ANSWER, LATE]))
    exchange(connection)
    gevent.sleep(0.05)
    assert_that(connection.is_usable(), Is(False))


@pytest.mark.parametrize(
    ("parts", "reset", "reason"),
    [
        ([b""], False, LostReason.CLOSED),
        ([ANSWER[:-2], b""], False, LostReason.TRUNCATED),
        ([], True, LostReason.RESET),
        ([b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbo"], True, LostReason.RESET),
        ([b"not HTTP at all\r\n\r\n"], False, LostReason.MALFORMED),
        ([], False, LostReason.LATE),
    ],
)
def test_an_answer_that_is_not_whole_is_lost(connect, parts, reset, reason):
    """Guards against MIXED and REFUSED: what came is no answer, and the request may have run."""
    with pytest.raises(LostError) as caught:
        exchange(connect(ScriptedPeer(parts, reset=reset)), seconds=0.3)
    assert_that(caught.value.reason, Equals(reason))


def test_an_answer_that_comes_before_the_body_is_sent_ends_the_sending(connect):
    """Guards against UNASKED: other bytes where the rest of a long body is due."""
    request = b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 9_000_000
    response, reusable = exchange(connect(ScriptedPeer([ANSWER])), request, 3.0)
    assert_that((response.status, reusable), Equals((200, False)))


def test_a_cancelled_exchange_is_closed_at_once(connect):
    """Guards against GONE: a server that works on for a caller who has left."""
    peer = ScriptedPeer([])
    connection = connect(peer)
    gevent.spawn_later(0.05, connection.cancel)
    began = connection.clock.now()
    with pytest.raises(LostError) as caught:
        exchange(connection, seconds=5.0)
    assert_that(caught.value.reason, Equals(LostReason.CANCELLED))
    assert_that(connection.clock.now() - began < 1.0, Is(True))


def test_nothing_is_sent_after_the_deadline(connect):
    """Guards against a request that is handed over when its time has run out."""
    with pytest.raises(NotSentError):
        exchange(connect(ScriptedPeer([ANSWER])), seconds=-1.0)


def test_small_writes_are_not_held_back(connect):
    """Guards against 40 ms a request: Nagle's algorithm waits for an acknowledgement."""
    connection = connect(ScriptedPeer([ANSWER]))
    option = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    assert_that(bool(option), Is(True))
