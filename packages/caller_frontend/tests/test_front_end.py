"""The front end towards callers, over real sockets."""

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from fireflylink_caller_frontend import (
    BaseCallerCodec,
    BaseRequestHandler,
    EncodedReply,
    HttpListener,
    RefusedRequestError,
    make_application,
)
from fireflylink_core import CallerLimits, CallerRequest, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=2000, max_body_bytes=1000, header_timeout_ms=300.0, idle_timeout_ms=600.0
)


class PlainCodec(BaseCallerCodec):
    """Names of its own, so that the front end is seen to use none."""

    __slots__ = ()

    def decode_request(self, received):
        index = dict(received.headers)
        if "X-Id" not in index:
            raise RefusedRequestError(400, "X-Id is missing")
        return CallerRequest(
            index["X-Id"],
            index["Host"],
            received.method,
            received.target,
            received.headers,
            received.body,
            received.received_at,
            received.received_at + 5.0,
        )

    def encode_reply(self, request_id, reply):
        return EncodedReply(reply.status, (("X-Id", request_id), *reply.headers), reply.body)


class Handler(BaseRequestHandler):
    """Answers with what it got; ``hold_seconds`` is how long that takes."""

    def __init__(self) -> None:
        self.hold_seconds = 0.0
        self.requests = []
        self.departures = 0

    def handle(self, request, disconnect_notifier):
        self.requests.append(request)
        disconnect_notifier.on_disconnect(self._leave)
        gevent.sleep(self.hold_seconds)
        return ServerAnswer(200, (("X-Server", "s1"),), request.body)

    def limits(self):
        return LIMITS

    def _leave(self) -> None:
        self.departures += 1


class FrontEnd:
    """A running front end and its handler."""

    def __init__(self) -> None:
        self.handler = Handler()
        application = make_application(self.handler, PlainCodec())
        self.listener = HttpListener(application, "127.0.0.1", 0, self.handler.limits)
        self.listener.start()

    def open(self):
        return socket.create_connection(("127.0.0.1", self.listener.port), timeout=2.0)


@pytest.fixture
def front_end():
    found = FrontEnd()
    yield found
    found.listener.close()


def head(*lines: str, method: str = "GET", target: str = "/a/%2Fb?x=1") -> bytes:
    headers = "".join(f"{line}\r\n" for line in ("Host: h", "X-Id: 7", *lines))
    return f"{method} {target} HTTP/1.1\r\n{headers}\r\n".encode()


def send(front_end: FrontEnd, data: bytes) -> bytes:
    with front_end.open() as sock:
        sock.sendall(data)
        return read_reply(sock)


def read_reply(sock) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return data
        data += part
    start, _, body = data.partition(b"\r\n\r\n")
    for line in start.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
            while len(body) < length:
                body += sock.recv(65536)
    return start + b"\r\n\r\n" + body


def test_method_target_and_body_arrive_as_they_were_sent(front_end):
    """Guards against UNASKED: a path that is decoded, or a body that is changed."""
    body = bytes(range(256))
    reply = send(front_end, head(f"Content-Length: {len(body)}", method="PUT") + body)
    [request] = front_end.handler.requests
    assert_that((request.method, request.target), Equals(("PUT", "/a/%2Fb?x=1")))
    assert_that((request.body, reply.endswith(body)), Equals((body, True)))


def test_a_body_in_chunks_arrives_whole(front_end):
    """Guards against chunk sizes that are read as a part of the body."""
    chunks = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    send(front_end, head("Transfer-Encoding: chunked", method="POST") + chunks)
    assert_that(front_end.handler.requests[0].body, Equals(b"abcdefg"))


def test_a_kept_connection_carries_many_requests(front_end):
    """Guards against a connection a request, and against a reply to another request."""
    with front_end.open() as sock:
        for _ in range(5):
            sock.sendall(head())
            assert_that(read_reply(sock), Contains(b"X-Id: 7".lower().replace(b"x-id", b"x-id")))
    assert_that(len(front_end.handler.requests), Equals(5))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (head("X-Long: " + "y" * 3000), b"431"),
        (head("Content-Length: 2000", method="PUT"), b"413"),
        (head("Content-Length: 3", "Transfer-Encoding: chunked", method="PUT"), b"400"),
        (head("Content-Length: 3", "Content-Length: 4", method="PUT"), b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"no request at all\r\n\r\n", b"400"),
    ],
)
def test_requests_that_break_a_limit_or_the_protocol_are_refused(front_end, data, status):
    """Guards against requests smuggled inside others, and against limits that do not hold."""
    reply = send(front_end, data)
    assert_that(reply.split(b" ")[1], Equals(status))
    assert_that(front_end.handler.requests, Equals([]))


def test_a_caller_that_leaves_is_noticed(front_end):
    """Guards against GONE: a server that works on for a caller who has left."""
    front_end.handler.hold_seconds = 0.5
    sock = front_end.open()
    sock.sendall(head())
    gevent.sleep(0.05)
    sock.close()
    gevent.sleep(0.1)
    assert_that(front_end.handler.departures, Equals(1))


def test_a_next_request_that_comes_early_is_no_departure(front_end):
    """Guards against a pipelined request that cancels the one before it."""
    front_end.handler.hold_seconds = 0.1
    with front_end.open() as sock:
        sock.sendall(head())
        gevent.sleep(0.03)
        sock.sendall(head())
        replies = read_reply(sock) + read_reply(sock)
    assert_that(front_end.handler.departures, Equals(0))
    assert_that(replies.count(b"HTTP/1.1 200"), Equals(2))


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nHost: h\r\n"])
def test_a_connection_that_stays_silent_is_closed(front_end, data):
    """Guards against connections that are kept for ever."""
    with front_end.open() as sock:
        sock.sendall(data)
        assert_that(read_reply(sock), Not(Contains(b"200")))


def test_a_listener_that_closes_answers_and_ends_its_connections(front_end):
    """Guards against LOST: a request on a kept connection around a planned stop."""
    with front_end.open() as sock:
        sock.sendall(head())
        assert_that(read_reply(sock), Not(Contains(b"Connection: close")))
        front_end.listener.begin_drain(1.0)
        sock.sendall(head())
        assert_that(read_reply(sock), Contains(b"Connection: close"))
        assert_that(sock.recv(1), Equals(b""))
    assert_that(front_end.listener.wait_idle(1.0), Is(True))
