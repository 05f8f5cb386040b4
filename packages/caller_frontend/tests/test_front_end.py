"""The front end on real sockets, with a handler that echoes the request body."""

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

from fireflylink_caller_frontend import BaseRequestHandler, HttpListener, make_application
from fireflylink_core import CallerLimits, NotRun, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=2000, max_body_bytes=1000, header_timeout_ms=300.0, idle_timeout_ms=600.0
)


class Handler(BaseRequestHandler):
    """Answers with the body of the request after ``delay_seconds``; counts disconnects.

    ``disconnected_at_start`` has one entry for each request: whether its caller was known to have
    left when the request was handled.
    """

    def __init__(self) -> None:
        self.disconnected_at_start = []
        self.delay_seconds = 0.0
        self.refusal = None
        self.requests = []
        self.disconnects = 0

    def handle(self, request, disconnect_notifier):
        self.requests.append(request)
        known = self.disconnects
        disconnect_notifier.on_disconnect(self._count_disconnect)
        self.disconnected_at_start.append(self.disconnects > known)
        gevent.sleep(self.delay_seconds)
        if self.refusal is not None:
            return self.refusal
        return ServerAnswer(200, (("X-Server", "s1"),), request.body)

    def limits(self):
        return LIMITS

    def _count_disconnect(self) -> None:
        self.disconnects += 1


class FrontEnd:
    """A running listener and its handler."""

    def __init__(self, codec) -> None:
        self.handler = Handler()
        application = make_application(self.handler, codec)
        self.listener = HttpListener(application, "127.0.0.1", 0, self.handler.limits)
        self.listener.start()

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.listener.port), timeout=2.0)


@pytest.fixture
def front_end(codec):
    running = FrontEnd(codec)
    yield running
    running.listener.close()


def head(*lines: str, method: str = "GET", target: str = "/a/%2Fb?x=1") -> bytes:
    headers = "".join(f"{line}\r\n" for line in ("Host: h", "X-Id: 7", *lines))
    return f"{method} {target} HTTP/1.1\r\n{headers}\r\n".encode()


def send(front_end: FrontEnd, data: bytes) -> bytes:
    with front_end.connect() as sock:
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


def test_method_target_and_body_reach_the_handler_unchanged(front_end):
    """Guards against percent-decoding of the target and against changes to the body."""
    body = bytes(range(256))
    reply = send(front_end, head(f"Content-Length: {len(body)}", method="PUT") + body)
    [request] = front_end.handler.requests
    assert_that((request.method, request.target), Equals(("PUT", "/a/%2Fb?x=1")))
    assert_that((request.body, reply.endswith(body)), Equals((body, True)))


def test_a_chunked_body_is_decoded(front_end):
    """Guards against chunk sizes that reach the handler as part of the body."""
    chunks = b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    send(front_end, head("Transfer-Encoding: chunked", method="POST") + chunks)
    assert_that(front_end.handler.requests[0].body, Equals(b"abcdefg"))


def test_a_persistent_connection_carries_many_requests(front_end):
    """Guards against one connection per request, and against replies without the request's id."""
    with front_end.connect() as sock:
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
def test_requests_that_violate_a_limit_or_the_protocol_are_refused(front_end, data, status):
    """Guards against request smuggling and against limits that are not enforced.

    Smuggling relies on a request with an ambiguous body length.
    """
    reply = send(front_end, data)
    assert_that(reply.split(b" ")[1], Equals(status))
    assert_that(front_end.handler.requests, Equals([]))


def test_a_disconnect_of_the_caller_is_reported(front_end):
    """Guards against a server that keeps working for a caller that has disconnected."""
    front_end.handler.delay_seconds = 0.5
    sock = front_end.connect()
    sock.sendall(head())
    gevent.sleep(0.05)
    sock.close()
    gevent.sleep(0.1)
    assert_that(front_end.handler.disconnects, Equals(1))


def test_a_caller_that_left_before_its_request_was_read_is_noticed_first(front_end):
    """Guards against a request that is sent to a server although its caller has left: a slow daemon
    reads the request and the end of the connection at the same time."""
    sock = front_end.connect()
    sock.sendall(head())
    sock.close()
    gevent.sleep(0.1)
    assert_that(front_end.handler.disconnected_at_start, Equals([True]))


