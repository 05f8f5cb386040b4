"""A TCP connection that carries one HTTP exchange at a time."""

import contextlib
import struct
from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.select import select

from fireflylink_core import BaseClock, LostReason
from fireflylink_http_client._errors import LostError, NotSentError
from fireflylink_http_client._response import HttpResponse, ResponseReader

READ_SIZE_BYTES = 65536
TCP_KEEPALIVE_IDLE_SECONDS = 1
TCP_KEEPALIVE_INTERVAL_SECONDS = 1
TCP_KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: enabled with a time of 0 s, so that closing the socket sends a reset."""

ResponsePredicate = Callable[[HttpResponse], bool]


class HttpConnection:
    """A connection to one address.

    After an error the connection must be closed. ``last_used_at`` is when the connection was
    established or the last exchange ended, in seconds on the clock. Deadlines use the same clock.

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
        """Connects over IPv4; raises ``NotSentError`` on failure."""
        remaining_seconds = deadline - self.clock.now()
        if remaining_seconds <= 0:
            raise NotSentError("deadline passed before connecting")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(self.sock)
        self.sock.settimeout(remaining_seconds)
        try:
            self.sock.connect((host, port))
        except OSError as error:
            raise NotSentError(f"connect to {host}:{port}: {error}") from error
        self.last_used_at = self.clock.now()

    def is_usable(self) -> bool:
        """Whether the idle connection is open and has no unread bytes."""
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
        is_response_to_request: ResponsePredicate | None = None,
    ) -> tuple[HttpResponse, bool]:
        """Sends a request; returns its response and whether the connection can be reused.

        Responses for which ``is_response_to_request`` returns false are late responses to earlier
        requests and are skipped. Raises ``NotSentError`` or ``LostError``.
        """
        reader = ResponseReader(method)
        sent = self._send_initial(request, deadline)
        fully_sent = sent == len(request) or self._send_remaining(request, sent, reader, deadline)
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
            fully_sent and not skipped and not response.closes_connection and not reader.has_excess,
        )

    def cancel(self) -> None:
        """Ends an exchange that another greenlet waits for; the peer sees a reset."""
        self.cancelled = True
        if self.sock is not None:
            self.abort()

    def abort(self) -> None:
        """Resets the connection, which discards unacknowledged data: it is not delivered later."""
        # Setting the option fails if the socket is already closed; then no reset is needed.
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Closes the socket immediately."""
        if self.sock is not None:
            self.sock.close()

    def _send_initial(self, request: bytes, deadline: float) -> int:
        if self.clock.now() >= deadline:
            raise NotSentError("deadline passed before sending")
        self.sock.settimeout(0.0)
        try:
            return int(self.sock.send(request))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise NotSentError(f"send: {error}") from error

    def _send_remaining(
        self, request: bytes, sent: int, reader: ResponseReader, deadline: float
    ) -> bool:
        """Sends the rest of the request; returns false if any bytes arrive before the end."""
        while sent < len(request):
            remaining_seconds = max(0.0, deadline - self.clock.now())
            readable, writable, _ = self._select(remaining_seconds)
            if readable and self._receive_early_bytes(reader):
                return False
            if writable:
                sent += self._send_more(request[sent:])
            elif not readable and self.clock.now() >= deadline:
                raise LostError(LostReason.LATE, "while sending")
        return True

    def _select(self, timeout_seconds: float) -> tuple[list[Any], list[Any], list[Any]]:
        try:
            readable, writable, failed = select([self.sock], [self.sock], [], timeout_seconds)
        except (OSError, ValueError) as error:
            raise self._connection_error(OSError(str(error))) from error
        return readable, writable, failed

    def _send_more(self, data: bytes) -> int:
        try:
            return int(self.sock.send(data))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._connection_error(error) from error

    def _receive_early_bytes(self, reader: ResponseReader) -> bool:
        """Receives bytes that arrive while the request is being sent; returns whether any did."""
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            raise self._connection_error(error) from error
        if not data:
            raise LostError(LostReason.CLOSED, "while sending")
        reader.feed(data)
        return True

    def _receive(self, reader: ResponseReader, deadline: float) -> HttpResponse | None:
        if reader.malformed:
            raise LostError(LostReason.MALFORMED, "bytes that are no response")
        self.sock.settimeout(max(0.0, deadline - self.clock.now()))
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except (TimeoutError, BlockingIOError) as error:
            raise LostError(LostReason.LATE, "while receiving") from error
        except OSError as error:
            raise self._connection_error(error) from error
        if not data:
            return self._finish_response(reader)
        reader.feed(data)
        return None

    def _connection_error(self, error: OSError) -> LostError:
        """Returns the error to raise: a cancellation by another greenlet also causes OSError."""
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "the caller disconnected")
        return LostError(LostReason.RESET, str(error))

    def _finish_response(self, reader: ResponseReader) -> HttpResponse:
        """Returns the response whose body the peer ended by closing the connection.

        Raises ``LostError`` if there is no such response.
        """
        if self.cancelled:
            raise LostError(LostReason.CANCELLED, "the caller disconnected")
        response = reader.finish()
        if response is not None:
            return response
        if reader.started:
            raise LostError(LostReason.TRUNCATED, "connection closed within the answer")
        raise LostError(LostReason.CLOSED, "connection closed before the answer")


def _set_options(sock: Any) -> None:
    # Nagle's algorithm would delay small writes by 40 ms. The TCP keep-alive probes detect a peer
    # that became unreachable without a reset. While sent data is unacknowledged, the kernel sends
    # no probes, and the user time-out ends the connection instead.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
