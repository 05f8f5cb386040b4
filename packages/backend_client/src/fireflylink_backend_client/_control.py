"""Grants, revocations and health requests on a connection of their own."""

import json
from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.lock import Semaphore
from returns.result import Failure, Result, Success

from fireflylink_backend_client._commands import (
    GrantCommand,
    RevokeCommand,
    ServerStatus,
    decode_status,
)
from fireflylink_backend_client._connection import (
    CONNECT_TIMEOUT,
    BackendConnection,
    LostError,
    NotSentError,
)
from fireflylink_backend_client._encoding import encode_command, host_header_of
from fireflylink_backend_client._errors import (
    BackendError,
    BackendReplyLost,
    BackendUnreachable,
    GrantRefused,
)
from fireflylink_backend_client._response import ResponseReader
from fireflylink_backend_client._results import NotSentReason
from fireflylink_core import BackendServer, BaseClock, SystemClock

HTTP_OK = 200
HTTP_CONFLICT = 409
CONTROL_CONNECTIONS = 2

Reply = TypeVar("Reply")


class BackendControl:
    """Sends commands to one server, one at a time, by deadlines on the local clock.

    It has one connection in use; ``CONTROL_CONNECTIONS`` allows for an earlier one that the server
    has not closed yet.

    Example::

        status = control.grant(command, deadline=clock.now() + 0.3)
    """

    __slots__ = ("clock", "connection", "host_header", "in_turn", "open_slots", "server")

    def __init__(self, server: BackendServer, clock: BaseClock | None = None) -> None:
        self.server = server
        self.clock = clock or SystemClock()
        self.host_header = host_header_of(server)
        self.connection: BackendConnection | None = None
        self.in_turn = Semaphore(1)
        self.open_slots = Semaphore(CONTROL_CONNECTIONS)

    def grant(self, command: GrantCommand, deadline: float) -> Result[ServerStatus, BackendError]:
        """Sends a grant; fails with ``GrantRefused`` when the server has seen a higher epoch."""
        return self._command("POST", "/grants", command.encode(), deadline, self._decode_status)

    def revoke(self, command: RevokeCommand, deadline: float) -> Result[int, BackendError]:
        """Revokes shards; returns how many of their requests are still running."""
        return self._command("POST", "/grants/revoke", command.encode(), deadline, _decode_running)

    def health(self, deadline: float) -> Result[ServerStatus, BackendError]:
        """Asks for the status, which lags."""
        return self._command("GET", "/health", b"", deadline, self._decode_status)

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self._retire(self.connection)

    def _command(
        self,
        method: str,
        target: str,
        body: bytes,
        deadline: float,
        decode: Callable[[ResponseReader, BackendConnection], Reply],
    ) -> Result[Reply, BackendError]:
        request = encode_command(method, target, self.host_header, body)
        try:
            reader, connection = self._exchange(request, method, deadline)
        except NotSentError as error:
            refused = error.reason is NotSentReason.CONNECT_REFUSED
            return Failure(BackendUnreachable(str(error), refused))
        except LostError as error:
            return Failure(BackendReplyLost(str(error)))
        try:
            if reader.status == HTTP_CONFLICT:
                return Failure(_decode_refusal(reader))
            if reader.status == HTTP_OK:
                return Success(decode(reader, connection))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(BackendReplyLost(f"{target}: malformed reply: {error}"))
        return Failure(BackendReplyLost(f"{target}: status {reader.status}"))

    def _exchange(
        self, request: bytes, method: str, deadline: float
    ) -> tuple[ResponseReader, BackendConnection]:
        if not self.in_turn.acquire(timeout=self._remaining(deadline)):
            raise NotSentError(NotSentReason.DEADLINE, "while an earlier command ran")
        try:
            connection = self._connected(deadline)
            reusable = False
            try:
                reader = connection.exchange(request, method, deadline)
                reusable = reader.reusable
            finally:
                if not reusable:
                    self._retire(connection)
            return reader, connection
        finally:
            self.in_turn.release()

    def _connected(self, deadline: float) -> BackendConnection:
        if self.connection is not None and not self.connection.usable():
            self._retire(self.connection)
        if self.connection is not None:
            return self.connection
        if not self.open_slots.acquire(timeout=self._remaining(deadline)):
            raise NotSentError(NotSentReason.DEADLINE, "while earlier connections were closed")
        self.connection = BackendConnection(self.server.host, self.clock)
        connect_deadline = min(deadline, self.clock.now() + CONNECT_TIMEOUT)
        try:
            self.connection.connect(self.server.host, self.server.port, connect_deadline)
        except BaseException:
            self._retire(self.connection)
            raise
        return self.connection

    def _retire(self, connection: BackendConnection) -> None:
        self.connection = None
        if connection.peer_closed:
            connection.close()
            self.open_slots.release()
        else:
            gevent.spawn(self._close_and_count, connection)

    def _close_and_count(self, connection: BackendConnection) -> None:
        try:
            connection.close_gracefully()
        finally:
            self.open_slots.release()

    def _remaining(self, deadline: float) -> float:
        return max(0.0, deadline - self.clock.now())

    def _decode_status(self, reader: ResponseReader, connection: BackendConnection) -> ServerStatus:
        return decode_status(reader.body, connection.sent_at, connection.used_at)


def _decode_running(reader: ResponseReader, connection: BackendConnection) -> int:
    return int(json.loads(reader.body)["in_flight"])


def _decode_refusal(reader: ResponseReader) -> GrantRefused:
    document = json.loads(reader.body)
    return GrantRefused(int(document["gateway_epoch"]), int(document["clock_ms"]))
