"""Client that sends requests as a caller does."""

import uuid

from returns.result import Failure, Result, Success

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


def encode_call(
    method: str,
    path: str,
    request_id: str,
    deadline_seconds: float,
    key: int | None = None,
    body: bytes = b"",
) -> bytes:
    """Returns a request as a caller of the platform sends it."""
    headers = [
        ("Host", VIRTUAL_HOST),
        (names.REQUEST_ID, request_id),
        (names.DEADLINE_MS, str(int(deadline_seconds * MILLISECONDS_PER_SECOND))),
    ]
    if key is not None:
        headers.append((names.SHARD_KEY, str(key)))
    return encode_request(method, path, tuple(headers), body)


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
    ) -> Result[HttpResponse, ExchangeError]:
        """Returns the reply, or why there is none.

        A ``NotSentError`` means that no byte was sent, for instance because the connection was
        refused. After a ``LostError`` the request may have run: the connection ended, or no reply
        came within ``deadline_seconds`` from now.
        """
        deadline = self.clock.now() + deadline_seconds
        request_id = request_id or uuid.uuid4().hex[:16]
        request = encode_call(method, path, request_id, deadline_seconds, key, body)
        try:
            connection = self._usable_connection()
            response, reusable = connection.exchange(request, method, deadline)
        except ExchangeError as error:
            self.close()
            return Failure(error)
        if not reusable:
            self.close()
        return Success(response)

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
