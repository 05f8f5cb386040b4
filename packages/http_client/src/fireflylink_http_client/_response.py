"""Incremental reading of HTTP responses with the parser of geventhttpclient."""

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPResponse

from fireflylink_core import Headers

FIRST_FINAL_STATUS = 200
KEEP_ALIVE_TIMEOUT = "timeout="


class HttpResponse:
    """One whole response.

    ``closes_connection`` tells that the peer ends the connection after it.
    """

    __slots__ = ("_index", "body", "closes_connection", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes, closes_connection: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.closes_connection = closes_connection
        self._index = {name.lower(): value for name, value in headers}

    def header(self, name: str) -> str:
        """Returns the value of a header, empty when it is absent."""
        return self._index.get(name.lower(), "")

    @property
    def keep_alive_seconds(self) -> int | None:
        """How long the peer keeps the connection open while it is idle, if it says so."""
        for part in self.header("keep-alive").split(","):
            text = part.strip().lower()
            if text.startswith(KEEP_ALIVE_TIMEOUT):
                number = text.removeprefix(KEEP_ALIVE_TIMEOUT)
                return int(number) if number.isascii() and number.isdecimal() else None
        return None


class _Parser(HTTPResponse):
    """Collects every final response in the bytes of a connection, one after the other."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.responses: list[HttpResponse] = []

    def _on_message_begin(self) -> None:
        super()._on_message_begin()
        self._body_buffer = bytearray()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.responses.append(self.collect(not self.should_keep_alive()))

    def collect(self, last: bool) -> HttpResponse:
        """Returns the response that has been read so far."""
        headers = tuple((name, value) for name, value in self.items())
        return HttpResponse(self.get_code(), headers, bytes(self._body_buffer), last)


class ResponseReader:
    """Reads the responses that arrive on a connection after a request of the given method.

    More than one may arrive: a server can send a late second answer to an earlier request. Bytes
    that are no response make ``malformed`` true; the whole responses before them stay valid.
    """

    __slots__ = ("_parser", "_taken", "malformed", "started")

    def __init__(self, method: str) -> None:
        self._parser: Any = _Parser(method)
        self._taken = 0
        self.started = False
        self.malformed = False

    @property
    def has_excess(self) -> bool:
        """Whether more has arrived than the responses that were taken."""
        parser = self._parser
        return bool(
            self.malformed or self._taken < len(parser.responses) or not parser.message_complete
        )

    def feed(self, data: bytes) -> None:
        """Takes received bytes."""
        self.started = True
        try:
            self._parser.feed(data)
        except (HTTPParseError, UnicodeDecodeError):
            self.malformed = True

    def next_response(self) -> HttpResponse | None:
        """Returns the next whole response, None while there is none."""
        responses = self._parser.responses
        if self._taken >= len(responses):
            return None
        response: HttpResponse = responses[self._taken]
        self._taken += 1
        return response

    def finish(self) -> HttpResponse | None:
        """Returns the response that the orderly end of the connection completes, if any."""
        parser = self._parser
        if self.malformed or not parser.headers_complete or parser.message_complete:
            return None
        if parser.get("content-length") is not None or parser.get("transfer-encoding") is not None:
            return None
        response: HttpResponse = parser.collect(True)
        return response
