"""Strict reading of the head of a request.

A head is refused unless it has one meaning: a lenient reading finds another end of a request than
its sender or a server, and bytes of its body run as a request of their own. The forms are those of
RFC 9112, without its leave for bare line feeds, folded lines, repeated lengths and empty lines
before a request.
"""

import re
from collections.abc import Iterator
from typing import Any

from fireflylink_core import BaseValue

REQUEST_LINE = re.compile(
    r"([!#$%&'*+.^_`|~0-9A-Za-z-]+) (/[!\"$-~]*) (HTTP/1\.[01])\r\n", re.ASCII
)
"""The target is a path: this is neither a proxy nor a server of ``OPTIONS *``."""

FIELD = re.compile(r"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)\r\n")
HOST = re.compile(r"[!$&-.0-;=A-Z\[\]_a-z~%]*")
LENGTH = re.compile(r"[0-9]{1,18}")
SPACE = " \t"
LINE_END = b"\r\n"


class MalformedRequestError(ValueError):
    """A request that is not read on; the text is a reason without bytes of the caller."""


class HeadTooLargeError(MalformedRequestError):
    """The request line and the fields together exceed the limit on header bytes."""


class RequestFields:
    """The header fields of a request, in their order and with their names as received.

    Has what gevent's server asks of headers.
    """

    __slots__ = ("fields", "values")

    def __init__(self, fields: tuple[tuple[str, str], ...]) -> None:
        self.fields = fields
        self.values = {name.lower(): value for name, value in reversed(fields)}

    def items(self) -> tuple[tuple[str, str], ...]:
        return self.fields

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field."""
        return self.values.get(name.lower(), default)

    def getheader(self, name: str) -> str | None:
        return self.get(name)

    @property
    def typeheader(self) -> str | None:
        return self.get("content-type")

    def count(self, name: str) -> int:
        return sum(other.lower() == name for other, _ in self.fields)

    def tokens(self, name: str) -> Iterator[str]:
        """Yields the members of all lists under a name, in small letters."""
        for other, value in self.fields:
            if other.lower() == name:
                yield from (token.strip(SPACE).lower() for token in value.split(","))


class RequestHead(BaseValue):
    """A request line and fields; ``content_length`` is None if the fields do not state one."""

    __slots__ = ("closes", "content_length", "fields", "method", "target", "version")

    def __init__(self, method: str, target: str, version: str, fields: RequestFields) -> None:
        self.method = method
        self.target = target
        self.version = version
        self.fields = fields
        self.content_length = _content_length(version, fields)
        connection = tuple(fields.tokens("connection"))
        self.closes = "close" in connection or (
            version == "HTTP/1.0" and "keep-alive" not in connection
        )


def read_field_lines(stream: Any, max_bytes: int) -> list[bytes]:
    """Returns the lines up to the empty one; keeps not much more than ``max_bytes`` of them."""
    lines: list[bytes] = []
    left = max_bytes
    while (line := stream.readline(left + len(LINE_END))) != LINE_END:
        left -= len(line)
        if left < 0:
            raise HeadTooLargeError("fields over the limit on header bytes")
        if not line.endswith(LINE_END):
            raise MalformedRequestError("line of a field without its end")
        lines.append(line)
    return lines


def decode_fields(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Returns the names and values of lines, without the space around values."""
    fields = []
    for line in lines:
        match = FIELD.fullmatch(line.decode("latin-1"))
        if match is None:
            raise MalformedRequestError("line that is no field")
        fields.append((match[1], match[2].strip(SPACE)))
    return tuple(fields)


def decode_head(request_line: str, lines: list[bytes]) -> RequestHead:
    """Returns the head; raises ``MalformedRequestError`` unless it has one meaning.

    Example::

        head = decode_head("GET /a HTTP/1.1\\r\\n", [b"Host: h\\r\\n"])
        assert (head.method, head.target) == ("GET", "/a")
    """
    match = REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise MalformedRequestError("line that is no request line")
    fields = RequestFields(decode_fields(lines))
    # A request without a host hides nothing, so that simple checks of readiness stay served.
    if fields.count("host") > 1:
        raise MalformedRequestError("more than one Host")
    if HOST.fullmatch(fields.get("host", "") or "") is None:
        raise MalformedRequestError("Host that names no host")
    return RequestHead(match[1], match[2], match[3], fields)


def _content_length(version: str, fields: RequestFields) -> int | None:
    encoding = fields.get("transfer-encoding")
    length = fields.get("content-length")
    if encoding is not None:
        if length is not None:
            raise MalformedRequestError("both Transfer-Encoding and Content-Length")
        if version != "HTTP/1.1":
            raise MalformedRequestError("Transfer-Encoding in a version without it")
        if encoding.lower() != "chunked" or fields.count("transfer-encoding") > 1:
            raise MalformedRequestError("unknown Transfer-Encoding")
        return None
    if length is None:
        return None
    if fields.count("content-length") > 1:
        raise MalformedRequestError("more than one Content-Length")
    if LENGTH.fullmatch(length) is None:
        raise MalformedRequestError("Content-Length that is no number")
    return int(length)
