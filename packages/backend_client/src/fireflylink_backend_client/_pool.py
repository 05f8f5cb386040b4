"""Bounded pool of connections to one backend server."""

import collections

import gevent
from gevent.event import Event
from gevent.ssl import SSLContext
from returns.result import Result

from fireflylink_backend_client._commands import GrantCommand, RevokeCommand, ServerStatus
from fireflylink_backend_client._connection import (
    CONNECT_TIMEOUT,
    BackendConnection,
    LostError,
    NotSentError,
)
from fireflylink_backend_client._control import CONTROL_CONNECTIONS, BackendControl
from fireflylink_backend_client._encoding import (
    MalformedRequestError,
    encode_call,
    encode_command,
    host_header_of,
)
from fireflylink_backend_client._errors import BackendError
from fireflylink_backend_client._response import ResponseReader, decimal_of
from fireflylink_backend_client._results import (
    Answered,
    BaseCallResult,
    CallHeaders,
    Lost,
    LostReason,
    NotRunByServer,
    NotSent,
    NotSentReason,
)
from fireflylink_core import BackendServer, BaseClock, CallerRequest, SystemClock

PROBE_TIMEOUT = 0.25
TRUSTED_AFTER_USE = 0.02
PROBE_AFTER_IDLE = 1.0
HTTP_UNAVAILABLE = 503


class Waiter:
    """A call that waits until it may use or open a connection.

    ``granted`` with no ``connection`` is the right to open one. ``refusal`` ends the wait.
    """

    __slots__ = ("connection", "granted", "refusal", "woken")

    def __init__(self) -> None:
        self.woken = Event()
        self.granted = False
        self.connection: BackendConnection | None = None
        self.refusal: NotSentError | None = None

    def grant(self, connection: BackendConnection | None) -> None:
        """Hands over a connection, or the right to open one."""
        self.granted = True
        self.connection = connection
        self.woken.set()

    def refuse(self, reason: NotSentReason) -> None:
        """Ends the wait without a connection."""
        self.refusal = NotSentError(reason, "while waiting for a connection")
        self.woken.set()


