"""Strict check of the header block of a request, in the form that pywsgi's handler expects.

The stand-in refuses what pywsgi would accept, so that a client that sends malformed or repeated
headers is noticed in tests.
"""

from typing import Any, BinaryIO

MAX_HEADER_LINES = 200
MAX_LINE_BYTES = 8192
LINE_ENDS = (b"\r\n", b"\n", b"")


class RequestHeaders:
    """Headers by lower-case name, and the raw lines. Raises ValueError on malformed lines."""

    __slots__ = ("fields", "headers", "status")

    def __init__(self, stream: BinaryIO) -> None:
        self.status = ""
        self.headers: list[str] = []
        self.fields: dict[str, str] = {}
        while (line := stream.readline(MAX_LINE_BYTES)) not in LINE_ENDS:
            self._add(line.decode("latin-1"))

    def _add(self, line: str) -> None:
        name, colon, value = line.partition(":")
        name = name.lower()
        malformed = not colon or " " in name or "\t" in name or not line.endswith("\n")
        if malformed or name in self.fields or len(self.headers) >= MAX_HEADER_LINES:
            raise ValueError("malformed header")
        self.headers.append(line)
        self.fields[name] = value.strip()

    @property
    def typeheader(self) -> str | None:
        """The content type."""
        return self.fields.get("content-type")

    def get(self, name: str, default: Any = None) -> Any:
        """Returns a header by its name in any case."""
        return self.fields.get(name.lower(), default)

    getheader = get

    def __delitem__(self, name: str) -> None:
        del self.fields[name.lower()]
