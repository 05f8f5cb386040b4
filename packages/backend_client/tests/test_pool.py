"""Calls through a connection pool to a scripted server on real sockets."""

import gevent
import gevent.event
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from fireflylink_backend_client import Cancellation, ServerConnectionPool
from fireflylink_core import (
    Answered,
    BackendServer,
    CallerRequest,
    Declined,
    Lost,
    LostReason,
    NotSent,
    SystemClock,
)
from fireflylink_platform import PlatformServerCodec

# The fields of Server-Load are running, waiting, slots, and the slowdown in percent.
SERVER_HEADERS = b"Server-Signature: s\r\nServer-Load: 2,1,4,150\r\n"


class ScriptedServer:
    """Answers each request with the bytes that ``make_answer`` returns for the request id."""

    def __init__(self, make_answer) -> None:
        self.make_answer = make_answer
        self.accepted = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.greenlet = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.accepted += 1
            gevent.spawn(self._serve, sock)

    def _serve(self, sock) -> None:
        while data := sock.recv(65536):
            request_id = data.split(b"Request-Id: ", 1)[1].split(b"\r\n", 1)[0]
            sock.sendall(self.make_answer(request_id))


def make_response(
    request_id: bytes, status: str = "200 OK", server_headers: bytes = SERVER_HEADERS
) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\n".encode() + b"Request-Id: " + request_id + b"\r\n" + server_headers
    )
    return head + b"Content-Length: 2\r\n\r\nok"


@pytest.fixture
def make_pool():
    servers = []

    def make(make_answer) -> ServerConnectionPool:
        server = ScriptedServer(make_answer)
        servers.append(server)
        port = server.listener.getsockname()[1]
        backend = BackendServer("i-1", "a", "127.0.0.1", port, "kingston", 4)
        return ServerConnectionPool(backend, SystemClock(), PlatformServerCodec())

    make.servers = servers
    yield make
    for server in servers:
        server.greenlet.kill()
        server.listener.close()


def call(
    pool: ServerConnectionPool, request_id: str = "r1", cancellation: Cancellation | None = None
):
    now = pool.clock.now()
    request = CallerRequest(
        request_id, "h", "GET", "/", (("Request-Id", request_id),), b"", now, now + 1.0
    )
    return pool.call(request, now + 0.5, cancellation or Cancellation())


def test_consecutive_calls_reuse_one_connection(make_pool):
    """Guards against a new connection for each request, and a reported load with swapped fields."""
    pool = make_pool(make_response)
    results = [call(pool, f"r{number}") for number in range(5)]
    assert_that({type(result) for result in results}, Equals({Answered}))
    assert_that((results[0].load.waiting, results[0].load.slowdown_factor), Equals((1, 1.5)))
    assert_that((pool.connect_attempts, make_pool.servers[0].accepted), Equals((1, 1)))


def test_only_a_response_marked_as_not_run_is_declined(make_pool):
    """Guards against a wrong conclusion from a 503 about whether the request has run.

    Only a 503 with the Not-Executed header guarantees that it has not. Any other 503 must not reach
    the caller, for whom that status is a promise, whether the server signed it or not.
    """
    declining = make_pool(lambda i: make_response(i, "503 Busy", b"Not-Executed: 1\r\n"))
    assert_that(call(declining), IsInstance(Declined))
    for headers in (b"", SERVER_HEADERS):
        failing = make_pool(lambda i, headers=headers: make_response(i, "503 Busy", headers))
        assert_that(call(failing), IsInstance(Lost))


REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno"


@pytest.mark.parametrize("duplicate", ["with-id", "without-id"])
@pytest.mark.parametrize("when", ["at-once", "with-next"])
def test_a_refusal_that_is_written_once_more_is_no_statement_about_the_next_request(
    make_pool, duplicate, when
):
    """Guards against *not run* for a request that the server runs (report: refusal written twice).

    The server declines the first request, and writes the refusal once more: right after it, or when
    the second request has arrived. The second one runs.
    """
    refusals = []

    def answer(request_id: bytes) -> bytes:
        if request_id == b"r1":
            refusal = make_response(request_id, "503 Busy", b"Not-Executed: 1\r\n")
            refusals.append(REFUSAL if duplicate == "without-id" else refusal)
            return refusal + (refusals[0] if when == "at-once" else b"")
        late = refusals[0] if when == "with-next" else b""
        return late + make_response(request_id)

    pool = make_pool(answer)
    assert_that(call(pool, "r1"), IsInstance(Declined))
    result = call(pool, "r2")
    assert_that(isinstance(result, Declined), Equals(False))
    if duplicate == "with-id":
        assert_that(result, IsInstance(Answered))