class BackendPool:
    """Connections to one server; all of them together stay within the server's limit.

    A connection is checked out for one exchange at a time. One that is being opened or closed
    counts until the server has closed it too, for at most ``CLOSE_TIMEOUT``.
    ``CONTROL_CONNECTIONS`` of the limit are kept for commands, so that calls that occupy every
    other connection cannot stop a grant.

    Example::

        result = pool.call(request, CallHeaders(call_id, deadline_ms, 3, shard, epoch))
    """

    __slots__ = (
        "active",
        "clock",
        "closed",
        "control",
        "host_header",
        "idle",
        "limit",
        "open_count",
        "server",
        "tls",
        "waiting",
    )

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock | None = None,
        tls: SSLContext | None = None,
    ) -> None:
        self.server = server
        self.tls = tls
        self.clock = clock or SystemClock()
        self.limit = max(1, server.connections - CONTROL_CONNECTIONS)
        self.host_header = host_header_of(server)
        self.control = BackendControl(server, self.clock)
        self.open_count = 0
        self.closed = False
        self.idle: list[BackendConnection] = []
        self.active: dict[str, BackendConnection | Waiter] = {}
        self.waiting: collections.deque[Waiter] = collections.deque()

    def call(self, request: CallerRequest, headers: CallHeaders) -> BaseCallResult:
        """Runs one attempt of a request by the request's deadline."""
        try:
            encoded = encode_call(request, headers, self.host_header)
        except MalformedRequestError as error:
            return NotSent(NotSentReason.MALFORMED_REQUEST, str(error))
        try:
            return self._call(encoded, request, headers.call_id)
        except NotSentError as error:
            return NotSent(error.reason, error.detail)
        except LostError as error:
            return Lost(error.reason, error.detail)
        finally:
            self.active.pop(headers.call_id, None)

    def cancel(self, call_id: str) -> bool:
        """Ends a call in progress and closes its connection; tells whether there was one."""
        holder = self.active.get(call_id)
        if holder is None:
            return False
        if isinstance(holder, BackendConnection):
            holder.interrupt()
        else:
            holder.refuse(NotSentReason.CANCELLED)
        return True

    def grant(self, command: GrantCommand, deadline: float) -> Result[ServerStatus, BackendError]:
        """Sends a grant; fails with ``GrantRefused`` when the server has seen a higher epoch."""
        return self.control.grant(command, deadline)

    def revoke(self, command: RevokeCommand, deadline: float) -> Result[int, BackendError]:
        """Revokes shards; returns how many of their requests are still running."""
        return self.control.revoke(command, deadline)

    def health(self, deadline: float) -> Result[ServerStatus, BackendError]:
        """Asks for the status, which lags."""
        return self.control.health(deadline)

    def close(self) -> None:
        """Closes the idle connections; connections in use are closed after their exchange."""
        self.closed = True
        self.control.close()
        while self.idle:
            self._retire(self.idle.pop())
        while self.waiting:
            self.waiting.popleft().refuse(NotSentReason.POOL_CLOSED)

    def _call(self, encoded: bytes, request: CallerRequest, call_id: str) -> BaseCallResult:
        connection = self._checkout(call_id, request.deadline, request.idempotent)
        reusable = False
        try:
            reader = connection.exchange(encoded, request.method, request.deadline)
            result = _result_of(reader, call_id, connection)
            reusable = reader.reusable
            return result
        finally:
            self._release(connection, reusable)

    def _checkout(self, call_id: str, deadline: float, idempotent: bool) -> BackendConnection:
        while True:
            connection = self._take(call_id, deadline)
            if connection is None:
                return self._open(call_id, deadline)
            self.active[call_id] = connection
            verified = False
            try:
                verified = self._verify(connection, deadline, idempotent)
            finally:
                if not verified:
                    self._retire(connection)
            if verified:
                return connection
            if connection.cancelled:
                raise NotSentError(NotSentReason.CANCELLED, "before sending")

    def _take(self, call_id: str, deadline: float) -> BackendConnection | None:
        """Returns an idle connection, or None with the right to open one."""
        if self.closed:
            raise NotSentError(NotSentReason.POOL_CLOSED, "before sending")
        if self.idle:
            return self.idle.pop()
        if self.open_count < self.limit:
            self.open_count += 1
            return None
        return self._wait(call_id, deadline)

    def _wait(self, call_id: str, deadline: float) -> BackendConnection | None:
        waiter = Waiter()
        self.waiting.append(waiter)
        self.active[call_id] = waiter
        try:
            waiter.woken.wait(max(0.0, deadline - self.clock.now()))
            if waiter.refusal is None and not waiter.granted:
                waiter.refuse(NotSentReason.DEADLINE)
            if waiter.refusal is not None:
                raise waiter.refusal
            return waiter.connection
        except BaseException:
            self._give_back(waiter)
            raise

    def _give_back(self, waiter: Waiter) -> None:
        """Passes on what a waiter was granted but will not use."""
        if not waiter.granted:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
        elif waiter.connection is None:
            self._closed()
        else:
            self._release(waiter.connection, reusable=True)

    def _open(self, call_id: str, deadline: float) -> BackendConnection:
        connection = BackendConnection(self.server.host, self.clock, self.tls)
        self.active[call_id] = connection
        connect_deadline = min(deadline, self.clock.now() + CONNECT_TIMEOUT)
        try:
            connection.connect(self.server.host, self.server.port, connect_deadline)
        except BaseException:
            self._retire(connection)
            raise
        return connection

    def _verify(self, connection: BackendConnection, deadline: float, idempotent: bool) -> bool:
        now = self.clock.now()
        idle = now - connection.used_at
        if idle <= TRUSTED_AFTER_USE:
            return True
        if not connection.usable():
            return False
        if idempotent or idle <= PROBE_AFTER_IDLE:
            return True
        probe = encode_command("GET", "/health", self.host_header, b"")
        try:
            reader = connection.exchange(probe, "GET", min(deadline, now + PROBE_TIMEOUT))
        except (NotSentError, LostError):
            self._retire_idle_since(now - PROBE_AFTER_IDLE)
            return False
        return reader.reusable

    def _retire_idle_since(self, used_before: float) -> None:
        """Closes the connections that have been idle as long as one that proved to be silent."""
        kept = [connection for connection in self.idle if connection.used_at > used_before]
        retired = [connection for connection in self.idle if connection.used_at <= used_before]
        self.idle = kept
        for connection in retired:
            self._retire(connection)

    def _release(self, connection: BackendConnection, reusable: bool) -> None:
        if not reusable or connection.cancelled or self.closed:
            self._retire(connection)
        elif self.waiting:
            self.waiting.popleft().grant(connection)
        else:
            self.idle.append(connection)

    def _retire(self, connection: BackendConnection) -> None:
        if connection.peer_closed:
            connection.close()
            self._closed()
        else:
            gevent.spawn(self._close_and_count, connection)

    def _close_and_count(self, connection: BackendConnection) -> None:
        try:
            connection.close_gracefully()
        finally:
            self._closed()

    def _closed(self) -> None:
        if self.waiting and not self.closed:
            self.waiting.popleft().grant(None)
        else:
            self.open_count -= 1


def _result_of(
    reader: ResponseReader, call_id: str, connection: BackendConnection
) -> BaseCallResult:
    if reader.header("fireflylink-call-id") != call_id:
        raise LostError(LostReason.MISMATCHED, "the answer names another call")
    clock_ms = decimal_of(reader.header("fireflylink-clock-ms"))
    if clock_ms is None:
        raise LostError(LostReason.MALFORMED, "the answer has no server clock")
    server_id = reader.header("fireflylink-server-id")
    generation = reader.header("fireflylink-generation")
    not_run = reader.header("fireflylink-not-run")
    if not_run and reader.status == HTTP_UNAVAILABLE:
        return NotRunByServer(not_run, server_id, generation, clock_ms, connection.sent_at)
    return Answered(
        reader.status,
        reader.body,
        reader.header("content-type"),
        server_id,
        generation,
        clock_ms,
        connection.sent_at,
        connection.used_at,
    )
