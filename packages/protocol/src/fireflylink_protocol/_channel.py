"""The client side of control messages."""

from collections.abc import Callable
from typing import Any, TypeVar

import grpc
from returns.result import Failure, Result, Success

from fireflylink_core import (
    EndorseReply,
    EndorseRequest,
    HandoverReply,
    HandoverRequest,
    Member,
    SyncReply,
    SyncRequest,
)
from fireflylink_protocol import _codec as codec
from fireflylink_protocol._credentials import PeerCredentials
from fireflylink_protocol._errors import PeerError

SERVICE_NAME = "fireflylink.control.Control"
MAX_CONTROL_MESSAGE_BYTES = 4 << 20
# Every daemon's certificate carries this name, because peers are addressed by IP number.
PEER_CERTIFICATE_NAME = "fireflylink"

CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_CONTROL_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_CONTROL_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.lb_policy_name", "pick_first"),
    # Peers are addressed by IP number, so that a proxy setting of the environment is never meant.
    ("grpc.enable_http_proxy", 0),
]

RequestType = TypeVar("RequestType")
ReplyType = TypeVar("ReplyType")


class PeerChannel:
    """A connection to one daemon that carries control messages.

    Example::

        result = channel.sync(request, timeout=0.3)
    """

    __slots__ = ("_channel", "_endorse", "_handover", "_sync", "peer")

    def __init__(self, peer: Member, credentials: PeerCredentials | None) -> None:
        self.peer = peer
        self._channel = _open_channel(f"{peer.host}:{peer.control_port}", credentials)
        self._sync = self._method("Sync", codec.encode_sync_request, codec.decode_sync_reply)
        self._endorse = self._method(
            "Endorse", codec.encode_endorse_request, codec.decode_endorse_reply
        )
        self._handover = self._method(
            "Handover", codec.encode_handover_request, codec.decode_handover_reply
        )

    def _method(
        self,
        name: str,
        encode: Callable[[RequestType], bytes],
        decode: Callable[[bytes], ReplyType],
    ) -> Callable[..., ReplyType]:
        method: Callable[..., ReplyType] = self._channel.unary_unary(
            f"/{SERVICE_NAME}/{name}", request_serializer=encode, response_deserializer=decode
        )
        return method

    def sync(self, request: SyncRequest, timeout: float) -> Result[SyncReply, PeerError]:
        """Sends a sync request; ``timeout`` is in seconds."""
        return self._call("sync", self._sync, request, timeout)

    def endorse(self, request: EndorseRequest, timeout: float) -> Result[EndorseReply, PeerError]:
        """Asks for an endorsement; ``timeout`` is in seconds."""
        return self._call("endorse", self._endorse, request, timeout)

    def handover(
        self, request: HandoverRequest, timeout: float
    ) -> Result[HandoverReply, PeerError]:
        """Tells a new gateway that shards were released; ``timeout`` is in seconds."""
        return self._call("handover", self._handover, request, timeout)

    def _call(
        self,
        operation: str,
        method: Callable[..., ReplyType],
        request: Any,
        timeout: float,
    ) -> Result[ReplyType, PeerError]:
        try:
            return Success(method(request, timeout=timeout))
        except grpc.RpcError as error:
            return Failure(PeerError(self.peer.instance_id, operation, str(error.code())))
        except ValueError as error:
            # grpcio raises ValueError for a call on a channel that was closed meanwhile.
            return Failure(PeerError(self.peer.instance_id, operation, str(error)))

    def close(self) -> None:
        """Closes the connection; calls in progress fail."""
        self._channel.close()


def _open_channel(address: str, credentials: PeerCredentials | None) -> Any:
    if credentials is None:
        return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
    channel_credentials = grpc.ssl_channel_credentials(
        root_certificates=credentials.authority,
        private_key=credentials.private_key,
        certificate_chain=credentials.certificate,
    )
    options = [*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", PEER_CERTIFICATE_NAME)]
    return grpc.secure_channel(address, channel_credentials, options=options)
