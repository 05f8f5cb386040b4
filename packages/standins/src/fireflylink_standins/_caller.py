"""Client that sends requests as a caller does."""

import uuid

from fireflylink_core import BaseClock
from fireflylink_http_client import (
    ExchangeError,
    HttpConnection,
    HttpResponse,
    encode_request,
)
from fireflylink_platform import names
from fireflylink_standins._local_system import VIRTUAL_HOST

CONNECT_TIMEOUT_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000


class Caller:
    """Sends requests to one port over a persistent connection."""

    __slots__ = ("clock", "connection", "port")

    def __init__(self, port: int, clock: BaseClock) -> None:
        self.port = port
        self.clock = clock
        self.connection: HttpConnection | None = None

    def send(
        self,
        method: str,
        path: str,
        key: int | None = None,
        body: bytes = b"",
        deadline_seconds: float = 3.0,
        request_id: str = "",
    ) -> HttpResponse | None:
        """Returns the reply, None if the connection was refused, was lost or timed out.

        ``deadline_seconds`` is the time from now in which the reply has to arrive.
        """
        headers = [
            ("Host", VIRTUAL_HOST),
            (names.REQUEST_ID, request_id or uuid.uuid4().hex[:16]),
            (names.DEADLINE_MS, str(int(deadline_seconds * MILLISECONDS_PER_SECOND))),
        ]
        if key is not None:
            headers.append((names.SHARD_KEY, str(key)))
        request = encode_request(method, path, tuple(headers), body)
        try:
            connection = self._usable_connection()
            response, reusable = connection.exchange(
                request, method, self.clock.now() + deadline_seconds
            )
        except ExchangeError:
            self.close()
            return None
        if not reusable:
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _usable_connection(self) -> HttpConnection:
        if self.connection is None or not self.connection.is_usable():
            self.close()
            self.connection = HttpConnection(self.clock)
            self.connection.connect(
                "127.0.0.1", self.port, self.clock.now() + CONNECT_TIMEOUT_SECONDS
            )
        return self.connection
