"""Incremental reading of one HTTP response with the parser of geventhttpclient."""

from geventhttpclient.response import HTTPResponse

from fireflylink_core import MAX_ANSWER_BYTES


class ResponseReader(HTTPResponse):
    """Parses the response to one request.

    ``excess`` is set when bytes follow the end of the response: the connection then carries
    something that was not asked for and must not be used again.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.excess = False
        self.too_large = False

    def _on_message_begin(self) -> None:
        if self.message_complete:
            self.excess = True
        super()._on_message_begin()

    def _on_body(self, buf: bytearray) -> None:
        super()._on_body(buf)
        if len(self._body_buffer) > MAX_ANSWER_BYTES:
            self.too_large = True

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another exchange."""
        return not self.excess and not self.should_close()

    def header(self, name: str) -> str:
        """Returns the value of a header, empty when it is absent or not unique."""
        value = self.get(name)
        return value if isinstance(value, str) else ""

    def whole_body(self) -> bytes:
        """Returns the body of a complete response."""
        return bytes(self._body_buffer)