def test_a_pipelined_request_is_not_taken_for_a_disconnect(front_end):
    """Guards against a pipelined request that cancels the one before it.

    Both a disconnect and the bytes of a further request make the socket readable.
    """
    front_end.handler.delay_seconds = 0.1
    with front_end.connect() as sock:
        sock.sendall(head())
        gevent.sleep(0.03)
        sock.sendall(head())
        replies = read_reply(sock) + read_reply(sock)
    assert_that(front_end.handler.disconnects, Equals(0))
    assert_that(replies.count(b"HTTP/1.1 200"), Equals(2))


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nHost: h\r\n"])
def test_a_connection_without_a_complete_request_is_closed(front_end, data):
    """Guards against connections that stay open forever because no request is completed.

    The caller sends either nothing or only a part of the header. If the connection stays open, the
    read raises a time-out error after 2 s.
    """
    with front_end.connect() as sock:
        sock.sendall(data)
        assert_that(read_reply(sock), Not(Contains(b"200")))


@pytest.mark.parametrize(
    "request_bytes",
    [
        head("Content-Length: 12", method="POST") + b"body-of-body",
        head("Transfer-Encoding: chunked", method="POST") + b"4\r\nbody\r\n0\r\n\r\n",
    ],
)
def test_no_prefix_of_a_request_is_handled(front_end, request_bytes):
    """Guards against an order that runs with an empty or short body, because its caller ended
    within the head, the body or a chunk of its request."""
    for length in range(len(request_bytes)):
        with front_end.connect() as sock:
            sock.sendall(request_bytes[:length])
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                pass
        assert_that(front_end.handler.requests, HasLength(0))


@pytest.mark.parametrize(
    "lines",
    [
        ["Content-Length: 3", "Transfer-Encoding: chunked"],
        ["Transfer-Encoding: chunked", "Content-Length: 3"],
        ["Transfer-Encoding: gzip"],
        ["Transfer-Encoding: gzip, chunked"],
        ["Transfer-Encoding: chunked", "Transfer-Encoding: gzip"],
        ["Content-Length: +3"],
        ["Content-Length: 1_0"],
        [f"Content-Length: {'9' * 1500}"],
    ],
)
def test_a_request_without_one_clear_length_is_not_handled(front_end, lines):
    """Guards against bytes of one request that are taken for another one: a whole chunked body
    follows, which servers and proxies on the way may measure differently."""
    reply = send(front_end, head(*lines, method="POST") + b"4\r\nbody\r\n0\r\n\r\n")
    assert_that(reply[9:12] in (b"400", b"413"), Is(True))
    assert_that(front_end.handler.requests, HasLength(0))


def test_a_draining_listener_answers_and_then_closes_its_connections(front_end):
    """Guards against losing a request on a persistent connection during a planned shutdown."""
    with front_end.connect() as sock:
        sock.sendall(head())
        assert_that(read_reply(sock), Not(Contains(b"Connection: close")))
        front_end.listener.begin_drain(1.0)
        sock.sendall(head())
        assert_that(read_reply(sock), Contains(b"Connection: close"))
        assert_that(sock.recv(1), Equals(b""))
    assert_that(front_end.listener.wait_until_connections_end(1.0), Is(True))


def test_requests_that_are_sent_ahead_are_answered_in_order(front_end):
    """Guards against answers that are mixed up, or lost, when requests do not wait for answers."""
    front_end.handler.delay_seconds = 0.02
    bodies = [f"body-{number}".encode() for number in range(5)]
    with front_end.connect() as sock:
        sock.sendall(
            b"".join(head(f"Content-Length: {len(body)}", method="POST") + body for body in bodies)
        )
        received = b""
        while received.count(b"body-") < len(bodies):
            received += sock.recv(65536)
    positions = [received.index(body) for body in bodies]
    assert_that(positions, Equals(sorted(positions)))


def test_a_request_behind_a_closing_answer_is_not_handled(front_end):
    """Guards against a request that runs although its caller counts it as not read."""
    with front_end.connect() as sock:
        sock.sendall(head("Connection: close") + head())
        received = b""
        while part := sock.recv(65536):
            received += part
    assert_that(received.count(b"HTTP/1.1 200"), Equals(1))
    assert_that(front_end.handler.requests, HasLength(1))


