"""HTTP listener on gevent's WSGI server, with limits and graceful shutdown."""

import contextlib
import io
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from fireflylink_caller_frontend._connection_end import answers_request_behind
from fireflylink_caller_frontend._errors import ListenerError
from fireflylink_caller_frontend._read_ahead import ReadAheadStream
from fireflylink_caller_frontend._request_body import RequestBody
from fireflylink_caller_frontend._request_head import (
    HeadTooLargeError,
    MalformedRequestError,
    decode_head,
    read_field_lines,
)
from fireflylink_core import CallerLimits, yield_to_event_loop

LISTEN_BACKLOG_CONNECTIONS = 512
REQUESTS_END_POLL_INTERVAL_SECONDS = 0.02
HANDLER_ENVIRON_NAME = "fireflylink.handler"
"""Name of the WSGI environ entry that holds the ``_ConnectionHandler`` of the request."""

MILLISECONDS_PER_SECOND = 1000.0
LINGER_SECONDS = 0.5
"""How long what a caller still sends is read after the last response on its connection."""

LINGER_READ_BYTES = 65536
KEEP_ALIVE_TIMEOUT_SECONDS = 6
"""Time-out in the Keep-Alive header; limited because every idle connection uses memory."""

KEEP_ALIVE_MARGIN_SECONDS = 2.0
"""Extra idle time for requests that callers send shortly before the stated time-out ends."""

BAD_REQUEST_RESPONSE = (
    "400",
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
)
HEADER_TOO_LARGE_RESPONSE = (
    "431",
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n",
)

