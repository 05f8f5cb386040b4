"""Pool of persistent connections to one backend server."""

from fireflylink_backend_client._cancellation import Cancellation
from fireflylink_backend_client._codec import BaseServerCodec
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
    ReceiveLimits,
    SendWindow,
)
from fireflylink_http_client import (
    HttpConnection,
    HttpResponse,
    LostError,
    NotSentError,
    encode_request_head,
)

REQUEST_CONNECT_TIMEOUT_SECONDS = 0.4
MIN_RESET_WAIT_SECONDS = 0.002
MAX_RESET_WAIT_SECONDS = 0.02
"""A server that has too many connections resets a new one, and the reset arrives one round trip
after the connection is established, about as long as that took. A request that is sent before may
have run for all that is known; one that is not can go elsewhere."""

MAX_IDLE_TIMEOUT_SECONDS = 4.0
CLOSE_BEFORE_SERVER_SECONDS = 1.0
"""Time between closing an idle connection and the end of the keep-alive time-out that the server
states. A request sent while the server closes the connection would be lost.
"""

MAX_DECLINED_REQUEST_IDS = 50
"""A connection on which so many requests were declined is closed, so that their ids are freed."""

MIN_STATED_REMAINING_SECONDS = 0.001
"""Lower bound of the remaining time that a request states to the server. If the deadline
has passed, the exchange sends nothing.
"""


class ServerConnectionPool:
    """Connections to one incarnation of a server, each used for one call at a time.

    An idle connection is closed before the server's keep-alive time-out ends. The most recently
    used connection is reused first, so that surplus connections reach the idle time-out when the
    request rate is low. ``connect_attempts`` counts the connections opened since the start,
    including attempts that failed. ``send_window`` is when the server may get new requests. It is
    checked again once a request has its connection, because opening one takes time.
    ``receive_limits`` are shared by the pools of all servers.

    Example::

        result = pool.call(request, deadline, Cancellation())
    """

    __slots__ = (
        "clock",
        "closed",
        "codec",
        "connect_attempts",
        "idle_connections",
        "idle_timeout_seconds",
        "receive_limits",
        "send_window",
        "server",
    )

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        send_window: SendWindow | None = None,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        self.server = server
        self.clock = clock
        self.codec = codec
        self.idle_connections: list[HttpConnection] = []
        self.idle_timeout_seconds = MAX_IDLE_TIMEOUT_SECONDS
        self.connect_attempts = 0
        self.closed = False
        self.receive_limits = ReceiveLimits() if receive_limits is None else receive_limits
        self.send_window = SendWindow() if send_window is None else send_window

    def call(
        self, request: CallerRequest, deadline: float, cancellation: Cancellation
    ) -> BaseCallResult:
        """Sends a request and waits for its answer until ``deadline``, in seconds on the clock."""
        try:
            connection = self._checkout(request.request_id, deadline, cancellation)
        except NotSentError as error:
            return NotSent(str(error))
        reusable = False
        try:
            if not self.send_window.is_open(self.clock.now()):
                reusable = True
                return NotSent("the server wants no requests now", withheld=True)
            response, reusable = self._exchange(connection, request, deadline)
            result = self._decode_result(response, request.request_id)
            if isinstance(result, Declined):
                connection.declined_request_ids.add(request.request_id)
            elif isinstance(result, Lost):
                reusable = False
            return result
        except NotSentError as error:
            return NotSent(str(error))
        except LostError as error:
            # After an orderly close, the kernel would still deliver it when a partition ends.
            connection.abort()
            return Lost(error.reason, str(error))
        finally:
            cancellation.connection = None
            self._checkin(connection, reusable)

    def evict_idle(self) -> None:
        """Closes connections that have been idle for ``idle_timeout_seconds`` or longer."""
        cutoff = self.clock.now() - self.idle_timeout_seconds
        remaining = [
            connection for connection in self.idle_connections if connection.last_used_at > cutoff
        ]
        for connection in self.idle_connections:
            if connection.last_used_at <= cutoff:
                connection.close()
        self.idle_connections = remaining

    def close(self) -> None:
        """Closes the idle connections; a connection in use is closed when its call ends."""
        self.closed = True
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections = []

    def _exchange(
        self, connection: HttpConnection, request: CallerRequest, deadline: float
    ) -> tuple[HttpResponse, bool]:
        remaining_seconds = max(MIN_STATED_REMAINING_SECONDS, deadline - self.clock.now())
        headers = self.codec.request_headers(request, self.server.server_id, remaining_seconds)
        head = encode_request_head(request.method, request.target, headers, len(request.body))
        return connection.exchange(
            head,
            request.method,
            deadline,
            lambda response: self.codec.is_response_to(response, request.request_id),
            request.body,
        )

    def _decode_result(self, response: HttpResponse, request_id: str) -> BaseCallResult:
        load = self.codec.decode_load(response)
        notice = self.codec.decode_notice(response, request_id, self.clock.now())
        if self.codec.is_declined(response, request_id):
            return Declined(response.status, self.codec.is_misdirected(response), load, notice)
        answer = self.codec.decode_answer(response, request_id)
        if answer is None:
            return Lost(
                LostReason.MALFORMED,
                f"status {response.status}: the body is not proven to be the server's own",
                notice,
            )
        self._update_idle_timeout(response)
        return Answered(answer, load, notice)

    def _update_idle_timeout(self, response: HttpResponse) -> None:
        keep_alive_seconds = response.keep_alive_seconds
        if keep_alive_seconds is not None:
            self.idle_timeout_seconds = max(
                0.0,
                min(MAX_IDLE_TIMEOUT_SECONDS, keep_alive_seconds - CLOSE_BEFORE_SERVER_SECONDS),
            )

    def _checkout(
        self, request_id: str, deadline: float, cancellation: Cancellation
    ) -> HttpConnection:
        if cancellation.cancelled:
            raise NotSentError("cancelled before sending")
        self.evict_idle()
        # A connection on which the server declined this request is left to other requests.
        unsuitable = []
        found = None
        while self.idle_connections and found is None:
            connection = self.idle_connections.pop()
            if request_id in connection.declined_request_ids:
                unsuitable.append(connection)
            elif connection.is_usable():
                found = connection
            else:
                connection.close()
        self.idle_connections.extend(reversed(unsuitable))
        if found is None:
            return self._open(deadline, cancellation)
        cancellation.connection = found
        return found

    def _open(self, deadline: float, cancellation: Cancellation) -> HttpConnection:
        connection = HttpConnection(self.clock, self.receive_limits)
        cancellation.connection = connection
        self.connect_attempts += 1
        connect_deadline = min(deadline, self.clock.now() + REQUEST_CONNECT_TIMEOUT_SECONDS)
        try:
            connection.connect(self.server.host, self.server.port, connect_deadline)
        except NotSentError:
            connection.close()
            raise
        wait_seconds = connection.connect_seconds + MIN_RESET_WAIT_SECONDS
        if connection.ends_within(min(wait_seconds, MAX_RESET_WAIT_SECONDS)):
            connection.close()
            raise NotSentError("the server ended the new connection")
        return connection

    def _checkin(self, connection: HttpConnection, reusable: bool) -> None:
        few_declined = len(connection.declined_request_ids) < MAX_DECLINED_REQUEST_IDS
        if reusable and few_declined and not self.closed and not connection.cancelled:
            self.idle_connections.append(connection)
        else:
            connection.close()
