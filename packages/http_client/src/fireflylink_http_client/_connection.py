"""A TCP connection that carries one HTTP exchange at a time."""

import contextlib
import struct
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.select import select

from fireflylink_core import BaseClock, LostReason, ReceiveLimits, yield_to_event_loop
from fireflylink_http_client._errors import LostError, NotSentError
from fireflylink_http_client._response import HttpResponse, ResponseReader

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
    ``connect_seconds`` is how long it took to establish. ``declined_request_ids`` are the ids of
    requests that the peer declined on this connection. Such a request must not be sent here again:
    if the peer writes the refusal once more, it would be taken for the response to the new attempt.
    ``receive_limits`` are what unfinished answers may take; connections to peers that may be in
    trouble share them.

    Example::

        connection = HttpConnection(clock)
        connection.connect("127.0.0.1", 8080, clock.now() + 1.0)
        response, reusable = connection.exchange(request, "GET", clock.now() + 2.0)
    """

    __slots__ = (
        "cancelled",
        "clock",
        "connect_seconds",
        "declined_request_ids",
        "last_used_at",
        "receive_limits",
        "sock",
    )

    def __init__(self, clock: BaseClock, receive_limits: ReceiveLimits | None = None) -> None:
        self.clock = clock
        self.receive_limits = ReceiveLimits() if receive_limits is None else receive_limits
        self.sock: Any = None
        self.last_used_at = 0.0
        self.connect_seconds = 0.0
        self.cancelled = False
        self.declined_request_ids: set[str] = set()

    def connect(self, host: str, port: int, deadline: float) -> None:
        """Connects over IPv4; raises ``NotSentError`` on failure."""
        started_at = self.clock.now()
        remaining_seconds = deadline - started_at
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
        self.connect_seconds = self.last_used_at - started_at

    def ends_within(self, seconds: float) -> bool:
        """Waits for some time for the peer to close or reset the connection, or to send anything.

        A peer that accepts no more connections may reset a new one just after it was established.
        What has not been sent by then certainly has not run. It has also ended if another greenlet
        has cancelled it meanwhile.
        """
        try:
            readable, _, _ = select([self.sock], [], [], seconds)
        except (OSError, ValueError):
            return True
        return self.cancelled or (bool(readable) and not self.is_usable())

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
        body: bytes = b"",
    ) -> tuple[HttpResponse, bool]:
        """Sends a request; returns its response and whether the connection can be reused.

        ``body`` is sent after ``request`` without being copied. Responses for which
        ``is_response_to_request`` returns false are late responses to earlier requests and are
        skipped. If the response arrives before the request is sent, the rest is not sent, and the
        connection cannot be reused. Raises ``NotSentError`` or ``LostError``.
        """
        with self.receive_limits.memory.reservation() as reservation:
            reader = ResponseReader(method, reservation)
            unsent = _UnsentBytes(request, body)
            return self._exchange(unsent, reader, deadline, is_response_to_request)

    def _exchange(
        self,
        unsent: "_UnsentBytes",
        reader: ResponseReader,
        deadline: float,
        is_response_to_request: ResponsePredicate | None,
    ) -> tuple[HttpResponse, bool]:
        self._send_initial(unsent, deadline)
        skipped = 0
        while True:
            response = reader.next_response()
            if response is None and unsent.is_empty:
                response = self._receive(reader, deadline)
            elif response is None:
                self._send_or_receive(unsent, reader, deadline)
            if response is None:
                continue
            if is_response_to_request is None or is_response_to_request(response):
                break
            skipped += 1
        self.last_used_at = self.clock.now()
        reusable = (
            unsent.is_empty
            and not skipped
            and not response.closes_connection
            and not reader.has_excess
        )
        return response, reusable

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

    def _send_initial(self, unsent: "_UnsentBytes", deadline: float) -> None:
        if self.clock.now() >= deadline:
            raise NotSentError("deadline passed before sending")
        self.sock.settimeout(0.0)
        try:
            unsent.advance(int(self.sock.send(unsent.next_bytes())))
        except BlockingIOError:
            return
        except OSError as error:
            raise NotSentError(f"send: {error}") from error

    def _send_or_receive(
        self, unsent: "_UnsentBytes", reader: ResponseReader, deadline: float
    ) -> None:
        """Waits until more of the request can be sent or bytes arrive, and does either or both."""
        remaining_seconds = deadline - self.clock.now()
        if remaining_seconds <= 0:
            raise LostError(LostReason.LATE, "while sending")
        if reader.malformed:
            raise LostError(LostReason.MALFORMED, "bytes that are no response")
        readable, writable, _ = self._select(remaining_seconds)
        if readable:
            self._receive_early_bytes(reader, deadline)
        if writable:
            unsent.advance(self._send_more(unsent.next_bytes()))

    def _select(self, timeout_seconds: float) -> tuple[list[Any], list[Any], list[Any]]:
        try:
            readable, writable, failed = select([self.sock], [self.sock], [], timeout_seconds)
        except (OSError, ValueError) as error:
            raise self._connection_error(OSError(str(error))) from error
        return readable, writable, failed

    def _send_more(self, data: memoryview) -> int:
        self.sock.settimeout(0.0)
        try:
            return int(self.sock.send(data))
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._connection_error(error) from error

    def _receive_early_bytes(self, reader: ResponseReader, deadline: float) -> None:
        """Receives bytes that arrive while the request is being sent."""
        self._wait_for_turn(reader, deadline)
        self.sock.settimeout(0.0)
        try:
            data = self.sock.recv(reader.next_read_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            raise self._connection_error(error) from error
        if not data:
            raise LostError(LostReason.CLOSED, "while sending")
        reader.feed(data)

    def _receive(self, reader: ResponseReader, deadline: float) -> HttpResponse | None:
        if reader.malformed:
            raise LostError(LostReason.MALFORMED, "bytes that are no response")
        if reader.started:
            self._wait_for_turn(reader, deadline)
        remaining_seconds = deadline - self.clock.now()
        if remaining_seconds <= 0:
            # Bytes that arrive without end would keep a read without a time-out from failing.
            raise LostError(LostReason.LATE, "while receiving")
        self.sock.settimeout(remaining_seconds)
        try:
            data = self.sock.recv(reader.next_read_bytes)
        except (TimeoutError, BlockingIOError) as error:
            raise LostError(LostReason.LATE, "while receiving") from error
        except OSError as error:
            raise self._connection_error(error) from error
        if not data:
            return self._finish_response(reader)
        reader.feed(data)
        return None

    def _wait_for_turn(self, reader: ResponseReader, deadline: float) -> None:
        """Lets other greenlets run, and waits for a turn if the last bytes were costly to parse.

        Raises ``LostError`` at once if there is no turn before the deadline.
        """
        turn_at = self.receive_limits.parsing.reserve(self.clock.now(), reader.last_steps)
        if turn_at >= deadline:
            raise LostError(LostReason.LATE, "no turn to parse small pieces before the deadline")
        if turn_at > self.clock.now():
            gevent.sleep(turn_at - self.clock.now())
        else:
            yield_to_event_loop()

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


class _UnsentBytes:
    """The head and the body of a request, of which a part has been sent."""

    __slots__ = ("parts",)

    def __init__(self, head: bytes, body: bytes) -> None:
        self.parts = [memoryview(part) for part in (body, head) if part]

    @property
    def is_empty(self) -> bool:
        """Whether everything has been sent."""
        return not self.parts

    def next_bytes(self) -> memoryview:
        """Returns the bytes to send next."""
        return self.parts[-1]

    def advance(self, sent: int) -> None:
        """Records that ``sent`` bytes of ``next_bytes`` have been sent."""
        rest = self.parts[-1][sent:]
        if rest:
            self.parts[-1] = rest
        else:
            self.parts.pop()


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
