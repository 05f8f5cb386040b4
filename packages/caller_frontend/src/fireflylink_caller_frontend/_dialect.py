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


class SentReply:
    """A reply as it is sent."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BaseCallerDialect(abc.ABC):
    """Translates requests and replies; it decides nothing."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self, received: ReceivedRequest) -> CallerRequest:
        """Returns the request; raises ``RefusedRequestError`` when it is malformed."""

    @abc.abstractmethod
    def write(self, request_id: str, reply: BaseReply) -> SentReply:
        """Returns what the caller is sent."""

    def refuse(self, error: RefusedRequestError) -> SentReply:
        """Returns what the caller of a malformed request is sent."""
        return SentReply(error.status, (("Content-Type", "text/plain"),), str(error).encode())
