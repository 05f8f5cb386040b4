"""Ending a call whose caller has left."""

from fireflylink_http_client import HttpConnection


class Cancellation:
    """Lets one greenlet end the call that another one waits for."""

    __slots__ = ("cancelled", "connection")

    def __init__(self) -> None:
        self.cancelled = False
        self.connection: HttpConnection | None = None

    def cancel(self) -> None:
        """Ends the call; the server sees its connection closed and stops its work."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancel()
