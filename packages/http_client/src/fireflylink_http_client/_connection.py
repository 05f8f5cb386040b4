"""One TCP connection that carries one HTTP exchange at a time."""

import contextlib
import struct
from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.select import select

from fireflylink_core import BaseClock, LostReason
from fireflylink_http_client._errors import LostError, NotSentError
from fireflylink_http_client._response import HttpResponse, ResponseReader

RECEIVE_BYTES = 65536
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Belongs = Callable[[HttpResponse], bool]


class HttpConnection:
    """A connection to one address.

    After an error the connection must be closed. ``last_used_at`` is when the last exchange ended,
    in seconds on the local clock.

    Example::

        connection = HttpConnection(clock)
        connection.connect("127.0.0.1", 8080, clock.now() + 1.0)
        response, reusable = connection.exchange(request, "GET", clock.now() + 2.0)
    """

    __slots__ = ("cancelled", "clock", "last_used_at", "sock")

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.sock: Any = None
        self.last_used_at = 0.0
        self.cancelled = False

    def connect(self, host: str, port: int, deadline: float) -> None:
        """Connects, or raises ``NotSentError``."""
        remaining = deadline - self.clock.now()
        if remaining <= 0:
            raise NotSentError("deadline passed before connecting")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(self.sock)
        self.sock.settimeout(remaining)
        try:
            self.sock.connect((host, port))
        except OSError as error:
            raise NotSentError(f"connect to {host}:{port}: {error}") from error
        self.last_used_at = self.clock.now()

    def is_usable(self) -> bool:
        """Tells whether the idle connection is open and holds no unexpected bytes."""
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def exchange(
        self,
        request: bytes,
        method: str,
        deadline: float,
        is_response_to_request: Belongs | None = None,
    ) -> tuple[HttpResponse, bool]:
        """Sends a request; returns its response and whether the connection may be used again.

        Responses for which ``is_response_to_request`` is false are late answers to earlier
        requests; they are passed over. Raises ``NotSentError`` or ``LostError``.
        """
        reader = ResponseReader(method)
        sent = self._send_first(request, deadline)
        whole = sent == len(request) or self._send_rest(request, sent, reader, deadline)
        skipped = 0
        while True:
            response = reader.next_response()
            if response is None:
                response = self._receive(reader, deadline)
            if response is None:
                continue
            if is_response_to_request is None or is_response_to_request(response):
                break
            skipped += 1
        self.last_used_at = self.clock.now()
        return (
            response,
            whole and not skipped and not response.closes_connection and not reader.has_excess,
        )

    def cancel(self) -> None:
        """Ends an exchange of another greenlet; the peer sees a reset."""
        self.cancelled = True
        if self.sock is not None:
            self.abort()

    def abort(self) -> None:
        """Resets the connection, so that bytes held up on the way are not delivered later."""
        # The option fails on a socket that is closed already, which is what is wanted.
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Closes the socket at once."""
        if self.sock is not None:
            self.sock.close()

    def _send_first(self, request: bytes, deadline: float) -> int:
        if self.clock.now() >= deadline:
            raise NotSentError("deadline passed before sending")
        self.sock.settimeout(0.0)
        try:
            return int(self.sock.send(request))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise NotSentError(f"send: {error}") from error

    def _send_rest(
        self, request: bytes, sent: int, reader: ResponseReader, deadline: float
    ) -> bool:
        """Sends what is left; returns false when the answer came before all was sent."""
        while sent < len(request):
            remaining = max(0.0, deadline - self.clock.now())
            readable, writable, _ = self._select(remaining)
            if readable and self._receive_now(reader):
                return False
            if writable:
                sent += self._send_part(request[sent:])
            elif not readable and self.clock.now() >= deadline:
                raise LostError(LostReason.LATE, "while sending")
        return True

    def _select(self, timeout: float) -> tuple[list[Any], list[Any], list[Any]]:
        try:
            readable, writable, failed = select([self.sock], [self.sock], [], timeout)
        except (OSError, ValueError) as error:
            raise self._broken(OSError(str(error))) from error
        return readable, writable, failed

    def _send_part(self, data: bytes) -> int:
        try:
            return int(self.sock.send(data))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._broken(error) from error

    def _receive_now(self, reader: ResponseReader) -> bool:
        """Takes bytes that arrived while the request is being sent; true at any of them."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            raise self._broken(error) from error
        if not data:
            raise LostError(LostReason.CLOSED, "while sending")
        reader.feed(data)
        return True

    def _receive(self, reader: ResponseReader, deadline: float) -> HttpResponse | None:
        if reader.malformed:
            raise LostError(LostReason.MALFORMED, "bytes that are no response")
        self.sock.settimeout(max(0.0, deadline - self.clock.now()))
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except (TimeoutError, BlockingIOError) as error:
            raise LostError(LostReason.LATE, "while receiving") from error
        except OSError as error:
            raise self._broken(error) from error
        if not data:
            return self._ended(reader)
        reader.feed(data)
        return None

    def _broken(self, error: OSError) -> LostError:
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "by the caller")
        return LostError(LostReason.RESET, str(error))

    def _ended(self, reader: ResponseReader) -> HttpResponse:
        if self.cancelled:
            raise LostError(LostReason.CANCELLED, "by the caller")
        response = reader.finish()
        if response is not None:
            return response
        if reader.started:
            raise LostError(LostReason.TRUNCATED, "connection closed within the answer")
        raise LostError(LostReason.CLOSED, "connection closed before the answer")


def _set_options(sock: Any) -> None:
    # Nagle's algorithm would hold back small writes for 40 ms. The keep-alive probes notice a
    # connection that went silent, which no reset shows.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
