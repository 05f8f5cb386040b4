"""Bounded pool of connections to one backend server."""

import collections

import gevent
from gevent.event import AsyncResult
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
)
from fireflylink_backend_client._errors import BackendError
from fireflylink_backend_client._response import ResponseReader
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
PROBE_AFTER_IDLE = 1.0
HTTP_UNAVAILABLE = 503


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
        self.host_header = f"{server.host}:{server.port}"
        self.control = BackendControl(server, self.clock)
        self.open_count = 0
        self.closed = False
        self.idle: list[BackendConnection] = []
        self.active: dict[str, BackendConnection | AsyncResult] = {}
        self.waiting: collections.deque[AsyncResult] = collections.deque()

    def call(self, request: CallerRequest, headers: CallHeaders) -> BaseCallResult:
        """Runs one attempt of a request by the request's deadline."""
        try:
            encoded = encode_call(request, headers, self.host_header)
        except MalformedRequestError as error:
            return NotSent(NotSentReason.MALFORMED_REQUEST, str(error))
        try:
            connection = self._checkout(headers.call_id, request.deadline, request.idempotent)
        except NotSentError as error:
            self.active.pop(headers.call_id, None)
            return NotSent(error.reason, error.detail)
        reusable = False
        try:
            reader = connection.exchange(encoded, request.method, request.deadline)
            result = _result_of(reader, headers.call_id, connection)
            reusable = reader.reusable and not isinstance(result, Lost)
        except NotSentError as error:
            result = NotSent(error.reason, error.detail)
        except LostError as error:
            result = Lost(error.reason, error.detail)
        finally:
            self.active.pop(headers.call_id, None)
            self._release(connection, reusable)
        return result

    def cancel(self, call_id: str) -> bool:
        """Ends a call in progress and closes its connection; tells whether there was one."""
        holder = self.active.get(call_id)
        if holder is None:
            return False
        if isinstance(holder, BackendConnection):
            holder.interrupt()
        else:
            holder.set_exception(NotSentError(NotSentReason.CANCELLED, "while waiting"))
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
            closed = NotSentError(NotSentReason.POOL_CLOSED, "while waiting")
            self.waiting.popleft().set_exception(closed)

    def _checkout(self, call_id: str, deadline: float, idempotent: bool) -> BackendConnection:
        while True:
            connection = self._take(call_id, deadline)
            if connection is None:
                return self._open(call_id, deadline)
            self.active[call_id] = connection
            if self._verify(connection, deadline, idempotent):
                return connection
            self._retire(connection)
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
        waiter = AsyncResult()
        self.waiting.append(waiter)
        self.active[call_id] = waiter
        try:
            waiter.wait(timeout=max(0.0, deadline - self.clock.now()))
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
        if not waiter.ready():
            raise NotSentError(NotSentReason.DEADLINE, "while waiting for a connection")
        connection: BackendConnection | None = waiter.get()
        return connection

    def _open(self, call_id: str, deadline: float) -> BackendConnection:
        connection = BackendConnection(self.clock, self.tls)
        self.active[call_id] = connection
        connect_deadline = min(deadline, self.clock.now() + CONNECT_TIMEOUT)
        try:
            connection.connect(self.server.host, self.server.port, connect_deadline)
        except BaseException:
            self._retire(connection)
            raise
        return connection

    def _verify(self, connection: BackendConnection, deadline: float, idempotent: bool) -> bool:
        if not connection.usable():
            return False
        now = self.clock.now()
        if idempotent or now - connection.used_at <= PROBE_AFTER_IDLE:
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
            self.waiting.popleft().set(connection)
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
            self.waiting.popleft().set(None)
        else:
            self.open_count -= 1


def _result_of(
    reader: ResponseReader, call_id: str, connection: BackendConnection
) -> BaseCallResult:
    if reader.header("fireflylink-call-id") != call_id:
        return Lost(LostReason.MISMATCHED, "the answer names another call")
    clock_ms = reader.header("fireflylink-clock-ms")
    if not clock_ms.isdigit():
        return Lost(LostReason.MALFORMED, "the answer has no server clock")
    server_id = reader.header("fireflylink-server-id")
    generation = reader.header("fireflylink-generation")
    not_run = reader.header("fireflylink-not-run")
    if not_run and reader.status_code == HTTP_UNAVAILABLE:
        return NotRunByServer(not_run, server_id, generation, int(clock_ms), connection.sent_at)
    return Answered(
        reader.status_code,
        reader.whole_body(),
        reader.header("content-type"),
        server_id,
        generation,
        int(clock_ms),
        connection.sent_at,
        connection.used_at,
    )