def test_a_declined_request_is_not_sent_again_on_the_same_connection(make_pool):
    """Guards against *not run* for a request that runs at its second attempt at the same server.

    The refusal of the first attempt, written once more, has the id of the second attempt too.
    """
    attempts = []

    def answer(request_id: bytes) -> bytes:
        attempts.append(request_id)
        refusal = make_response(request_id, "503 Busy", b"Not-Executed: 1\r\n")
        return refusal if len(attempts) == 1 else make_response(request_id)

    pool = make_pool(answer)
    assert_that(call(pool, "r1"), IsInstance(Declined))
    assert_that(call(pool, "r1"), IsInstance(Answered))
    assert_that(make_pool.servers[0].accepted, Equals(2))
    assert_that(call(pool, "r2"), IsInstance(Answered))
    assert_that(make_pool.servers[0].accepted, Equals(2))


def test_a_success_that_is_written_once_more_is_not_given_to_the_next_caller(make_pool):
    """Guards against an answer that belongs to another request (report: second copy, late)."""

    def answer(request_id: bytes) -> bytes:
        if request_id == b"r1":
            return make_response(request_id)
        return make_response(b"r1") + make_response(request_id).replace(b"ok", b"r2")

    pool = make_pool(answer)
    assert_that(call(pool, "r1").answer.body, Equals(b"ok"))
    assert_that(call(pool, "r2").answer.body, Equals(b"r2"))
    assert_that(len(pool.idle_connections), Equals(0))


def test_a_success_without_a_signature_is_lost(make_pool):
    """Guards against returning a body that the server did not produce to the caller."""
    result = call(make_pool(lambda i: make_response(i, server_headers=b"")))
    assert_that((type(result), result.reason), Equals((Lost, LostReason.MALFORMED)))


def test_a_cancelled_call_sends_nothing(make_pool):
    """Guards against sending a request after its caller has disconnected."""
    cancellation = Cancellation()
    cancellation.cancel()
    pool = make_pool(make_response)
    assert_that(call(pool, cancellation=cancellation), IsInstance(NotSent))
    assert_that(make_pool.servers[0].accepted, Equals(0))


def test_a_refused_connection_is_reported_as_not_sent():
    """Guards against an unknown outcome for a request of which no byte was sent."""
    backend = BackendServer("i-1", "a", "127.0.0.1", 1, "kingston", 4)
    pool = ServerConnectionPool(backend, SystemClock(), PlatformServerCodec())
    assert_that(call(pool), IsInstance(NotSent))


def test_idle_connections_are_closed_before_the_server_closes_them(make_pool):
    """Guards against a lost request that is sent while the server closes the idle connection.

    The server's time-out of 1 s equals ``CLOSE_BEFORE_SERVER_SECONDS``, so that the pool closes an
    idle connection immediately.
    """
    pool = make_pool(
        lambda i: make_response(i, server_headers=SERVER_HEADERS + b"Keep-Alive: timeout=1\r\n")
    )
    call(pool)
    gevent.sleep(0.01)
    pool.evict_idle()
    assert_that(len(pool.idle_connections), Equals(0))


