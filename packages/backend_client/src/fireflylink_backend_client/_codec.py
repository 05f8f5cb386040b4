"""How requests and grants are spelled towards backend servers."""

import abc

from fireflylink_core import CallerRequest, Headers, KeyRange, ServerAnswer, ServerLoad
from fireflylink_http_client import HttpResponse


class EncodedCommand:
    """A request of the daemon's own to a server."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method: str, target: str, headers: Headers = (), body: bytes = b"") -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class BaseServerCodec(abc.ABC):
    """Translates requests, grants and answers; it decides nothing."""

    __slots__ = ()

    @abc.abstractmethod
    def request_headers(
        self, request: CallerRequest, server_id: str, remaining_seconds: float
    ) -> Headers:
        """Returns the headers of a request that only the server ``server_id`` may run."""

    @abc.abstractmethod
    def is_response_to(self, response: HttpResponse, request_id: str) -> bool:
        """Whether the response answers the request, not an earlier one."""

    @abc.abstractmethod
    def is_declined(self, response: HttpResponse) -> bool:
        """Whether the server states that it did not run the request."""

    @abc.abstractmethod
    def is_misdirected(self, response: HttpResponse) -> bool:
        """Whether the server declined because it is another one or does not hold the key."""

    @abc.abstractmethod
    def decode_answer(self, response: HttpResponse) -> ServerAnswer | None:
        """Returns the server's answer for the caller, None when it is not the server's own."""

    @abc.abstractmethod
    def decode_load(self, response: HttpResponse) -> ServerLoad | None:
        """Returns the load that the server reported, if any."""

    @abc.abstractmethod
    def encode_grant(
        self, server_id: str, keys: KeyRange, fence: int, hold_seconds: float, handover: str
    ) -> EncodedCommand:
        """Returns the command that grants or renews keys; only ``server_id`` carries it out."""

    @abc.abstractmethod
    def encode_release(self, server_id: str, keys: KeyRange, fence: int) -> EncodedCommand:
        """Returns the command that takes keys back from ``server_id``."""

    @abc.abstractmethod
    def decode_handover(self, response: HttpResponse) -> str:
        """Returns the token that a release gave, empty when it gave none."""
