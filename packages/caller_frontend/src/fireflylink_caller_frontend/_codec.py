"""Decoding of the requests of callers, and encoding of the replies to them."""

import abc

from fireflylink_core import BaseReply, CallerRequest, Headers


class ReceivedRequest:
    """An HTTP request as it was received, before the codec decodes it.

    ``received_at`` is in seconds on the daemon's clock.
    """

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
    """The HTTP form of a reply."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BaseCallerCodec(abc.ABC):
    """Decodes requests and encodes replies; contains no routing decisions."""

    __slots__ = ()

    @abc.abstractmethod
    def decode_request(self, received: ReceivedRequest) -> CallerRequest:
        """Returns the decoded request; raises ``RefusedRequestError`` if it is malformed."""

    @abc.abstractmethod
    def encode_reply(self, request_id: str, reply: BaseReply) -> EncodedReply:
        """Returns the HTTP form of the reply to a request.

        ``request_id`` is empty if the request was refused before it was decoded.
        """
