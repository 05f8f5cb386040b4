"""Strict reading of the body of a request."""

import re

from gevent.pywsgi import Input

from fireflylink_caller_frontend._request_head import (
    LINE_END,
    MalformedRequestError,
    decode_fields,
    read_field_lines,
)

CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t -~\x80-\xff]*)?\r\n")
MAX_CHUNK_LINE_BYTES = 8192
MAX_TRAILER_BYTES = 16_384
FRAMING_FIELDS = frozenset({"content-length", "host", "transfer-encoding"})
"""Fields that decide where a request ends or goes to, which come too late in a trailer."""


class MalformedBodyError(OSError):
    """A body that is not read on; the text is a reason without bytes of the caller.

    gevent's server passes over errors of this base class while it discards the rest of a body.
    """


class RequestBody(Input):  # type: ignore[misc]
    """The body of a request, whose chunks are read in one way only.

    gevent's reader takes bare line feeds within extensions and trailers, and trailers without end.
    ``chunk_length`` is the size of the chunk that is being read, 0 behind the last one.
    """

    def _chunked_read(self, length: int | None = None, use_readline: bool = False) -> bytes:
        self._send_100_continue()
        parts: list[bytes] = []
        left = length
        while self.chunk_length != 0 and left != 0:
            if self.position >= self.chunk_length:
                self._begin_chunk()
                continue
            size = self.chunk_length - self.position
            data = self.rfile.read(size if left is None else min(size, left))
            if not data:
                raise self._malformed("the connection ended within a chunk")
            parts.append(data)
            self.position += len(data)
            if left is not None:
                left -= len(data)
            if self.position == self.chunk_length and self.rfile.read(2) != LINE_END:
                raise self._malformed("chunk without its end")
        return b"".join(parts)

    def _begin_chunk(self) -> None:
        match = CHUNK_LINE.fullmatch(self.rfile.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise self._malformed("line that is no size of a chunk")
        self.chunk_length = int(match[1], 16)
        self.position = 0
        if self.chunk_length:
            return
        try:
            fields = decode_fields(read_field_lines(self.rfile, MAX_TRAILER_BYTES))
        except MalformedRequestError as error:
            raise self._malformed(f"trailer: {error}") from error
        if any(name.lower() in FRAMING_FIELDS for name, _ in fields):
            raise self._malformed("trailer that names a length, a coding or a host")

    def _malformed(self, reason: str) -> MalformedBodyError:
        # What is left is not read: where it ends is not known.
        self._chunked_input_error = True
        self.chunk_length = 0
        return MalformedBodyError(reason)
