"""Incremental parsing of HTTP responses with the parser of geventhttpclient."""

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPResponse

from fireflylink_core import Headers, MemoryReservation

FIRST_FINAL_STATUS = 200
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Limit on the bodies of all responses to one request. The largest are pages of the store, of about
1 MB."""

MAX_FRAMING_BYTES = 64 * 1024
"""Limit on what arrives besides bodies: heads, interim responses, chunk sizes. A peer in trouble
may send them without end."""

MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
"""Added to that limit for each byte of a body, which may arrive in chunks of one byte."""

MAX_STEPS = 8192
"""Limit on header fields, pieces of bodies and responses, which are what parsing costs. An answer
of 8 kB may arrive in chunks of one byte."""

MAX_FIELDS = 1000
"""Limit on header fields and responses that are kept: each takes some hundred bytes of memory,
however short it is."""

BODY_BYTES_PER_STEP = 256
"""A step is added to that limit for so many bytes of bodies: larger ones have larger pieces."""

FIRST_READ_BYTES = 2048
"""Bytes that are read first, when nothing is known of an answer. A hundred answers in small pieces
may begin at once, and the first read needs no turn."""

MIN_READ_BYTES = 8192
MAX_READ_BYTES = 65536
"""Bytes that are read at once afterwards. Only input in large pieces is read in large amounts:
64 KiB of it are parsed in 0.02 ms, 64 KiB of fields or chunks of two bytes in 10 to 40 ms."""

LARGE_PIECES_STEPS = 16
"""A read with so few steps brought large pieces."""

KEEP_ALIVE_TIMEOUT_PREFIX = "timeout="
MAX_TIMEOUT_DIGITS = 9
"""Numbers of thousands of digits can be converted neither to an integer nor to a float."""


class HttpResponse:
    """One complete response.

    If ``closes_connection`` is true, the peer closes the connection after this response.
    """

    __slots__ = ("_values_by_name", "body", "closes_connection", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes, closes_connection: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes_connection = closes_connection
        self._values_by_name = {name.lower(): value for name, value in headers}

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string if it is absent."""
        return self._values_by_name.get(name.lower(), "")

    @property
    def keep_alive_seconds(self) -> int | None:
        """Idle time-out that the peer states in its Keep-Alive header, or None."""
        for item in self.header("keep-alive").split(","):
            parameter = item.strip().lower()
            if parameter.startswith(KEEP_ALIVE_TIMEOUT_PREFIX):
                number = parameter.removeprefix(KEEP_ALIVE_TIMEOUT_PREFIX)
                is_number = number.isascii() and number.isdecimal()
                return int(number) if is_number and len(number) <= MAX_TIMEOUT_DIGITS else None
        return None


class _Parser(HTTPResponse):
    """Collects the final responses on a connection in their order; 1xx responses are dropped."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.responses: list[HttpResponse] = []
        self.body_bytes = 0
        self.steps = 0
        self.fields = 0

    def _on_message_begin(self) -> None:
        super()._on_message_begin()
        self.steps += 1
        self.fields += 1
        self._body_buffer = bytearray()

    def _on_header_field(self, string: str) -> None:
        self.steps += 1
        self.fields += 1
        super()._on_header_field(string)

    def _on_body(self, buf: Any) -> None:
        self.steps += 1
        self.body_bytes += len(buf)
        self._body_buffer += buf

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.responses.append(self.build_response(not self.should_keep_alive()))

    def build_response(self, closes_connection: bool) -> HttpResponse:
        """Returns a response made of the headers and the body bytes parsed so far."""
        headers = tuple((name, value) for name, value in self.items())
        return HttpResponse(self.get_code(), headers, bytes(self._body_buffer), closes_connection)


class ResponseReader:
    """Parses the responses that arrive on a connection after a request of the given method.

    More than one may arrive, because a server can send a late second response to an earlier
    request. ``started`` is true once any byte was received. Bytes that are not valid HTTP set
    ``malformed``; complete responses before them stay valid. So do bytes beyond the limits of this
    module, or for which ``reservation`` has no memory: after them no more bytes are kept.
    ``last_steps`` is what the last bytes have cost.
    """

    __slots__ = (
        "_parser",
        "_returned_count",
        "fed_bytes",
        "last_steps",
        "malformed",
        "reservation",
        "started",
    )

    def __init__(self, method: str, reservation: MemoryReservation | None = None) -> None:
        self.reservation = reservation
        self._parser: Any = _Parser(method)
        self._returned_count = 0
        self.started = False
        self.malformed = False
        self.fed_bytes = 0
        self.last_steps = 0

    @property
    def next_read_bytes(self) -> int:
        """How many bytes to read and feed next, so that parsing them takes a few milliseconds."""
        if not self.started:
            return FIRST_READ_BYTES
        is_large = self.last_steps <= LARGE_PIECES_STEPS
        return MAX_READ_BYTES if is_large else MIN_READ_BYTES

    @property
    def has_excess(self) -> bool:
        """Whether anything has arrived beyond the responses that ``next_response`` returned."""
        parser = self._parser
        return bool(
            self.malformed
            or self._returned_count < len(parser.responses)
            or not parser.message_complete
        )

    def feed(self, data: bytes) -> None:
        """Parses received bytes."""
        self.started = True
        if self.malformed:
            return
        self.fed_bytes += len(data)
        steps_before = self._parser.steps
        try:
            self._parser.feed(data)
        except (HTTPParseError, UnicodeDecodeError):
            self.malformed = True
        self.last_steps = self._parser.steps - steps_before
        body_bytes = self._parser.body_bytes
        step_limit = MAX_STEPS + body_bytes // BODY_BYTES_PER_STEP
        framing_limit = MAX_FRAMING_BYTES + body_bytes * MAX_FRAMING_BYTES_PER_BODY_BYTE
        if (
            body_bytes > MAX_BODY_BYTES
            or self.fed_bytes - body_bytes > framing_limit
            or self._parser.steps > step_limit
            or self._parser.fields > MAX_FIELDS
            or not self._has_memory(body_bytes)
        ):
            self.malformed = True

    def _has_memory(self, body_bytes: int) -> bool:
        return self.reservation is None or self.reservation.extend_to(body_bytes)

    def next_response(self) -> HttpResponse | None:
        """Returns the next complete response, or None if there is none yet."""
        responses = self._parser.responses
        if self._returned_count >= len(responses):
            return None
        response: HttpResponse = responses[self._returned_count]
        self._returned_count += 1
        return response

    def finish(self) -> HttpResponse | None:
        """Returns the response whose body the peer ended by closing the connection, or None.

        Only a response without Content-Length and Transfer-Encoding has such a body.
        """
        parser = self._parser
        if self.malformed or not parser.headers_complete or parser.message_complete:
            return None
        if parser.get("content-length") is not None or parser.get("transfer-encoding") is not None:
            return None
        response: HttpResponse = parser.build_response(True)
        return response
