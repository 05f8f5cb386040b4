"""One TCP connection to a backend server."""

from errno import ECONNREFUSED

from gevent import socket
from gevent.select import select
from gevent.ssl import SSLContext

from fireflylink_backend_client._response import (
    MalformedResponseError,
    OversizeResponseError,
    ResponseReader,
)
from fireflylink_backend_client._results import LostReason, NotSentReason
from fireflylink_core import BaseClock, BaseFireflylinkError

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT = 0.5
PROGRESS_TIMEOUT = 1.0
CLOSE_TIMEOUT = 1.0
TIMER_TOLERANCE = 0.005


class NotSentError(BaseFireflylinkError):
    """No byte of the request was sent."""

    def __init__(self, reason: NotSentReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail


class LostError(BaseFireflylinkError):
    """The request was sent at least in part and no whole answer was received."""

    def __init__(self, reason: LostReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail


class BackendConnection:
    """A connection that carries one exchange at a time.

    After ``NotSentError`` or ``LostError`` the connection must be closed. ``used_at`` is when the
    last exchange ended, in seconds on the local clock. With ``tls`` both ends authenticate.
    """

    __slots__ = ("cancelled", "clock", "peer_closed", "sent_at", "sock", "tls", "used_at")

    def __init__(self, host: str, clock: BaseClock, tls: SSLContext | None = None) -> None:
        self.clock = clock
        self.tls = tls
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.used_at = 0.0
        self.sent_at = 0.0
        self.cancelled = False
        self.peer_closed = False

    def connect(self, host: str, port: int, deadline: float) -> None:
        """Connects, or raises ``NotSentError``."""
        remaining = deadline - self.clock.now()
        if remaining <= 0:
            raise NotSentError(NotSentReason.DEADLINE, "passed before connecting")
        self.sock.settimeout(remaining)
        try:
            self.sock.connect((host, port))
            if self.tls is not None:
                self.sock = self.tls.wrap_socket(self.sock)
        except OSError as error:
            self.peer_closed = True
            if self.cancelled:
                raise NotSentError(NotSentReason.CANCELLED, "while connecting") from error
            refused = error.errno == ECONNREFUSED
            reason = NotSentReason.CONNECT_REFUSED if refused else NotSentReason.CONNECT_FAILED
            raise NotSentError(reason, f"{host}:{port}: {error}") from error
        self.used_at = self.clock.now()

    def usable(self) -> bool:
        """Tells whether the idle connection is open and holds no unexpected bytes."""
        if self.tls is not None:
            # An encrypted socket cannot be peeked at; nothing must be readable between exchanges.
            return not select([self.sock], [], [], 0)[0]
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def exchange(self, request: bytes, method: str, deadline: float) -> ResponseReader:
        """Sends a request and returns its whole response, by a deadline on the local clock."""
        self._send(request, deadline)
        reader = ResponseReader(method)
        try:
            self._receive(reader, deadline)
        except MalformedResponseError as error:
            raise LostError(LostReason.MALFORMED, str(error)) from error
        except OversizeResponseError as error:
            raise LostError(LostReason.TOO_LARGE, str(error)) from error
        self.used_at = self.clock.now()
        return reader

    def interrupt(self) -> None:
        """Ends the sending direction, by which the server notices that the call is cancelled.

        The exchange in progress ends when the server closes the connection, at its deadline at the
        latest, so that the connection counts as long as the server has it open.
        """
        self.cancelled = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.sock.close()

    def close(self) -> None:
        """Closes the socket at once."""
        self.sock.close()

    def close_gracefully(self) -> None:
        """Ends the connection and waits, for a bounded time, until the server has closed it too."""
        deadline = self.clock.now() + CLOSE_TIMEOUT
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while not self.peer_closed:
                self.sock.settimeout(max(0.0, deadline - self.clock.now()))
                self.peer_closed = not self.sock.recv(RECEIVE_BYTES)
        except OSError:
            pass
        finally:
            self.sock.close()

    def _send(self, request: bytes, deadline: float) -> None:
        now = self.clock.now()
        remaining = deadline - now
        if remaining <= 0:
            raise NotSentError(NotSentReason.DEADLINE, "passed before sending")
        self.sent_at = now
        self.sock.settimeout(min(remaining, PROGRESS_TIMEOUT))
        try:
            sent = self.sock.send(request)
        except OSError as error:
            if self.cancelled:
                raise NotSentError(NotSentReason.CANCELLED, "before sending") from error
            raise NotSentError(NotSentReason.CONNECTION_CLOSED, str(error)) from error
        while sent < len(request):
            sent += self._send_more(request[sent:], deadline)

    def _send_more(self, data: bytes, deadline: float) -> int:
        try:
            self.sock.settimeout(self._progress_timeout(deadline))
            return int(self.sock.send(data))
        except TimeoutError as error:
            raise self._late("while sending", deadline) from error
        except OSError as error:
            raise self._broken(error) from error

    def _receive(self, reader: ResponseReader, deadline: float) -> None:
        self.sock.settimeout(max(0.0, deadline - self.clock.now()))
        while not reader.complete:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except TimeoutError as error:
                raise self._late("while receiving", deadline) from error
            except OSError as error:
                raise self._broken(error) from error
            if not data:
                raise self._ended(reader)
            reader.feed(data)
            if not reader.complete:
                self.sock.settimeout(self._progress_timeout(deadline))

    def _progress_timeout(self, deadline: float) -> float:
        return max(0.0, min(deadline - self.clock.now(), PROGRESS_TIMEOUT))

    def _late(self, detail: str, deadline: float) -> LostError:
        passed = self.clock.now() >= deadline - TIMER_TOLERANCE
        return LostError(LostReason.DEADLINE if passed else LostReason.STALLED, detail)

    def _broken(self, error: OSError) -> LostError:
        self.peer_closed = True
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "by the caller")
        return LostError(LostReason.RESET, str(error))

    def _ended(self, reader: ResponseReader) -> LostError:
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "by the caller")
        self.peer_closed = True
        if reader.begun:
            return LostError(LostReason.TRUNCATED, "connection closed within the answer")
        return LostError(LostReason.CLOSED, "connection closed before the answer")
