"""How requests and replies are spelled towards callers."""

import abc

from fireflylink_caller_frontend._errors import RefusedRequestError
from fireflylink_core import BaseReply, CallerRequest, Headers


class ReceivedRequest:
    """A request as it arrived: not yet read in terms of the product."""

    __slots__ = ("body", "headers", "method", "received_at", "target")

    def __init__(
        self, method: str, target: str, headers: Headers, body: bytes, received_at: float
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at


class EncodedReply:
    """A reply as it is sent."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BaseCallerCodec(abc.ABC):
    """Translates requests and replies; it decides nothing."""

    __slots__ = ()

    @abc.abstractmethod
    def decode_request(self, received: ReceivedRequest) -> CallerRequest:
        """Returns the request; raises ``RefusedRequestError`` when it is malformed."""

    @abc.abstractmethod
    def encode_reply(self, request_id: str, reply: BaseReply) -> EncodedReply:
        """Returns what the caller is sent."""

    def encode_refusal(self, error: RefusedRequestError) -> EncodedReply:
        """Returns what the caller of a malformed request is sent."""
        return EncodedReply(error.status, (("Content-Type", "text/plain"),), str(error).encode())
