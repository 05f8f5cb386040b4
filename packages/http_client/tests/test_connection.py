"""Exchanges over real sockets with a scripted peer."""

import itertools
import tracemalloc

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from fireflylink_core import LostReason, ReceiveLimits, SystemClock
from fireflylink_http_client import HttpConnection, LostError, NotSentError

RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbody"
LATE_RESPONSE = RESPONSE.replace(b"Id: a", b"Id: old").replace(b"body", b"late")
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ScriptedPeer:
    """Accepts one connection, receives ``reads`` times, then sends the given parts.

    With ``reset``, or if the last part is empty, it closes the connection afterwards.
    """

    def __init__(self, parts: list[bytes], *, reset: bool = False, reads: int = 1) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.port = self.listener.getsockname()[1]
        self.parts = parts
        self.reset = reset
        self.reads = reads
        self.received = b""
        self.greenlet = gevent.spawn(self._run_script)

    def _run_script(self) -> None:
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

    def open_connection(peer: ScriptedPeer) -> HttpConnection:
        connection = HttpConnection(clock)
        connection.connect("127.0.0.1", peer.port, clock.now() + 2.0)
        opened.append((connection, peer))
        return connection

    yield open_connection
    for connection, peer in opened:
        connection.close()
        peer.greenlet.kill()
        peer.listener.close()


def exchange(connection: HttpConnection, request: bytes = REQUEST, seconds: float = 1.0):
    deadline = connection.clock.now() + seconds
    return connection.exchange(
        request, "GET", deadline, lambda response: response.header("Request-Id") == "a"
    )


def test_a_connection_is_reusable_after_a_response(connect):
    """Guards against a new connection for every request."""
    response, reusable = exchange(connect(ScriptedPeer([RESPONSE])))
    assert_that((response.body, reusable), Equals((b"body", True)))


@pytest.mark.parametrize("parts", [[LATE_RESPONSE, RESPONSE], [LATE_RESPONSE + RESPONSE]])
def test_a_late_response_to_an_earlier_request_is_skipped(connect, parts):
    """Guards against returning the response to another request on a persistent connection.

    The late response arrives before the right one, in the same segment or in one of its own.
    """
    response, reusable = exchange(connect(ScriptedPeer(parts)))
    assert_that((response.body, reusable), Equals((b"body", False)))


def test_a_connection_with_bytes_after_the_response_is_not_reusable(connect):
    """Guards against surplus bytes that would be parsed as the start of the next response."""
    response, reusable = exchange(connect(ScriptedPeer([RESPONSE + b"junk"])))
    assert_that((response.body, reusable), Equals((b"body", False)))


def test_an_unread_second_response_makes_an_idle_connection_unusable(connect):
    """Guards against a request on a connection that holds an unexpected response."""
    connection = connect(ScriptedPeer([RESPONSE, LATE_RESPONSE]))
    exchange(connection)
    gevent.sleep(0.05)
    assert_that(connection.is_usable(), Is(False))


