"""Grant and release commands of the daemon to one backend server."""

import itertools
import random
from collections import deque

from returns.result import Failure, Result, Success

from fireflylink_backend_client._codec import BaseServerCodec, EncodedCommand
from fireflylink_core import (
    BackendServer,
    BaseClock,
    BaseFireflylinkError,
    KeyRange,
    ReceiveLimits,
)
from fireflylink_http_client import (
    ExchangeError,
    HttpResponse,
    NotSentError,
    PersistentConnection,
    encode_request,
)

MAX_HANDOVERS = 1000
"""So many of the latest handover tokens are remembered. A copy of an older answer would have waited
at the server for as many releases."""

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
    """The server has seen a higher fence (fencing token) on one of the keys and refused a grant.

    If the answer names no command, it may be a copy of an earlier one, so this grant may have run.
    """

    def __init__(self, may_have_run: bool = False) -> None:
        super().__init__("the server has seen a higher fence", may_have_run)


class ServerMismatchError(CommandError):
    """A server with another id uses the address, so the addressed incarnation has ended."""

    def __init__(self) -> None:
        super().__init__("another server uses the address now", False)


class ServerCommandClient:
    """Sends commands to one server over a connection that carries no requests of callers.

    A server may write an answer once more where a later one is expected. Taken for the answer to a
    release, it would let two servers hold the same keys. So a response that names another command
    is skipped. If the server has named none so far (``echoes_ids`` is false), the handover token
    decides: a release is answered with a new one, none of ``handovers``, and a grant with none.
    """

    __slots__ = ("codec", "command_ids", "connection", "echoes_ids", "handovers", "server")

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        self.server = server
        self.codec = codec
        self.connection = PersistentConnection(
            server.host, server.port, clock, COMMAND_CONNECT_TIMEOUT_SECONDS, receive_limits
        )
        # Unlike those of other clients, which may use the connection's address before or later.
        prefix = f"{random.getrandbits(48):012x}"
        self.command_ids = (f"{prefix}{number:08x}" for number in itertools.count())
        self.echoes_ids = False
        self.handovers: deque[str] = deque(maxlen=MAX_HANDOVERS)

    def grant(
        self, keys: KeyRange, fence: int, hold_seconds: float, handover: str, deadline: float
    ) -> Result[None, CommandError]:
        """Grants or renews keys for ``hold_seconds``.

        Fails with ``StaleFenceError`` if the server has seen a higher fence on one of the keys.
        """
        server_id = self.server.server_id
        command_id = next(self.command_ids)
        command = self.codec.encode_grant(
            server_id, keys, fence, hold_seconds, handover, command_id
        )
        sent = self._send(command, command_id, deadline, is_release=False)
        return sent.bind(self._decode_grant_response)

    def release(self, keys: KeyRange, fence: int, deadline: float) -> Result[str, CommandError]:
        """Makes the server release keys; returns its handover token.

        ``fence`` is that of the next holder's assignment. The server responds once its requests for
        these keys have finished.
        """
        command_id = next(self.command_ids)
        command = self.codec.encode_release(self.server.server_id, keys, fence, command_id)
        sent = self._send(command, command_id, deadline, is_release=True)
        return sent.bind(self._decode_release_response)

    def close(self) -> None:
        """Resets the connection; a command in progress fails."""
        self.connection.abort()

    def _decode_grant_response(self, response: HttpResponse) -> Result[None, CommandError]:
        if response.status == OK_STATUS:
            return Success(None)
        if response.status == CONFLICT_STATUS:
            return Failure(StaleFenceError(may_have_run=not self.echoes_ids))
        if response.status == MISDIRECTED_STATUS:
            return Failure(ServerMismatchError())
        return Failure(CommandError(f"grant failed with status {response.status}", True))

    def _decode_release_response(self, response: HttpResponse) -> Result[str, CommandError]:
        if response.status == MISDIRECTED_STATUS:
            return Failure(ServerMismatchError())
        if response.status != OK_STATUS:
            return Failure(CommandError(f"release failed with status {response.status}", True))
        handover = self.codec.decode_handover(response)
        self.handovers.append(handover)
        return Success(handover)

    def _is_response_to(self, response: HttpResponse, command_id: str, is_release: bool) -> bool:
        named_id = self.codec.decode_command_id(response)
        if named_id or self.echoes_ids:
            self.echoes_ids = True
            return named_id == command_id
        if response.status != OK_STATUS:
            return True
        handover = self.codec.decode_handover(response)
        if is_release:
            return bool(handover) and handover not in self.handovers
        return not handover

    def _send(
        self, command: EncodedCommand, command_id: str, deadline: float, is_release: bool
    ) -> Result[HttpResponse, CommandError]:
        encoded = encode_request(command.method, command.target, command.headers, command.body)
        try:
            return Success(
                self.connection.exchange(
                    encoded,
                    command.method,
                    deadline,
                    lambda response: self._is_response_to(response, command_id, is_release),
                )
            )
        except ExchangeError as error:
            return Failure(CommandError(str(error), not isinstance(error, NotSentError)))