def test_a_caller_that_leaves_is_noticed_behind_requests_sent_ahead(front_end):
    """Guards against a server that works on for a caller that has left: bytes that wait on the
    connection hide its end."""
    front_end.handler.delay_seconds = 0.5
    sock = front_end.connect()
    sock.sendall(head() + head())
    gevent.sleep(0.05)
    sock.close()
    gevent.sleep(0.2)
    assert_that(front_end.handler.disconnects, Equals(1))


def test_an_answer_arrives_although_bytes_behind_its_request_are_not_read(front_end):
    """Guards against a reset that discards a complete answer: bytes are unread at the close."""
    front_end.handler.delay_seconds = 0.05
    behind = head("Content-Length: 900", method="POST") + b"x" * 900
    with front_end.connect() as sock:
        sock.sendall(head("Connection: close") + behind * 90)
        gevent.sleep(0.2)
        reply = read_reply(sock)
        sock.sendall(behind)
        assert_that(reply, Contains(b"HTTP/1.1 200"))
        assert_that(sock.recv(65536), Equals(b""))


def test_requests_just_accepted_at_a_planned_stop_are_answered(front_end):
    """Guards against requests that are cut off without an answer (report: planned stop).

    They have arrived when the listener stops: on connections that were not accepted yet, and on
    idle ones.
    """
    idle = [front_end.connect() for _ in range(5)]
    for sock in idle:
        sock.sendall(head())
        read_reply(sock)
    waiting = [front_end.connect() for _ in range(20)]
    for sock in (*idle, *waiting):
        sock.sendall(head())
    front_end.listener.begin_drain(0.2)
    front_end.listener.stop_accepting()
    assert_that(front_end.listener.wait_until_connections_end(3.0), Is(True))
    front_end.listener.close()
    for sock in (*idle, *waiting):
        assert_that(read_reply(sock), Contains(b"HTTP/1.1 200"))
        sock.close()


def test_a_request_late_in_a_planned_stop_is_refused_on_its_open_connection(front_end):
    """Guards against a request that is cut without an answer, and against a second one on a
    connection that ends with the process (report). A request that has not been read whole is not
    handled."""
    with front_end.connect() as sock, front_end.connect() as unfinished:
        for connection in (sock, unfinished):
            connection.sendall(head())
            read_reply(connection)
        front_end.listener.begin_drain(1.0)
        front_end.listener.stop_accepting()
        front_end.handler.refusal = NotRun("leaving", retry_after=0.05)
        unfinished.sendall(head("Content-Length: 9", method="POST") + b"order")
        sock.sendall(head())
        reply = read_reply(sock).lower()
        assert_that(reply, Contains(b"503 service unavailable"))
        assert_that(reply, Contains(b"retry-after: 0.05"))
        assert_that(reply, Contains(b"connection: close"))
        assert_that(sock.recv(1), Equals(b""))
        front_end.listener.wait_until_connections_end(0.1)
        front_end.listener.close()
    assert_that(front_end.handler.requests, HasLength(3))


def test_a_connection_after_the_stop_is_refused_at_once(front_end):
    """Guards against callers that wait on a connection that nobody will accept."""
    front_end.listener.begin_drain(0.2)
    front_end.listener.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        front_end.connect()


def test_bodies_beyond_the_memory_are_refused_as_not_run(codec):
    """Guards against a daemon that is ended because many uploads exceed its memory."""
    handler = Handler()
    handler.delay_seconds = 0.2
    application = make_application(handler, codec, max_bodies_bytes=1500)
    listener = HttpListener(application, "127.0.0.1", 0, handler.limits)
    listener.start()
    upload = head("Content-Length: 900", method="POST") + b"x" * 900
    callers = [
        socket.create_connection(("127.0.0.1", listener.port), timeout=2.0) for _ in range(3)
    ]
    for sock in callers:
        sock.sendall(upload)
        gevent.sleep(0.02)
    replies = [read_reply(sock) for sock in callers]
    assert_that([reply[9:12] for reply in replies], Equals([b"200", b"503", b"503"]))
    assert_that(replies[1].lower(), Contains(b"retry-after: 0.5"))
    callers[0].sendall(upload)
    assert_that(read_reply(callers[0]), Contains(b"HTTP/1.1 200"))
    listener.close()
