"""Incremental reading of one HTTP response with the parser of geventhttpclient."""

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPResponse

from fireflylink_core import MAX_ANSWER_BYTES, BaseFireflylinkError

MAX_DECIMAL_DIGITS = 18
FIRST_FINAL_STATUS = 200


class MalformedResponseError(BaseFireflylinkError):
    """The bytes received are not a response that the contract allows."""


class OversizeResponseError(BaseFireflylinkError):
    """The response has a body over ``MAX_ANSWER_BYTES``."""


class _Parser(HTTPResponse):
    """Notes what the parser of the library meets besides the response itself."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.excess = False

    def _on_message_begin(self) -> None:
        if self.message_complete:
            self.excess = True
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

    __slots__ = ("_parser", "begun")

    def __init__(self, method: str) -> None:
        self._parser: Any = _Parser(method)
        self.begun = False

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
        if self.complete:
            self._check()

<<<<<<< HEAD
    def _check(self) -> None:
        if decimal_of(self.header("content-length")) is None:
=======
    def _finish(self) -> None:
        surplus = self.received - self.expected
        self.body = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        if surplus:
            self.body = self.body[: self.expected]
        self.complete = True
        self.reusable = not surplus and self.fields.get("connection", "").lower() != "close"

    def _take_head(self) -> bool:
        head, end, rest = self.head.partition(HEAD_END)
        if not end:
            if len(head) > MAX_HEAD_BYTES:
                raise MalformedResponseError("head exceeds the limit")
            return False
        lines = head.decode("latin-1").split("\r\n")
        if head.count(b"\n") != len(lines) - 1:
            raise MalformedResponseError("a line of the head does not end with CRLF")
        self.status = _status_of(lines[0])
        fields = self.fields
        for index in range(1, len(lines)):
            name, colon, value = lines[index].partition(":")
            if not colon or " " in name or "\t" in name:
                raise MalformedResponseError("a line of the head is not a header")
            name = name.lower()
            if name in fields:
                raise MalformedResponseError(f"header {name} occurs twice")
            fields[name] = value.strip()
        self.expected = self._body_length()
        self.parts.append(rest)
        self.received = len(rest)
        return True

    def _body_length(self) -> int:
        length = decimal_of(self.fields.get("content-length", ""))
        if length is None:
>>>>>>> standins
            raise MalformedResponseError("no valid Content-Length")
        if self.status < FIRST_FINAL_STATUS:
            raise MalformedResponseError(f"status {self.status} is not a final one")


def decimal_of(text: str) -> int | None:
    """Returns the number that a header value holds, None when it is not a plain decimal one."""
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DECIMAL_DIGITS:
        return None
    return int(text)
