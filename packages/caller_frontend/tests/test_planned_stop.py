"""Requests that were sent behind others, at a planned stop."""

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from fireflylink_caller_frontend import BaseRequestHandler, HttpListener, make_application
from fireflylink_caller_frontend._connection_end import answers_request_behind
from fireflylink_core import CallerLimits, NotRun, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=4000, max_body_bytes=20_000, header_timeout_ms=500.0, idle_timeout_ms=1000.0
)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nX-Id: %d\r\n\r\n"


class Handler(BaseRequestHandler):
    """Answers after ``delay_seconds``, or with ``refusal`` at once; keeps the requests' ids."""

    def __init__(self) -> None:
        self.delay_seconds = 0.1
        self.refusal = None
        self.ids = []
        self.disconnects = 0

    def handle(self, request, disconnect_notifier):
        self.ids.append(int(request.request_id))
        disconnect_notifier.on_disconnect(self._count_disconnect)
        if self.refusal is not None:
            return self.refusal
        gevent.sleep(self.delay_seconds)
        return self.refusal or ServerAnswer(200, (), request.body)

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


def requests(first: int, count: int) -> bytes:
    return b"".join(REQUEST % number for number in range(first, first + count))


def read_statuses(sock) -> list[int]:
    """Returns the statuses of the answers until the connection ends."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return [int(piece[:3]) for piece in data.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize(
    ("read_behind", "goes_on"),
    [
        (b"", False),
        (b"\r\n", False),
        (b"\r\n\r\n", False),
        (b"GET / HTTP/1.1\r\nHost: h\r\n", False),
        (b"GET / HTTP/1.1\r\nHost: h\r\n\r", False),
        (REQUEST % 1, True),
        (b"\r\n" + REQUEST % 1, True),
        (REQUEST % 1 + b"GET /", True),
        (b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nbo", True),
        (b"no request\n\n", True),
    ],
)
def test_a_draining_connection_goes_on_for_a_head_that_was_read(read_behind, goes_on):
    """Guards against read requests that are dropped at a planned stop (review/4), and against a
    connection that waits for the rest of a head, maybe without end."""
    assert_that(answers_request_behind(True, read_behind), Is(goes_on))
    assert_that(answers_request_behind(False, read_behind), Is(True))


@pytest.mark.parametrize("count", [2, 3, 400])
def test_requests_read_behind_others_are_answered_at_a_planned_stop(front_end, count):
    """Guards against the drop of what was read behind the request in progress (review/4). 400
    requests are more than the buffer of the reader holds, so that some are in the read-ahead."""
    front_end.handler.delay_seconds = 0.1 if count < 10 else 0.002
    with front_end.connect() as sock:
        sock.sendall(requests(0, count))
        gevent.sleep(0.05)
        front_end.listener.begin_drain(1.0)
        front_end.listener.stop_accepting()
        statuses = read_statuses(sock)
    assert_that(statuses, Equals([200] * count))
    assert_that(front_end.handler.ids, Equals(list(range(count))))
    assert_that(front_end.listener.wait_until_connections_end(1.0), Is(True))


def test_requests_read_at_once_on_a_connection_of_the_stop_are_answered(front_end):
    """Guards against the drop of requests that arrive together after the stop began: on a new
    connection and on an idle one."""
    with front_end.connect() as idle:
        idle.sendall(requests(9, 1))
        idle.recv(65536)
        front_end.listener.begin_drain(1.0)
        with front_end.connect() as new:
            for sock in (idle, new):
                sock.sendall(requests(0, 3))
            assert_that([read_statuses(sock) for sock in (idle, new)], Equals([[200] * 3] * 2))


def test_what_arrives_behind_the_request_in_progress_of_a_stop_is_left_unread(front_end):
    """Guards against a caller that keeps its connection through the stop by sending ahead, and
    against requests that are read and then dropped."""
    with front_end.connect() as sock:
        sock.sendall(requests(0, 1))
        gevent.sleep(0.02)
        front_end.listener.begin_drain(1.0)
        gevent.sleep(0.02)
        sock.sendall(requests(1, 2))
        statuses = read_statuses(sock)
    assert_that(statuses, Equals([200]))
    assert_that(front_end.handler.ids, Equals([0]))


def test_a_body_that_arrives_during_the_stop_is_read_behind_another_request(front_end):
    """Guards against the drop of a request whose head was read behind another one."""
    start = REQUEST[:-2] % 1 + b"Content-Length: 12000\r\n\r\n"
    with front_end.connect() as sock:
        sock.sendall(requests(0, 1) + start)
        gevent.sleep(0.03)
        front_end.listener.begin_drain(1.0)
        sock.sendall(b"x" * 12_000)
        assert_that(read_statuses(sock), Equals([200, 200]))


def test_requests_read_are_refused_and_not_cut_late_in_the_grace(front_end):
    """Guards against requests behind the last one that is passed on: they get a refusal that says
    that they have not run, and the connection ends in time."""
    with front_end.connect() as sock:
        sock.sendall(requests(0, 300))
        gevent.sleep(0.05)
        front_end.listener.begin_drain(0.2)
        front_end.listener.stop_accepting()
        front_end.handler.refusal = NotRun("leaving", retry_after=0.05)
        assert_that(front_end.listener.wait_until_connections_end(2.0), Is(True))
        assert_that(read_statuses(sock), Equals([503] * 300))


def test_a_caller_that_leaves_during_a_stop_is_noticed(front_end):
    """Guards against servers that work for callers that have left while nothing is read ahead."""
    front_end.handler.delay_seconds = 0.5
    sock = front_end.connect()
    sock.sendall(requests(0, 1))
    gevent.sleep(0.05)
    front_end.listener.begin_drain(1.0)
    sock.close()
    gevent.sleep(0.1)
    assert_that(front_end.handler.disconnects, Equals(1))


def test_bytes_left_unread_cost_no_turns(front_end):
    """Guards against a watcher that reports bytes that nobody takes, over and over."""
    front_end.handler.delay_seconds = 0.5
    with front_end.connect() as sock:
        sock.sendall(requests(0, 1))
        gevent.sleep(0.05)
        front_end.listener.begin_drain(1.0)
        calls = []
        [handler] = front_end.listener._server.open_handlers
        peek_end = handler.stream._peek_end
        handler.stream._peek_end = lambda: calls.append(1) or peek_end()
        sock.sendall(requests(1, 2))
        gevent.sleep(0.2)
    assert_that(len(calls), LessThan(3))


def test_a_refused_request_ends_no_connection_whose_next_request_can_be_found(front_end):
    """Guards against the drop of sound requests that were read behind one that the codec refuses
    although its end is known."""
    refused = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    with front_end.connect() as sock:
        sock.sendall(requests(0, 1) + refused + requests(1, 1))
        gevent.sleep(0.05)
        front_end.listener.begin_drain(1.0)
        assert_that(read_statuses(sock), Equals([200, 400, 200]))
    assert_that(front_end.handler.ids, HasLength(2))