@pytest.mark.parametrize(
    ("parts", "reset", "reason"),
    [
        ([b""], False, LostReason.CLOSED),
        ([RESPONSE[:-2], b""], False, LostReason.TRUNCATED),
        ([], True, LostReason.RESET),
        ([b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbo"], True, LostReason.RESET),
        ([b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n"], True, LostReason.RESET),
        ([b"HTTP/1.1 200 OK\r\n", b""], False, LostReason.TRUNCATED),
        ([b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Le", b""], False, LostReason.TRUNCATED),
        (
            [LATE_RESPONSE, b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n", b""],
            False,
            LostReason.TRUNCATED,
        ),
        ([b"not HTTP at all\r\n\r\n"], False, LostReason.MALFORMED),
        ([], False, LostReason.LATE),
    ],
)
def test_an_incomplete_response_raises_lost_error(connect, parts, reset, reason):
    """Guards against returning an incomplete response, or reporting the request as not run.

    The peer closes or resets the connection, sends no HTTP, or sends nothing until the deadline.
    """
    with pytest.raises(LostError) as caught:
        exchange(connect(ScriptedPeer(parts, reset=reset)), seconds=0.3)
    assert_that(caught.value.reason, Equals(reason))


def test_a_response_before_the_body_is_sent_ends_the_sending(connect):
    """Guards against a next request that the peer would read as the rest of a long body.

    Sending stops at the early response, so the connection must not be reused. The body is larger
    than the socket buffers, so that a part of it is unsent when the response arrives.
    """
    request = b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 9_000_000
    response, reusable = exchange(connect(ScriptedPeer([RESPONSE])), request, 3.0)
    assert_that((response.status, reusable), Equals((200, False)))


def test_a_cancelled_exchange_ends_immediately(connect):
    """Guards against a server that keeps working for a caller that has disconnected."""
    peer = ScriptedPeer([])
    connection = connect(peer)
    gevent.spawn_later(0.05, connection.cancel)
    started_at = connection.clock.now()
    with pytest.raises(LostError) as caught:
        exchange(connection, seconds=5.0)
    assert_that(caught.value.reason, Equals(LostReason.CANCELLED))
    assert_that(connection.clock.now() - started_at < 1.0, Is(True))


def test_nothing_is_sent_after_the_deadline(connect):
    """Guards against sending a request whose deadline has passed."""
    with pytest.raises(NotSentError):
        exchange(connect(ScriptedPeer([RESPONSE])), seconds=-1.0)


def test_a_new_connection_that_is_cancelled_has_ended(connect):
    """Guards against an unexpected error, or a request that is sent although its caller has left:
    the caller leaves while the pool waits for a reset of its new connection."""
    connection = connect(ScriptedPeer([]))
    gevent.spawn_later(0.02, connection.cancel)
    assert_that(connection.ends_within(0.2), Is(True))
    assert_that(connection.ends_within(0.2), Is(True))


def test_a_new_connection_that_stays_open_can_be_used(connect):
    """Guards against connections that are given up although the peer accepts them."""
    connection = connect(ScriptedPeer([RESPONSE]))
    assert_that(connection.ends_within(0.02), Is(False))
    response, _ = exchange(connection)
    assert_that(response.body, Equals(b"body"))


def test_small_writes_are_not_delayed(connect):
    """Guards against 40 ms more per request: Nagle's algorithm waits for an acknowledgement."""
    connection = connect(ScriptedPeer([RESPONSE]))
    option = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    assert_that(bool(option), Is(True))


class EndlessPeer:
    """Accepts one connection and sends ``start``, then ``chunk`` again and again until a reset."""

    def __init__(self, start: bytes, chunk: bytes) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.port = self.listener.getsockname()[1]
        self.start = start
        self.chunk = chunk
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        accepted, _ = self.listener.accept()
        accepted.recv(65536)
        try:
            accepted.sendall(self.start)
            while True:
                accepted.sendall(self.chunk)
        except OSError:
            accepted.close()


HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"


@pytest.mark.parametrize(
    ("start", "chunk"),
    [
        (b"", b"x" * 4096),
        (HEAD, b"X-More: " + b"y" * 900 + b"\r\n"),
        (HEAD + b"X-Long: ", b"y" * 4096),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50),
        (HEAD + b"\r\n", b"z" * 65536),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"8000\r\n" + b"z" * 32768 + b"\r\n"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1;" + b"e" * 4096),
        (LATE_RESPONSE, LATE_RESPONSE),
    ],
    ids=["junk", "headers", "header", "interim", "body", "chunks", "chunk-header", "late"],
)
def test_bytes_without_end_are_given_up_within_bounds(connect, start, chunk):
    """Guards against memory that grows until the deadline (report: bytes that are no answer may
    come without end, in a head or a body)."""
    connection = connect(EndlessPeer(start, chunk))
    tracemalloc.start()
    try:
        with pytest.raises(LostError):
            exchange(connection, seconds=2.0)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # The bodies of all responses together may have 16 MiB; growing buffers need more for a moment.
    assert_that(peak_bytes, LessThan(64 * 1024 * 1024))


def test_bytes_that_never_pause_do_not_outlast_the_deadline(connect):
    """Guards against a read that goes on after the deadline because bytes are always there."""
    # In large pieces, as the peer shares this process: it would fill the buffers in small ones for
    # about a second before the connection is read again.
    connection = connect(EndlessPeer(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000))
    started_at = connection.clock.now()
    with pytest.raises(LostError):
        exchange(connection, seconds=0.3)
    assert_that(connection.clock.now() - started_at, LessThan(2.0))


def test_a_late_response_while_a_body_is_sent_does_not_end_the_sending(connect):
    """Guards against a request that waits until its deadline, as the rest of its body is not sent:
    an extra response to an earlier request arrived in the meantime."""
    body = b"x" * 9_000_000

    class LatePeer(ScriptedPeer):
        def _run_script(self) -> None:
            accepted, _ = self.listener.accept()
            accepted.sendall(LATE_RESPONSE)
            received = 0
            while received < len(body):
                received += len(accepted.recv(65536))
            accepted.sendall(RESPONSE)
            self.accepted = accepted

    connection = connect(LatePeer([]))
    gevent.sleep(0.05)
    response, reusable = connection.exchange(
        b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n",
        "POST",
        connection.clock.now() + 5.0,
        lambda response: response.header("Request-Id") == "a",
        body,
    )
    assert_that((response.body, reusable), Equals((b"body", False)))


class ReadySocket:
    """A socket on which bytes are there whenever it is read, in the given answer without end."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        self.unread = start
        self.piece = piece
        self.read_bytes = 0

    def settimeout(self, seconds: float) -> None:
        """Does nothing: no call waits."""

    def send(self, data: bytes) -> int:
        return len(data)

    def recv(self, count: int) -> bytes:
        while len(self.unread) < count:
            self.unread += self.piece * 100
        data, self.unread = self.unread[:count], self.unread[count:]
        self.read_bytes += len(data)
        return data

    def close(self) -> None:
        """Does nothing: there is no descriptor."""


@pytest.fixture
def ready_connection():
    """Returns a function that makes a connection to a ``ReadySocket``."""

    def make(start: bytes, piece: bytes, limits=None) -> HttpConnection:
        connection = HttpConnection(SystemClock(), limits)
        connection.sock = ReadySocket(start, piece)
        return connection

    return make


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (HEAD + b"\r\n", b"z" * 4096),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\n.\n\r\n"),
        (HEAD, b"a:b\r\n"),
    ],
    ids=["body", "chunks", "fields"],
)
def test_other_greenlets_run_while_bytes_are_always_there(ready_connection, start, piece):
    """Guards against an answer without end that stops a daemon for all callers: a read that need
    not wait does not let the event loop run (review/3)."""
    connection = ready_connection(start, piece)
    turns = []

    def count_turns() -> None:
        while True:
            turns.append(connection.sock.read_bytes)
            gevent.sleep(0)

    counter = gevent.spawn(count_turns)
    try:
        with pytest.raises(LostError):
            exchange(connection, seconds=5.0)
    finally:
        counter.kill()
    read_before = [0, *turns, connection.sock.read_bytes]
    read_between = [later - earlier for earlier, later in itertools.pairwise(read_before)]
    # Two reads: those before and after the turn of the other greenlet.
    assert_that(max(read_between), LessThan(2 * 65536 + 1))


def test_an_answer_without_a_turn_before_its_deadline_is_given_up_at_once(ready_connection):
    """Guards against a caller that waits for an answer which cannot be read in time any more, as a
    hundred others in small pieces are read first."""
    limits = ReceiveLimits()
    connection = ready_connection(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\n.\n\r\n", limits
    )
    limits.parsing.reserve(connection.clock.now(), 10_000_000)
    started_at = connection.clock.now()
    with pytest.raises(LostError) as caught:
        exchange(connection, seconds=30.0)
    assert_that(caught.value.reason, Equals(LostReason.LATE))
    assert_that(connection.clock.now() - started_at, LessThan(5.0))


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (HEAD + b"\r\n", b"z" * 4096),
        (HEAD + b"Content-Length: 99999999\r\n\r\n", b"z" * 4096),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + b"z" * 4096 + b"\r\n"),
        (HEAD, b"a:b\r\n"),
        (b"", b"HTTP/1.1 200 OK\r\nA:\r\nContent-Length: 1\r\n\r\nz"),
    ],
    ids=["body", "length", "chunks", "fields", "late"],
)
def test_many_answers_without_end_stay_within_one_memory(ready_connection, start, piece):
    """Guards against a daemon that is ended because each of a hundred answers without end keeps
    within its own limit, and all together do not (report: bytes that are no answer, without end,
    in a head or a body, until the caller closes)."""
    limits = ReceiveLimits()
    connections = [ready_connection(start, piece, limits) for _ in range(60)]
    tracemalloc.start()
    try:
        exchanges = [gevent.spawn(exchange_without_answer, opened) for opened in connections]
        gevent.joinall(exchanges)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert_that([done.value for done in exchanges], Equals([True] * 60))
    assert_that(limits.memory.reserved_bytes, Equals(0))
    # An instance has 130 MB for messages in progress, the bodies of callers take 96 of them. Each
    # of the stand-ins' sockets keeps a few hundred kB of its own.
    assert_that(peak_bytes, LessThan(64 * 1024 * 1024))


def exchange_without_answer(connection) -> bool:
    with pytest.raises(LostError):
        exchange(connection, seconds=3.0)
    return True
