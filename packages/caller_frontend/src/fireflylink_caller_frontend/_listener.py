"""HTTP listener on gevent's WSGI server, with limits and a graceful end."""

import socket
import time
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from fireflylink_caller_frontend._errors import ListenerError
from fireflylink_core import CallerLimits

BACKLOG = 512
POLL_SECONDS = 0.02
HANDLER_KEY = "fireflylink.handler"
MILLISECONDS_PER_SECOND = 1000.0
IDLE_OFFER_SECONDS = 6
"""How long a caller is told that an idle connection stays open: each costs memory."""

IDLE_MARGIN_SECONDS = 2.0
BAD_REQUEST = ("400", b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
HEAD_TOO_LARGE = (
    "431",
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n",
)

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _HeadTooLargeError(ValueError):
    """The head of a request is over the limit."""


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Applies the limits to one connection and counts requests in progress."""

    rfile: Any
    socket: Any
    server: Any
    headers: Any

    def read_requestline(self) -> Any:
        limits: CallerLimits = self.server.limits()
        self.socket.settimeout(self.server.idle_seconds(limits))
        if self.server.closing:
            self.socket.settimeout(self.server.closing_idle_seconds())
        self.server.idle.add(self)
        try:
            line = super().read_requestline()
        finally:
            self.server.idle.discard(self)
        self.received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.socket.settimeout(limits.header_timeout_ms / MILLISECONDS_PER_SECOND)
        return line

    def read_request(self, raw_requestline: str) -> Any:
        read = super().read_request(raw_requestline)
        size = len(raw_requestline) + sum(
            len(name) + len(value) + 4 for name, value in self.headers.items()
        )
        if size > self.server.limits().max_header_bytes:
            raise _HeadTooLargeError(raw_requestline)
        if self.headers.get("transfer-encoding") and self.headers.get("content-length"):
            raise ValueError("two lengths")
        if len(set(self.headers.get_all("content-length") or ())) > 1:
            raise ValueError("two lengths")
        return read

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, _HeadTooLargeError):
            return HEAD_TOO_LARGE
        return BAD_REQUEST

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[HANDLER_KEY] = self
        self.socket.settimeout(self.server.limits().idle_timeout_ms / MILLISECONDS_PER_SECOND)
        return environ

    def handle_one_response(self) -> None:
        self.server.active += 1
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1

    def finalize_headers(self) -> None:
        if self.server.closing:
            self.close_connection = True
        if self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
        else:
            offer = f"timeout={IDLE_OFFER_SECONDS}".encode()
            self.response_headers.append((b"Keep-Alive", offer))
        super().finalize_headers()

    def log_request(self) -> None:
        """Logs nothing: the request path writes one line for each decision."""


class _Server(WSGIServer):  # type: ignore[misc]
    """A WSGI server whose connections do not delay small writes."""

    def __init__(self, limits: Callable[[], CallerLimits], *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.limits = limits
        self.active = 0
        self.closing = False
        self.closing_until = 0.0
        self.idle: set[_Handler] = set()

    def handle(self, client_socket: Any, address: Any) -> None:
        # Nagle's algorithm would hold back the second write of an answer for 40 ms.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)

    def idle_seconds(self, limits: CallerLimits) -> float:
        """Returns how long a connection may stay idle."""
        offered = IDLE_OFFER_SECONDS + IDLE_MARGIN_SECONDS
        return min(offered, limits.idle_timeout_ms / MILLISECONDS_PER_SECOND)

    def closing_idle_seconds(self) -> float:
        """Returns how long a connection may stay idle while the daemon leaves."""
        remaining: float = max(0.05, self.closing_until - time.monotonic())
        return remaining


class HttpListener:
    """Serves a WSGI application on one address.

    Raises ``ListenerError`` when the address cannot be bound.

    Example::

        listener = HttpListener(application, "127.0.0.1", 0, CallerLimits)
        listener.start()
        print(listener.port)
    """

    __slots__ = ("_server", "port")

    def __init__(
        self,
        application: WsgiApplication,
        host: str,
        port: int,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._server = _Server(
            limits,
            (host, port),
            application,
            handler_class=_Handler,
            log=None,
            error_log=None,
            backlog=BACKLOG,
        )
        try:
            self._server.init_socket()
        except OSError as error:
            raise ListenerError(f"{host}:{port}: {error.strerror}") from error
        self.port: int = self._server.server_port

    @property
    def active_requests(self) -> int:
        """How many requests are in progress."""
        return int(self._server.active)

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def begin_drain(self, idle_seconds: float) -> None:
        """Ends each connection with its next answer, but still accepts new ones.

        A connection that gets no request for ``idle_seconds`` from now is closed.
        """
        self._server.closing = True
        self._server.closing_until = time.monotonic() + idle_seconds

    def close_idle_connections(self) -> None:
        """Closes connections on which no request has begun."""
        for handler in list(self._server.idle):
            if not _has_bytes(handler.socket):
                handler.socket.close()

    def stop_accepting(self) -> None:
        """Accepts no further connections."""
        self._server.stop_accepting()

    def wait_idle(self, deadline_seconds: float) -> bool:
        """Waits until no request is in progress; returns whether that was so in time."""
        with gevent.Timeout(deadline_seconds, False):
            while self._server.active:
                gevent.sleep(POLL_SECONDS)
        return self.active_requests == 0

    def close(self) -> None:
        """Closes the listener and every connection."""
        self._server.stop(timeout=0)


def _has_bytes(sock: Any) -> bool:
    """Whether the caller has sent bytes that nobody has read."""
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
