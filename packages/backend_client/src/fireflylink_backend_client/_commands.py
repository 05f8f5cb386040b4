"""Grant and release commands of the daemon to one backend server."""

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

COMMAND_CONNECT_TIMEOUT_SECONDS = 1.0
OK_STATUS = 200
CONFLICT_STATUS = 409
MISDIRECTED_STATUS = 421


class CommandError(BaseFireflylinkError):
    """A command failed.

    If ``may_have_run`` is true, the server may have run the command or may still run it. It is
    false if the command was not sent or if the server refused it.
    """

    def __init__(self, detail: str, may_have_run: bool) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class StaleFenceError(CommandError):
    """The server has seen a higher fence (fencing token) on one of the keys and refused a grant."""

    def __init__(self) -> None:
        super().__init__("the server has seen a higher fence", False)


class ServerMismatchError(CommandError):
    """A server with another id uses the address, so the addressed incarnation has ended."""

    def __init__(self) -> None:
        super().__init__("another server uses the address now", False)


class ServerCommandClient:
    """Sends commands to one server over a connection that carries no requests of callers."""

    __slots__ = ("codec", "connection", "server")

    def __init__(self, server: BackendServer, clock: BaseClock, codec: BaseServerCodec) -> None:
        self.server = server
        self.codec = codec
        self.connection = PersistentConnection(
            server.host, server.port, clock, COMMAND_CONNECT_TIMEOUT_SECONDS
        )

    def grant(
        self, keys: KeyRange, fence: int, hold_seconds: float, handover: str, deadline: float
    ) -> Result[None, CommandError]:
        """Grants or renews keys for ``hold_seconds``.

        Fails with ``StaleFenceError`` if the server has seen a higher fence on one of the keys.
        """
        server_id = self.server.server_id
        command = self.codec.encode_grant(server_id, keys, fence, hold_seconds, handover)
        return self._send(command, deadline).bind(_decode_grant_response)

    def release(self, keys: KeyRange, fence: int, deadline: float) -> Result[str, CommandError]:
        """Makes the server release keys; returns its handover token.

        ``fence`` is that of the next holder's assignment. The server responds once its requests for
        these keys have finished.
        """
        command = self.codec.encode_release(self.server.server_id, keys, fence)
        return self._send(command, deadline).bind(self._decode_release_response)

    def close(self) -> None:
        """Resets the connection; a command in progress fails."""
        self.connection.abort()

    def _decode_release_response(self, response: HttpResponse) -> Result[str, CommandError]:
        if response.status == MISDIRECTED_STATUS:
            return Failure(ServerMismatchError())
        if response.status != OK_STATUS:
            return Failure(CommandError(f"release failed with status {response.status}", True))
        return Success(self.codec.decode_handover(response))

    def _send(self, command: EncodedCommand, deadline: float) -> Result[HttpResponse, CommandError]:
        encoded = encode_request(command.method, command.target, command.headers, command.body)
        try:
            return Success(self.connection.exchange(encoded, command.method, deadline))
        except ExchangeError as error:
            return Failure(CommandError(str(error), not isinstance(error, NotSentError)))


def _decode_grant_response(response: HttpResponse) -> Result[None, CommandError]:
    if response.status == OK_STATUS:
        return Success(None)
    if response.status == CONFLICT_STATUS:
        return Failure(StaleFenceError())
    if response.status == MISDIRECTED_STATUS:
        return Failure(ServerMismatchError())
    return Failure(CommandError(f"grant failed with status {response.status}", True))