@pytest.fixture
def refusing_server():
    """Accepts connections and resets each soon, like a server that has too many."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(8)

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            gevent.sleep(0.02)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()

    greenlet = gevent.spawn(accept)
    yield listener.getsockname()[1]
    greenlet.kill()
    listener.close()


def test_a_new_connection_that_is_reset_at_once_carries_no_request(refusing_server, monkeypatch):
    """Guards against a request that may have run, so that it cannot be repeated, at a server that
    resets connections over its limit."""
    # Longer than in operation, so that a busy machine does not delay the reset beyond it.
    for name in ("MIN_RESET_WAIT_SECONDS", "MAX_RESET_WAIT_SECONDS"):
        monkeypatch.setattr(f"fireflylink_backend_client._pool.{name}", 1.0)
    backend = BackendServer("i-1", "a", "127.0.0.1", refusing_server, "kingston", 4)
    pool = ServerConnectionPool(backend, SystemClock(), PlatformServerCodec())
    assert_that(call(pool), IsInstance(NotSent))


LEAVING = b"Server-Leaving: 1\r\n"
DECLINED_WITH_PAUSE = b"Not-Executed: 1\r\nRetry-After: 1.5\r\n"


def test_an_announcement_on_a_kept_connection_is_read_with_each_answer(make_pool):
    """Guards against a server that leaves unnoticed, because only its registration is read."""
    responses = iter([SERVER_HEADERS, SERVER_HEADERS + LEAVING])
    pool = make_pool(lambda i: make_response(i, server_headers=next(responses)))
    assert_that(call(pool, "r1").notice, Equals(None))
    assert_that(call(pool, "r2").notice.is_leaving, Equals(True))
    assert_that(make_pool.servers[0].accepted, Equals(1))


@pytest.mark.parametrize("status", ["500 Error", "503 Busy"])
def test_an_announcement_on_an_error_answer_counts(make_pool, status):
    """Guards against new requests to a server that says that it leaves when it fails a request."""
    pool = make_pool(lambda i: make_response(i, status, SERVER_HEADERS + LEAVING))
    assert_that(call(pool).notice.is_leaving, Equals(True))


def test_an_announcement_from_an_address_in_use_again_tells_nothing(make_pool):
    """Guards against giving up a server because another one at its former address leaves."""
    headers = b"Not-Executed: 1\r\nRetry-After: 2\r\n" + LEAVING
    misdirected = make_pool(lambda i: make_response(i, "421 Misdirected", headers))
    assert_that(call(misdirected).notice, Equals(None))
    unsigned = make_pool(lambda i: make_response(i, server_headers=LEAVING))
    assert_that(call(unsigned).notice, Equals(None))


def test_a_late_or_broken_off_announcement_tells_nothing(make_pool):
    """Guards against a pause or a leaving that is taken from an answer to another request."""
    late = make_response(b"r0", "503 Busy", DECLINED_WITH_PAUSE + LEAVING)
    copied = make_pool(lambda i: late + make_response(i))
    assert_that(call(copied).notice, Equals(None))
    broken = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + SERVER_HEADERS + LEAVING
    ended = make_pool(lambda i: broken + b"Content-Length: 9\r\nConnection: close\r\n\r\nok")
    result = call(ended)
    assert_that((type(result), result.notice), Equals((Lost, None)))


def test_a_request_with_a_connection_is_not_sent_into_a_pause(make_pool):
    """Guards against requests that wait for a connection and are sent although the server has
    asked for a pause meanwhile."""
    received = []

    def answer(request_id: bytes) -> bytes:
        received.append(request_id)
        return make_response(request_id)

    pool = make_pool(answer)
    call(pool, "r1")
    pool.send_window.opens_at = pool.clock.now() + 5.0
    for request_id in ("r2", "r3"):
        result = call(pool, request_id)
        assert_that((type(result), result.withheld), Equals((NotSent, True)))
    pool.send_window.opens_at = pool.clock.now()
    pool.send_window.close_at(pool.clock.now())
    assert_that(call(pool, "r4").withheld, Equals(True))
    assert_that((received, pool.connect_attempts), Equals(([b"r1"], 1)))


def test_a_request_that_was_given_up_is_not_delivered_later(make_pool):
    """Guards against a request that a partition holds up and the kernel delivers when it ends:
    after its caller has an answer, and to a server that is to get nothing new by then."""
    ends = gevent.event.AsyncResult()

    def serve(sock) -> None:
        gevent.sleep(0.7)
        try:
            while sock.recv(65536):
                pass
            ends.set("closed")
        except ConnectionResetError:
            ends.set("reset")

    pool = make_pool(make_response)
    make_pool.servers[0]._serve = serve
    result = call(pool)
    assert_that((result.reason, ends.get(timeout=5.0)), Equals((LostReason.LATE, "reset")))
