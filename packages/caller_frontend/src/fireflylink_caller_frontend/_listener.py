"""HTTP listener on gevent's WSGI server, with a graceful end."""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.ssl import SSLContext

from fireflylink_caller_frontend._errors import ListenerError

MAX_CONNECTIONS = 2000
BACKLOG = 512

IDLE_TIMEOUT = 75.0
"""Seconds that a caller may take to send the next part of a request."""

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class _Handler(WSGIHandler):  # type: ignore[misc]
    """Counts requests in progress and ends keep-alive connections of a listener that closes."""

    def handle_one_response(self) -> None:
        self.server.begin_request()
        try:
            super().handle_one_response()
        finally:
            self.server.end_request()

    def finalize_headers(self) -> None:
        if self.server.closing:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def log_request(self) -> None:
        """Logs nothing: a line for each request would cost more than the request's own work."""


class _Server(WSGIServer):  # type: ignore[misc]
    """A WSGI server whose connections do not delay small writes."""

    closing = False

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.active = 0
        self.quiet = Event()
        self.quiet.set()

    def handle(self, client_socket: Any, address: Any) -> None:
        # Nagle's algorithm would hold back the second write of an answer for 40 ms.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client_socket.settimeout(IDLE_TIMEOUT)
        super().handle(client_socket, address)

    def begin_request(self) -> None:
        """Counts a request whose head has been read."""
        self.active += 1
        self.quiet.clear()

    def end_request(self) -> None:
        """Counts the end of a request."""
        self.active -= 1
        if self.active == 0:
            self.quiet.set()


class HttpListener:
    """Serves a WSGI application on one address.

    Raises ``ListenerError`` when the address cannot be bound.

    Example::

        listener = HttpListener(application, "127.0.0.1", 0)
        listener.start()
        print(listener.port)
    """

    __slots__ = ("_server", "port")

    def __init__(
        self,
        application: WsgiApplication,
        host: str,
        port: int,
        tls: SSLContext | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        options = {"ssl_context": tls} if tls is not None else {}
        self._server = _Server(
            (host, port),
            application,
            handler_class=_Handler,
            log=None,
            error_log=None,
            backlog=BACKLOG,
            spawn=Pool(max_connections),
            **options,
        )
        try:
            self._server.init_socket()
        except OSError as error:
            raise ListenerError(f"{host}:{port}: {error.strerror}") from error
        self.port: int = self._server.server_port

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def begin_closing(self) -> None:
        """Ends each keep-alive connection with its next answer, but still accepts new ones."""
        self._server.closing = True

    def close(self, deadline_seconds: float) -> bool:
        """Stops to accept connections and waits until no request is in progress.

        Returns whether all of them ended within ``deadline_seconds``.
        """
        self.begin_closing()
        self._server.close()
        with gevent.Timeout(deadline_seconds, False):
            while self._server.active:
                self._server.quiet.wait()
        ended: bool = self._server.active == 0
        self._server.stop(timeout=0)
        return ended
