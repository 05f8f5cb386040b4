"""Kept connections to one backend server."""

from fireflylink_backend_client._cancellation import Cancellation
from fireflylink_backend_client._dialect import BaseServerDialect
from fireflylink_core import (
    Answered,
    BackendServer,
    BaseCallResult,
    BaseClock,
    CallerRequest,
    Declined,
    Lost,
    LostReason,
    NotSent,
)
from fireflylink_http_client import (
    HttpConnection,
    HttpResponse,
    LostError,
    NotSentError,
    encode_request,
)

CONNECT_SECONDS = 0.4
DEFAULT_IDLE_SECONDS = 4.0
IDLE_MARGIN_SECONDS = 1.0
MINIMUM_REMAINING_SECONDS = 0.001


class ServerPool:
    """Connections to one life of a server, each used for one call at a time.

    An idle connection is closed before the server closes it. The last one used is used again
    first, so that a quiet server keeps few.

    Example::

        result = pool.call(request, deadline, Cancellation())
    """

    __slots__ = ("clock", "closed", "dialect", "idle", "idle_seconds", "opened", "server")

    def __init__(self, server: BackendServer, clock: BaseClock, dialect: BaseServerDialect) -> None:
        self.server = server
        self.clock = clock
        self.dialect = dialect
        self.idle: list[HttpConnection] = []
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.opened = 0
        self.closed = False

    def call(
        self, request: CallerRequest, deadline: float, cancellation: Cancellation
    ) -> BaseCallResult:
        """Sends a request and waits for its answer until ``deadline``."""
        try:
            connection = self._checkout(deadline, cancellation)
        except NotSentError as error:
            return NotSent(str(error))
        reusable = False
        try:
            response, reusable = self._exchange(connection, request, deadline)
            return self._result(response)
        except NotSentError as error:
            return NotSent(str(error))
        except LostError as error:
            return Lost(error.reason, str(error))
        finally:
            cancellation.connection = None
            self._checkin(connection, reusable)

    def drop_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        oldest = self.clock.now() - self.idle_seconds
        kept = [connection for connection in self.idle if connection.last_used_at > oldest]
        for connection in self.idle:
            if connection.last_used_at <= oldest:
                connection.close()
        self.idle = kept

    def close(self) -> None:
        """Closes the idle connections; those in use are closed after their call."""
        self.closed = True
        for connection in self.idle:
            connection.close()
        self.idle = []

    def _exchange(
        self, connection: HttpConnection, request: CallerRequest, deadline: float
    ) -> tuple[HttpResponse, bool]:
        remaining = max(MINIMUM_REMAINING_SECONDS, deadline - self.clock.now())
        headers = self.dialect.request_headers(request, self.server.server_id, remaining)
        encoded = encode_request(request.method, request.target, headers, request.body)
        return connection.exchange(
            encoded,
            request.method,
            deadline,
            lambda response: self.dialect.belongs(response, request.request_id),
        )

    def _result(self, response: HttpResponse) -> BaseCallResult:
        load = self.dialect.load(response)
        if self.dialect.declined(response):
            return Declined(response.status, self.dialect.misdirected(response), load)
        answer = self.dialect.answer(response)
        if answer is None:
            return Lost(LostReason.MALFORMED, f"status {response.status} is not the server's")
        self._learn_idle_time(response)
        return Answered(answer, load)

    def _learn_idle_time(self, response: HttpResponse) -> None:
        stated = response.keep_alive_seconds
        if stated is not None:
            self.idle_seconds = max(0.0, min(DEFAULT_IDLE_SECONDS, stated - IDLE_MARGIN_SECONDS))

    def _checkout(self, deadline: float, cancellation: Cancellation) -> HttpConnection:
        if cancellation.cancelled:
            raise NotSentError("cancelled before sending")
        self.drop_idle()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                cancellation.connection = connection
                return connection
            connection.close()
        return self._open(deadline, cancellation)

    def _open(self, deadline: float, cancellation: Cancellation) -> HttpConnection:
        connection = HttpConnection(self.clock)
        cancellation.connection = connection
        self.opened += 1
        latest = min(deadline, self.clock.now() + CONNECT_SECONDS)
        try:
            connection.connect(self.server.host, self.server.port, latest)
        except NotSentError:
            connection.close()
            raise
        return connection

    def _checkin(self, connection: HttpConnection, reusable: bool) -> None:
        if reusable and not self.closed and not connection.cancelled:
            self.idle.append(connection)
        else:
            connection.close()
