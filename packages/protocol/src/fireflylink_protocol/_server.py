"""The server side of control messages."""

import abc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

import grpc

from fireflylink_core import (
    EndorseReply,
    EndorseRequest,
    HandoverReply,
    HandoverRequest,
    SyncReply,
    SyncRequest,
)
from fireflylink_protocol import _codec as codec
from fireflylink_protocol._channel import MAX_CONTROL_MESSAGE_BYTES, SERVICE_NAME
from fireflylink_protocol._credentials import PeerCredentials
from fireflylink_protocol._errors import PeerError

# Under gevent each worker is a greenlet; the number bounds the control messages handled at once.
CONTROL_WORKERS = 16
CONCURRENT_CONTROL_CALLS = 256

RequestType = TypeVar("RequestType")
ReplyType = TypeVar("ReplyType")


class BaseControlHandler(abc.ABC):
    """Receives the control messages of other daemons."""

    __slots__ = ()

    @abc.abstractmethod
    def sync(self, request: SyncRequest) -> SyncReply:
        """Answers a child or the root of another data centre."""

    @abc.abstractmethod
    def endorse(self, request: EndorseRequest) -> EndorseReply:
        """Answers as a voter."""

    @abc.abstractmethod
    def handover(self, request: HandoverRequest) -> HandoverReply:
        """Takes shards that their former gateway released."""


class ControlServer:
    """Listens for control messages and passes them to a handler.

    Raises ``PeerError`` when the address cannot be bound.
    """

    __slots__ = ("_server", "port")

    def __init__(
        self,
        host: str,
        port: int,
        handler: BaseControlHandler,
        credentials: PeerCredentials | None,
    ) -> None:
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=CONTROL_WORKERS),
            options=[
                ("grpc.max_receive_message_length", MAX_CONTROL_MESSAGE_BYTES),
                ("grpc.max_send_message_length", MAX_CONTROL_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            ],
            maximum_concurrent_rpcs=CONCURRENT_CONTROL_CALLS,
        )
        methods = {
            "Sync": _unary(handler.sync, codec.decode_sync_request, codec.encode_sync_reply),
            "Endorse": _unary(
                handler.endorse, codec.decode_endorse_request, codec.encode_endorse_reply
            ),
            "Handover": _unary(
                handler.handover, codec.decode_handover_request, codec.encode_handover_reply
            ),
        }
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE_NAME, methods),)
        )
        self.port = self._bind(f"{host}:{port}", credentials)

    def _bind(self, address: str, credentials: PeerCredentials | None) -> int:
        try:
            if credentials is None:
                return int(self._server.add_insecure_port(address))
            server_credentials = grpc.ssl_server_credentials(
                [(credentials.private_key, credentials.certificate)],
                root_certificates=credentials.authority,
                require_client_auth=True,
            )
            return int(self._server.add_secure_port(address, server_credentials))
        except RuntimeError as error:
            raise PeerError(address, "listen", str(error)) from error

    def start(self) -> None:
        """Starts to accept messages."""
        self._server.start()

    def stop(self, grace_seconds: float) -> None:
        """Stops to accept messages and lets those in progress end within the grace period."""
        self._server.stop(grace_seconds).wait()


def _unary(
    handle: Callable[[RequestType], ReplyType],
    decode: Callable[[bytes], RequestType],
    encode: Callable[[ReplyType], bytes],
) -> Any:
    def respond(request: RequestType, _context: grpc.ServicerContext) -> ReplyType:
        return handle(request)

    return grpc.unary_unary_rpc_method_handler(
        respond, request_deserializer=decode, response_serializer=encode
    )
