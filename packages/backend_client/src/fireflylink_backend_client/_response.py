"""Incremental reading of one HTTP response with the parser of geventhttpclient."""

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPResponse

from fireflylink_core import MAX_ANSWER_BYTES, BaseFireflylinkError

MAX_DECIMAL_DIGITS = 18
FIRST_FINAL_STATUS = 200
REQUIRED_VERSION = "HTTP/1.1"


class MalformedResponseError(BaseFireflylinkError):
    """The bytes received are not a response that the contract allows."""


class OversizeResponseError(BaseFireflylinkError):
    """The response has a body over ``MAX_ANSWER_BYTES``."""


class _Parser(HTTPResponse):
    """Notes what the parser of the library meets besides the response itself.

    ``body_length`` and ``encoding`` are the headers that frame the body, as the head of the
    response had them.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.excess = False
        self.head_complete = False
        self.body_length: object = None
        self.encoding: object = None

    def _on_headers_complete(self) -> None:
        super()._on_headers_complete()
        if not self.head_complete:
            self.head_complete = True
            self.body_length = self.get("content-length")
            self.encoding = self.get("transfer-encoding")

    def _on_message_begin(self) -> None:
        if self.message_complete:
            self.excess = True
            return
        super()._on_message_begin()

    @property
    def received(self) -> bytearray:
        """The part of the body that has arrived."""
        body: bytearray = self._body_buffer
        return body


class ResponseReader:
    """Collects the response to one request of the given method.

    ``reusable`` tells, once ``complete`` is true, whether the connection may carry another
    exchange: bytes after the end of the response are something that was not asked for. Only what
    the contract of backend servers allows is accepted: one final status and a ``Content-Length``.
    """

    __slots__ = ("_checked", "_parser", "begun")

    def __init__(self, method: str) -> None:
        self._parser: Any = _Parser(method)
        self.begun = False
        self._checked = False

    @property
    def complete(self) -> bool:
        """Whether the whole response was received."""
        return bool(self._parser.message_complete)

    @property
    def status(self) -> int:
        """The status of the response."""
        return int(self._parser.status_code)

    @property
    def body(self) -> bytes:
        """The body of a complete response."""
        return bytes(self._parser.received)

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""
        return not self._parser.excess and not self._parser.should_close()

    def header(self, name: str) -> str:
        """Returns the value of a header, empty when it is absent or not unique."""
        value = self._parser.get(name)
        return value if isinstance(value, str) else ""

    def feed(self, data: bytes) -> None:
        """Takes received bytes; raises when they break the contract."""
        self.begun = True
        try:
            self._parser.feed(data)
        except HTTPParseError as error:
            raise MalformedResponseError(str(error)) from error
        if len(self._parser.received) > MAX_ANSWER_BYTES:
            raise OversizeResponseError("the answer exceeds the limit")
        if self._parser.head_complete and not self._checked:
            self._checked = True
            self._check_head()

    def _check_head(self) -> None:
        length = self._parser.body_length
        if not isinstance(length, str) or decimal_of(length) is None:
            raise MalformedResponseError("no valid Content-Length")
        if self._parser.encoding is not None:
            raise MalformedResponseError("transfer encodings are not allowed")
        if self.status < FIRST_FINAL_STATUS:
            raise MalformedResponseError(f"status {self.status} is not a final one")
        if self._parser.get_http_version() != REQUIRED_VERSION:
            raise MalformedResponseError(f"the version must be {REQUIRED_VERSION}")


def decimal_of(text: str) -> int | None:
    """Returns the number that a header value holds, None when it is not a plain decimal one."""
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DECIMAL_DIGITS:
        return None
    return int(text)
