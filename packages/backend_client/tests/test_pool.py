"""Kept connections to a server that follows a script."""

import gevent
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

SIGNED = b"Server-Signature: s\r\nServer-Load: 2,1,4,150\r\n"


class ScriptedServer:
    """Answers each request on each connection by a function of the request's id."""

    def __init__(self, answer) -> None:
        self.answer = answer
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
            sock.sendall(self.answer(request_id))


def answer(request_id: bytes, status: str = "200 OK", extra: bytes = SIGNED) -> bytes:
    head = f"HTTP/1.1 {status}\r\n".encode() + b"Request-Id: " + request_id + b"\r\n" + extra
    return head + b"Content-Length: 2\r\n\r\nok"


@pytest.fixture
def pool_of():
    servers = []

    def make(script) -> ServerConnectionPool:
        server = ScriptedServer(script)
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


def test_one_connection_serves_calls_one_after_the_other(pool_of):
    """Guards against a new connection for every request: each is paid for."""
    pool = pool_of(answer)
    results = [call(pool, f"r{number}") for number in range(5)]
    assert_that({type(result) for result in results}, Equals({Answered}))
    assert_that((results[0].load.waiting, results[0].load.slowdown_factor), Equals((1, 1.5)))
    assert_that((pool.opened_connections, pool_of.servers[0].accepted), Equals((1, 1)))


def test_a_refusal_of_the_server_is_told_from_a_failure(pool_of):
    """Guards against REFUSED: a 503 that is taken for a promise, or a promise for a failure."""
    shed = pool_of(lambda i: answer(i, "503 Busy", b"Not-Executed: 1\r\n"))
    assert_that(call(shed), IsInstance(Declined))
    failed = pool_of(lambda i: answer(i, "503 Busy", b""))
    assert_that(call(failed), IsInstance(Answered))


def test_a_success_without_signature_is_no_answer(pool_of):
    """Guards against MIXED: a body that is not the server's."""
    result = call(pool_of(lambda i: answer(i, extra=b"")))
    assert_that((type(result), result.reason), Equals((Lost, LostReason.MALFORMED)))


def test_a_cancelled_call_sends_nothing(pool_of):
    """Guards against GONE: a request for a caller who has left."""
    cancellation = Cancellation()
    cancellation.cancel()
    pool = pool_of(answer)
    assert_that(call(pool, cancellation=cancellation), IsInstance(NotSent))
    assert_that(pool_of.servers[0].accepted, Equals(0))


def test_nobody_listening_is_not_sent():
    """Guards against an unknown outcome of a request that never left."""
    backend = BackendServer("i-1", "a", "127.0.0.1", 1, "kingston", 4)
    pool = ServerConnectionPool(backend, SystemClock(), PlatformServerCodec())
    assert_that(call(pool), IsInstance(NotSent))


def test_idle_connections_are_closed_before_the_server_does(pool_of):
    """Guards against a request that crosses the server's close."""
    pool = pool_of(lambda i: answer(i, extra=SIGNED + b"Keep-Alive: timeout=1\r\n"))
    call(pool)
    gevent.sleep(0.01)
    pool.evict_idle()
    assert_that(len(pool.idle_connections), Equals(0))
