"""A persistent connection to one address that reconnects when necessary."""

from fireflylink_core import BaseClock, ReceiveLimits
from fireflylink_http_client._connection import HttpConnection, ResponsePredicate
from fireflylink_http_client._errors import ExchangeError
from fireflylink_http_client._response import HttpResponse


class PersistentConnection:
    """Sends requests to one address one at a time, over one connection where possible.

    Unlike an ``HttpConnection``, it can be used again after an error: the next exchange reconnects.
    After an error the connection is reset, so that unacknowledged data is not delivered later.

    Example::

        response = connection.exchange(request, "POST", clock.now() + 1.0)
    """

    __slots__ = ("clock", "connect_timeout_seconds", "connection", "host", "port", "receive_limits")

    def __init__(
        self,
        host: str,
        port: int,
        clock: BaseClock,
        connect_timeout_seconds: float,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.clock = clock
        self.connect_timeout_seconds = connect_timeout_seconds
        self.receive_limits = ReceiveLimits() if receive_limits is None else receive_limits
        self.connection: HttpConnection | None = None

    def exchange(
        self,
        request: bytes,
        method: str,
        deadline: float,
        is_response_to_request: ResponsePredicate | None = None,
    ) -> HttpResponse:
        """Sends a request and returns its response; raises ``NotSentError`` or ``LostError``.

        Responses for which ``is_response_to_request`` returns false are skipped, as in
        ``HttpConnection.exchange``.
        """
        try:
            connection = self._connect_if_needed(deadline)
            response, reusable = connection.exchange(
                request, method, deadline, is_response_to_request
            )
        except ExchangeError:
            self.abort()
            raise
        if not reusable:
            self.abort()
        return response

    def abort(self) -> None:
        """Resets the connection; an exchange in progress fails."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    def _connect_if_needed(self, deadline: float) -> HttpConnection:
        if self.connection is not None and self.connection.is_usable():
            return self.connection
        self.abort()
        connection = HttpConnection(self.clock, self.receive_limits)
        self.connection = connection
        connection.connect(
            self.host, self.port, min(deadline, self.clock.now() + self.connect_timeout_seconds)
        )
        return connection
