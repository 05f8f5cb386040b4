"""Callers that always have more bytes to read, and the turns of the others."""

import io

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_caller_frontend import BaseRequestHandler, HttpListener, make_application
from fireflylink_caller_frontend._listener import _close_after_last_response
from fireflylink_caller_frontend._read_ahead import ReadAheadStream
from fireflylink_core import CallerLimits, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=2000,
    max_body_bytes=1_000_000,
    header_timeout_ms=2000.0,
    idle_timeout_ms=2000.0,
)


class Turns:
    """Counts how often another greenlet gets its turn, and what ``progress`` was each time."""

    def __init__(self, progress) -> None:
        self.seen = []
        self.progress = progress
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.seen.append(self.progress())
            gevent.sleep(1e-6)


@pytest.fixture
def count_turns():
    counters = []

    def start(progress) -> Turns:
        counters.append(Turns(progress))
        return counters[-1]

    yield start
    for counter in counters:
        counter.greenlet.kill()


def test_reading_lets_others_run_although_bytes_are_always_there(count_turns):
    """Guards against a caller whose head, body or trailers stop a daemon for all the others
    (review/5)."""
    ours, theirs = socket.socketpair()
    theirs.sendall(b"x" * 65536)
    stream = ReadAheadStream(ours)
    turns = count_turns(lambda: None)
    gevent.sleep(0.01)
    before = len(turns.seen)
    reader = io.BufferedReader(stream, 1024)
    while reader.read(64) and stream.has_unread_bytes:
        pass
    assert_that(len(turns.seen) - before, GreaterThan(20))


class EchoLength(BaseRequestHandler):
    def handle(self, request, disconnect_notifier):
        return ServerAnswer(200, (), str(len(request.body)).encode())

    def limits(self):
        return LIMITS


def test_a_body_in_small_chunks_lets_others_run_and_is_whole(count_turns, codec):
    """Guards against a body in chunks of a few bytes that holds the event loop until it is read."""
    listener = HttpListener(make_application(EchoLength(), codec), "127.0.0.1", 0, lambda: LIMITS)
    listener.start()
    head = b"POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock = socket.create_connection(("127.0.0.1", listener.port))
    sock.sendall(head + b"4\r\nabcd\r\n" * 10_000 + b"0\r\n\r\n")
    started = gevent.get_hub().loop.now()
    turns = count_turns(lambda: None)
    answer = b""
    while not answer.endswith(b"40000"):
        answer += sock.recv(4096)
    assert_that(answer[:15], Equals(b"HTTP/1.1 200 OK"))
    listener.close()
    # 10,000 chunks take about 50 ms of work; the others get most of the time beside it.
    assert_that(gevent.get_hub().loop.now() - started, LessThan(5.0))
    assert_that(len(turns.seen), GreaterThan(20))


def test_requests_that_were_sent_ahead_let_others_run(count_turns):
    """Guards against a caller that sends thousands of requests at once, which are answered without
    waiting for anything."""
    answered = []

    def answer_at_once(environ, start_response):
        answered.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    listener = HttpListener(answer_at_once, "127.0.0.1", 0, lambda: LIMITS)
    listener.start()
    sock = socket.create_connection(("127.0.0.1", listener.port))
    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" * 300)
    turns = count_turns(lambda: len(answered))
    while len(answered) < 300:
        gevent.sleep(0.01)
    listener.close()
    assert_that(len(set(turns.seen)), GreaterThan(20))


def test_what_a_caller_sends_after_the_last_response_lets_others_run(count_turns):
    """Guards against a daemon that stops for half a second, while it discards what a caller sends
    without end after its last response."""

    class EndlessSocket:
        def __init__(self) -> None:
            self.reads = 0

        def shutdown(self, how: int) -> None:
            """Does nothing: nobody reads."""

        def settimeout(self, seconds: float) -> None:
            """Does nothing: no call waits."""

        def recv(self, count: int) -> bytes:
            self.reads += 1
            return b"x" * count

        def close(self) -> None:
            """Does nothing: there is no descriptor."""

    sock = EndlessSocket()
    turns = count_turns(lambda: sock.reads)
    _close_after_last_response(sock)
    assert_that(len(set(turns.seen)), GreaterThan(50))
