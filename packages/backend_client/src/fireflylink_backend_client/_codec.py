"""Encoding of requests and commands to backend servers, and decoding of their responses."""

import abc

from fireflylink_core import (
    CallerRequest,
    Headers,
    KeyRange,
    ServerAnswer,
    ServerLoad,
    ServerNotice,
)
from fireflylink_http_client import HttpResponse


class EncodedCommand:
    """An HTTP request that carries a command of the daemon to a server.

    ``target`` is the path in the request line.
    """

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method: str, target: str, headers: Headers = (), body: bytes = b"") -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class BaseServerCodec(abc.ABC):
    """Encodes requests and commands, and decodes responses; contains no routing decisions."""

    __slots__ = ()

    @abc.abstractmethod
    def request_headers(
        self, request: CallerRequest, server_id: str, remaining_seconds: float
    ) -> Headers:
        """Returns the headers of a request that only the server ``server_id`` may run."""

    @abc.abstractmethod
    def is_response_to(self, response: HttpResponse, request_id: str) -> bool:
        """Whether the response belongs to the request ``request_id`` and not to an earlier one."""

    @abc.abstractmethod
    def is_declined(self, response: HttpResponse, request_id: str) -> bool:
        """Whether the server states that it did not run the request ``request_id``.

        A response that does not name the request states nothing: it may be a refusal of an earlier
        request on the connection that was written once more.
        """

    @abc.abstractmethod
    def is_misdirected(self, response: HttpResponse) -> bool:
        """Whether the server declined because it has another id or does not hold the key."""

    @abc.abstractmethod
    def decode_answer(self, response: HttpResponse, request_id: str) -> ServerAnswer | None:
        """Returns the answer to pass to the caller of the request ``request_id``.

        Returns None if the response does not name the request, or does not prove that the server
        itself produced its body.
        """

    @abc.abstractmethod
    def decode_load(self, response: HttpResponse) -> ServerLoad | None:
        """Returns the load that the server reported, or None if it reported none."""

    @abc.abstractmethod
    def decode_notice(
        self, response: HttpResponse, request_id: str, now: float
    ) -> ServerNotice | None:
        """Returns what the server announced with its answer to the request ``request_id``.

        Returns None if it announced nothing, or if the response does not name the request or may
        come from another server that uses the address now. A pause counts from ``now``.
        """

    @abc.abstractmethod
    def encode_grant(
        self,
        server_id: str,
        keys: KeyRange,
        fence: int,
        hold_seconds: float,
        handover: str,
        command_id: str,
    ) -> EncodedCommand:
        """Returns the command that grants or renews keys; only ``server_id`` may run it."""

    @abc.abstractmethod
    def encode_release(
        self, server_id: str, keys: KeyRange, fence: int, command_id: str
    ) -> EncodedCommand:
        """Returns the command that makes ``server_id`` release keys.

        ``fence`` is that of the next holder's assignment.
        """

    @abc.abstractmethod
    def decode_command_id(self, response: HttpResponse) -> str:
        """Returns the id of the command that a response names, or an empty string."""

    @abc.abstractmethod
    def decode_handover(self, response: HttpResponse) -> str:
        """Returns the handover token of the response to a release, or an empty string."""
