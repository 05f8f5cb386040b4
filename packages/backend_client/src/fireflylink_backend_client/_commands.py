"""Commands of the daemon's own to one backend server: grants and releases."""

from returns.result import Failure, Result, Success

from fireflylink_backend_client._codec import BaseServerCodec, EncodedCommand
from fireflylink_core import BackendServer, BaseClock, BaseFireflylinkError, KeyRange
from fireflylink_http_client import (
    ExchangeError,
    HttpResponse,
    NotSentError,
    PersistentConnection,
    encode_request,
)

CONNECT_SECONDS = 1.0
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


class CommandError(BaseFireflylinkError):
    """A command had no good end. ``sent`` tells that the server may still carry it out."""

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class StaleFenceError(CommandError):
    """The server has seen a higher fence on one of the keys."""

    def __init__(self) -> None:
        super().__init__("the server has seen a higher fence", False)


class ServerMismatchError(CommandError):
    """Another server has the address, so the one that had it has ended."""

    def __init__(self) -> None:
        super().__init__("another server has the address", False)


class ServerCommandClient:
    """Sends commands to one server over a connection of their own."""

    __slots__ = ("codec", "connection", "server")

    def __init__(self, server: BackendServer, clock: BaseClock, codec: BaseServerCodec) -> None:
        self.server = server
        self.codec = codec
        self.connection = PersistentConnection(server.host, server.port, clock, CONNECT_SECONDS)

    def grant(
        self, keys: KeyRange, fence: int, hold_seconds: float, handover: str, deadline: float
    ) -> Result[None, CommandError]:
        """Grants or renews keys; fails with ``StaleFenceError`` when another took them."""
        server_id = self.server.server_id
        command = self.codec.encode_grant(server_id, keys, fence, hold_seconds, handover)
        return self._send(command, deadline).bind(_granted)

    def release(self, keys: KeyRange, fence: int, deadline: float) -> Result[str, CommandError]:
        """Takes keys back; returns the hand-over token once the work on them has ended."""
        command = self.codec.encode_release(self.server.server_id, keys, fence)
        return self._send(command, deadline).bind(self._released)

    def close(self) -> None:
        """Closes the connection."""
        self.connection.close()

    def _released(self, response: HttpResponse) -> Result[str, CommandError]:
        if response.status == HTTP_MISDIRECTED:
            return Failure(ServerMismatchError())
        if response.status != HTTP_OK:
            return Failure(CommandError(f"release: status {response.status}", True))
        return Success(self.codec.decode_handover(response))

    def _send(self, command: EncodedCommand, deadline: float) -> Result[HttpResponse, CommandError]:
        encoded = encode_request(command.method, command.target, command.headers, command.body)
        try:
            return Success(self.connection.exchange(encoded, command.method, deadline))
        except ExchangeError as error:
            return Failure(CommandError(str(error), not isinstance(error, NotSentError)))


def _granted(response: HttpResponse) -> Result[None, CommandError]:
    if response.status == HTTP_OK:
        return Success(None)
    if response.status == HTTP_CONFLICT:
        return Failure(StaleFenceError())
    if response.status == HTTP_MISDIRECTED:
        return Failure(ServerMismatchError())
    return Failure(CommandError(f"grant: status {response.status}", True))
