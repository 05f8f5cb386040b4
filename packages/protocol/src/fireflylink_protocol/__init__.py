"""The protocol between daemons: typed control messages over gRPC."""

from fireflylink_protocol._channel import PeerChannel
from fireflylink_protocol._codec import (
    decode_endorse_reply,
    decode_endorse_request,
    decode_handover_reply,
    decode_handover_request,
    decode_sync_reply,
    decode_sync_request,
    encode_endorse_reply,
    encode_endorse_request,
    encode_handover_reply,
    encode_handover_request,
    encode_sync_reply,
    encode_sync_request,
)
from fireflylink_protocol._credentials import PeerCredentials
from fireflylink_protocol._errors import PeerError
from fireflylink_protocol._server import BaseControlHandler, ControlServer

__all__ = [
    "BaseControlHandler",
    "ControlServer",
    "PeerChannel",
    "PeerCredentials",
    "PeerError",
    "decode_endorse_reply",
    "decode_endorse_request",
    "decode_handover_reply",
    "decode_handover_request",
    "decode_sync_reply",
    "decode_sync_request",
    "encode_endorse_reply",
    "encode_endorse_request",
    "encode_handover_reply",
    "encode_handover_request",
    "encode_sync_reply",
    "encode_sync_request",
]