UNPREFIXED_ENVIRON_NAMES = ("CONTENT_LENGTH", "CONTENT_TYPE")
WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _ConnectionHandler(WSGIHandler):  # type: ignore[misc]
    """Serves one connection: applies the limits and counts requests in progress.

    Requests that are sent behind others on the connection are handled one after the other.
    """

    rfile: Any
    socket: Any
    server: Any
    headers: Any
    wsgi_input: Any

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        self.stream = ReadAheadStream(sock)
        if server.draining:
            self.stream.stop_reading_ahead()
        super().__init__(sock, address, server, rfile=io.BufferedReader(self.stream))

    def handle(self) -> None:
        sock = self.socket
        self.server.open_handlers.add(self)
        try:
            while self.socket is not None:
                result = self._handle_next()
                if result is True:
                    # The next one may be there already, and need no wait of its own.
                    if self.has_unread_bytes():
                        yield_to_event_loop()
                    continue
                if result is not None:
                    sock.sendall(result[1])
                break
            _close_after_last_response(sock)
        except OSError:
            # The caller has reset the connection: nothing can be delivered any more.
            sock.close()
        finally:
            self.server.open_handlers.discard(self)
            self.socket = None

    def _handle_next(self) -> Any:
        """Handles the next request.

        Returns True if another one may follow, None if none may, or a status and a last response.
        """
        self.time_start = time.time()
        self.time_finish = 0
        return self.handle_one_request()

    def has_unread_bytes(self) -> bool:
        """Whether bytes of a request have arrived that have not been handled."""
        return self.stream.has_unread_bytes

    def read_requestline(self) -> str:
        limits: CallerLimits = self.server.limits()
        self.socket.settimeout(self.server.idle_timeout_seconds(limits))
        if self.server.draining:
            self.socket.settimeout(self.server.drain_idle_timeout_seconds())
        self.server.idle_handlers.add(self)
        try:
            line: bytes = self.rfile.readline(limits.max_header_bytes + 1)
        finally:
            self.server.idle_handlers.discard(self)
        # The clock of ``SystemClock.now``: the deadlines of requests are derived from this time.
        self.received_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.socket.settimeout(limits.header_timeout_ms / MILLISECONDS_PER_SECOND)
        return line.decode("latin-1")

    def handle_one_request(self) -> Any:
        """Handles the next request; returns what ``_handle_next`` does."""
        try:
            line = self.read_requestline()
        except OSError:
            return None
        if not line:
            return None
        try:
            self.read_request(line)
        except OSError:
            self.record_refusal("head that did not arrive")
            return BAD_REQUEST_RESPONSE
        except MalformedRequestError as error:
            self.record_refusal(str(error))
            is_too_large = isinstance(error, HeadTooLargeError)
            return HEADER_TOO_LARGE_RESPONSE if is_too_large else BAD_REQUEST_RESPONSE
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        return None if self.close_connection else True

    def read_request(self, raw_requestline: str) -> None:
        """Reads the rest of a head; raises ``MalformedRequestError`` unless it has one meaning."""
        max_field_bytes = self.server.limits().max_header_bytes - len(raw_requestline)
        if max_field_bytes < 0:
            raise HeadTooLargeError("request line over the limit on header bytes")
        lines = read_field_lines(self.rfile, max_field_bytes)
        head = decode_head(raw_requestline, lines)
        if head.content_length and head.method == "HEAD":
            raise MalformedRequestError("HEAD with a body")
        self.requestline = raw_requestline.rstrip()
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.headers = head.fields
        self.content_length = head.content_length
        self.close_connection = head.closes

    def record_refusal(self, reason: str) -> None:
        """Reports that a request was refused before it was decoded."""
        self.server.on_refusal(reason)

    def _connection_upgrade_requested(self) -> bool:
        # No other protocol is spoken, so a wish for one is ignored as HTTP allows.
        return False

    def _headers(self) -> Iterator[tuple[str, str]]:
        """Yields the fields for the environ, without those that could pose as others there."""
        for name, value in self.headers.items():
            key = name.replace("-", "_").upper()
            if "_" not in name and key not in UNPREFIXED_ENVIRON_NAMES:
                yield f"HTTP_{key}", value

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        body = self.wsgi_input
        self.wsgi_input = RequestBody(
            self.rfile, body.content_length, body.socket, body.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[HANDLER_ENVIRON_NAME] = self
        self.socket.settimeout(self.server.limits().idle_timeout_ms / MILLISECONDS_PER_SECOND)
        return environ

    def handle_one_response(self) -> None:
        self.server.active_requests += 1
        try:
            super().handle_one_response()
        finally:
            self.server.active_requests -= 1

    def finalize_headers(self) -> None:
        if not answers_request_behind(self.server.draining, self._read_behind()):
            self.close_connection = True
        if self.close_connection:
            self.response_headers.append((b"Connection", b"close"))
        else:
            keep_alive = f"timeout={KEEP_ALIVE_TIMEOUT_SECONDS}".encode()
            self.response_headers.append((b"Keep-Alive", keep_alive))
        super().finalize_headers()

    def _read_behind(self) -> bytes:
        """Returns what has been read behind the request in progress, while the listener drains."""
        return self.stream.read_behind(self.rfile) if self.server.draining else b""

    def log_request(self) -> None:
        """Suppresses gevent's access log; the daemon logs each request itself."""


class _Server(WSGIServer):  # type: ignore[misc]
    """A WSGI server that sets TCP_NODELAY on connections and counts requests in progress.

    While ``draining`` is true, connections and requests are still accepted, but each connection
    ends as ``answers_request_behind`` says. A connection that starts to wait for a request while
    draining is closed at ``drain_idle_until``, in seconds of ``time.monotonic()``.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_refusal: Callable[[str], None],
        *arguments: Any,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.limits = limits
        self.on_refusal = on_refusal
        self.active_requests = 0
        self.draining = False
        self.drain_idle_until = 0.0
        self.idle_handlers: set[_ConnectionHandler] = set()
        self.open_handlers: set[_ConnectionHandler] = set()

    def handle(self, client_socket: Any, address: Any) -> None:
        # Nagle's algorithm would delay the second write of a response by 40 ms.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)

    def idle_timeout_seconds(self, limits: CallerLimits) -> float:
        """Returns how long a connection may stay idle when the listener is not draining."""
        keep_alive_seconds = KEEP_ALIVE_TIMEOUT_SECONDS + KEEP_ALIVE_MARGIN_SECONDS
        return min(keep_alive_seconds, limits.idle_timeout_ms / MILLISECONDS_PER_SECOND)

    def drain_idle_timeout_seconds(self) -> float:
        """Returns how long a connection that starts to wait during a drain may stay idle.

        The time is above 0 even after ``drain_idle_until``, because a time-out of 0 makes a socket
        non-blocking.
        """
        timeout_seconds: float = max(0.05, self.drain_idle_until - time.monotonic())
        return timeout_seconds


def _ignore(_reason: str) -> None:
    pass


class HttpListener:
    """Serves a WSGI application on one address.

    ``limits`` returns the limits in force. ``on_refusal`` is called with the reason for which a
    request was refused before it was handled; the reason has no bytes of the caller. Raises
    ``ListenerError`` when the address cannot be bound.

    Example::

        listener = HttpListener(application, "127.0.0.1", 0, handler.limits)
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
        on_refusal: Callable[[str], None] = _ignore,
    ) -> None:
        self._server = _Server(
            limits,
            on_refusal,
            (host, port),
            application,
            handler_class=_ConnectionHandler,
            log=None,
            error_log=None,
            backlog=LISTEN_BACKLOG_CONNECTIONS,
        )
        try:
            self._server.init_socket()
        except OSError as error:
            raise ListenerError(f"cannot listen on {host}:{port}: {error.strerror}") from error
        self.port: int = self._server.server_port

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return int(self._server.active_requests)

    def start(self) -> None:
        """Starts accepting connections."""
        self._server.start()

    def begin_drain(self, idle_seconds: float) -> None:
        """Ends each connection with the answer to what has been read; new ones are still accepted.

        What callers send behind other requests from now on is left unread.

        A connection that starts to wait for a request after this call is closed if none arrives
        within ``idle_seconds`` of the call.
        """
        self._server.draining = True
        for handler in self._server.open_handlers:
            handler.stream.stop_reading_ahead()
        self._server.drain_idle_until = time.monotonic() + idle_seconds

    def close_idle_connections(self) -> None:
        """Closes the connections on which no byte of a request has arrived."""
        for handler in list(self._server.idle_handlers):
            if handler.socket is not None and not handler.has_unread_bytes():
                handler.socket.close()

    def stop_accepting(self) -> None:
        """Stops accepting connections; open ones stay open.

        Connections that callers have established already are accepted first. Later ones are
        refused by the operating system, so that their callers go elsewhere at once.
        """
        listener = self._server.socket
        self._server.stop_accepting()
        # The loop ends with BlockingIOError when no connection waits.
        with contextlib.suppress(OSError):
            for _ in range(LISTEN_BACKLOG_CONNECTIONS):
                accepted = self._server.do_read()
                if accepted is None:
                    break
                self._server.do_handle(*accepted)
        listener.close()

    def wait_until_connections_end(self, timeout_seconds: float) -> bool:
        """Waits until every connection has ended, and closes those that are idle meanwhile.

        A connection on which bytes of a request have arrived is not idle: its request is handled.
        Returns false if the time-out ends first.
        """
        with gevent.Timeout(timeout_seconds, False):
            while self._server.open_handlers:
                self.close_idle_connections()
                gevent.sleep(REQUESTS_END_POLL_INTERVAL_SECONDS)
        return not self._server.open_handlers

    def close(self) -> None:
        """Closes the listener and every connection."""
        self._server.stop(timeout=0)


def _close_after_last_response(sock: Any) -> None:
    """Closes a connection so that its last response arrives.

    If bytes of the caller were unread, closing at once would reset the connection, and the caller's
    system would discard what it has not read yet. So only the sending side is closed first; what
    arrives is discarded until the caller closes its side, or the time for that ends.
    """
    sock.shutdown(socket.SHUT_WR)
    ends_at = time.monotonic() + LINGER_SECONDS
    while (remaining_seconds := ends_at - time.monotonic()) > 0:
        sock.settimeout(remaining_seconds)
        if not sock.recv(LINGER_READ_BYTES):
            break
        # A caller that sends without end would hold the event loop for all of that time.
        yield_to_event_loop()
    sock.close()
