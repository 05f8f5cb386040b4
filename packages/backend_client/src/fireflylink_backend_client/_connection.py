"""One TCP connection to a backend server."""

from errno import ECONNREFUSED

from gevent import socket
from gevent.select import select
from gevent.ssl import SSLContext
from geventhttpclient.response import HTTPParseError

from fireflylink_backend_client._response import ResponseReader
from fireflylink_backend_client._results import LostReason, NotSentReason
from fireflylink_core import BaseClock, BaseFireflylinkError

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT = 0.5
PROGRESS_TIMEOUT = 1.0
SHORTEST_TIMEOUT = 0.001
# A timeout of 0 would make the socket non-blocking, and its error look like a lost connection.
CLOSE_TIMEOUT = 1.0


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

    def __init__(self, clock: BaseClock, tls: SSLContext | None = None) -> None:
        self.clock = clock
        self.tls = tls
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
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
            refused = error.errno == ECONNREFUSED
            reason = NotSentReason.CONNECT_REFUSED if refused else NotSentReason.CONNECT_FAILED
            raise NotSentError(reason, f"{host}:{port}: {error}") from error
        self.used_at = self.clock.now()

    def usable(self) -> bool:
        """Tells whether the idle connection is open and holds no unexpected bytes."""
        if self.tls is not None:
            # An encrypted socket cannot be peeked at; nothing must be readable between exchanges.
            return not select([self.sock], [], [], 0)[0]
        try:
            # A cooperative socket waits despite MSG_DONTWAIT unless its timeout is 0.
            self.sock.settimeout(0.0)
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
        except HTTPParseError as error:
            raise LostError(LostReason.MALFORMED, str(error)) from error
        self.used_at = self.clock.now()
        return reader

    def interrupt(self) -> None:
        """Ends the exchange in progress: it fails and the server sees the connection close."""
        self.cancelled = True
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
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
                self.sock.settimeout(max(SHORTEST_TIMEOUT, deadline - self.clock.now()))
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
            raise LostError(LostReason.DEADLINE, "while sending") from error
        except OSError as error:
            raise self._broken(error) from error

    def _receive(self, reader: ResponseReader, deadline: float) -> None:
        self.sock.settimeout(max(SHORTEST_TIMEOUT, deadline - self.clock.now()))
        while not reader.message_complete:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except TimeoutError as error:
                raise LostError(LostReason.DEADLINE, "while receiving") from error
            except OSError as error:
                raise self._broken(error) from error
            if not data:
                raise self._ended(reader)
            reader.feed(data)
            if reader.too_large:
                raise LostError(LostReason.TOO_LARGE, "answer exceeds the limit")
            if not reader.message_complete:
                self.sock.settimeout(self._progress_timeout(deadline))

    def _progress_timeout(self, deadline: float) -> float:
        return max(SHORTEST_TIMEOUT, min(deadline - self.clock.now(), PROGRESS_TIMEOUT))

    def _broken(self, error: OSError) -> LostError:
        self.peer_closed = True
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "by the caller")
        return LostError(LostReason.RESET, str(error))

    def _ended(self, reader: ResponseReader) -> LostError:
        if self.cancelled:
            return LostError(LostReason.CANCELLED, "by the caller")
        self.peer_closed = True
        if reader.message_begun:
            return LostError(LostReason.TRUNCATED, "connection closed within the answer")
        return LostError(LostReason.CLOSED, "connection closed before the answer")
