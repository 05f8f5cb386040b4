"""HTTP exchanges with the platform, each bounded by a deadline.

``geventhttpclient.HTTPClient`` is not used for these: it sends PUT and DELETE again when the
connection closes before a reply, and the second attempt of a write whose first attempt took effect
would be told of a revision conflict.
"""

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from fireflylink_core import BaseClock, BaseFireflylinkError, BaseValue

MAX_IDLE_CONNECTIONS = 4


class NotSentError(BaseFireflylinkError):
    """No byte of the request was sent."""


class ReplyLostError(BaseFireflylinkError):
    """The request, or a part of it, was sent and no whole reply was received."""


class HttpReply(BaseValue):
    """A whole HTTP reply."""

    __slots__ = ("body", "revision", "status")

    def __init__(self, status: int, body: bytes, revision: int) -> None:
        self.status = status
        self.body = body
        self.revision = revision


class PlatformConnections:
    """Connections to one address of the platform, each used by one exchange at a time.

    The host is an IP address, so that no name resolution, with its thread pool, is involved.
    """

    __slots__ = ("clock", "host", "idle", "port")

    def __init__(self, host: str, port: int, clock: BaseClock) -> None:
        self.host = host
        self.port = port
        self.clock = clock
        self.idle: list[socket.socket] = []

    def exchange(self, method: str, target: str, body: bytes, deadline: float) -> HttpReply:
        """Sends a request and returns the whole reply.

        Raises ``NotSentError`` or ``ReplyLostError``; the connection is closed in both cases.
        """
        connection = self._checkout(deadline)
        reusable = False
        try:
            with gevent.Timeout(self._remaining(deadline), TimeoutError("deadline passed")):
                self._send(connection, _encode_request(method, target, self.host, body))
                reply, reusable = _receive(connection, method)
            return reply
        except TimeoutError as error:
            raise ReplyLostError(f"{method} {target}: deadline passed") from error
        finally:
            self._release(connection, reusable)

    def close(self) -> None:
        """Closes the idle connections."""
        while self.idle:
            self.idle.pop().close()

    def _remaining(self, deadline: float) -> float:
        return max(0.0, deadline - self.clock.now())

    def _checkout(self, deadline: float) -> socket.socket:
        while self.idle:
            connection = self.idle.pop()
            if not _readable(connection):
                return connection
            connection.close()
        return self._connect(deadline)

    def _connect(self, deadline: float) -> socket.socket:
        remaining = self._remaining(deadline)
        if remaining <= 0:
            raise NotSentError("deadline passed before connecting")
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        connection = socket.socket(family, socket.SOCK_STREAM)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(remaining)
        try:
            connection.connect((self.host, self.port))
        except OSError as error:
            connection.close()
            raise NotSentError(f"connect to {self.host}:{self.port}: {error}") from error
        connection.settimeout(None)
        return connection

    def _send(self, connection: socket.socket, request: bytes) -> None:
        try:
            sent = connection.send(request)
        except TimeoutError:
            raise
        except OSError as error:
            raise NotSentError(f"send: {error}") from error
        try:
            if sent < len(request):
                connection.sendall(request[sent:])
        except TimeoutError:
            raise
        except OSError as error:
            raise ReplyLostError(f"send: {error}") from error

    def _release(self, connection: socket.socket, reusable: bool) -> None:
        if reusable and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()


def _encode_request(method: str, target: str, host: str, body: bytes) -> bytes:
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode("ascii") + body


def _receive(connection: socket.socket, method: str) -> tuple[HttpReply, bool]:
    try:
        response = HTTPSocketResponse(connection, method=method)
        body = response.read()
    except TimeoutError:
        raise
    except (OSError, HTTPParseError) as error:
        raise ReplyLostError(f"receive: {error}") from error
    revision = response.get("revision")
    number = int(revision) if isinstance(revision, str) and revision.isdecimal() else 0
    return HttpReply(response.status_code, body, number), not response.should_close()


def _readable(connection: socket.socket) -> bool:
    """Tells whether an idle connection was closed by the peer or holds unexpected bytes."""
    connection.settimeout(0.0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(None)
    return True
