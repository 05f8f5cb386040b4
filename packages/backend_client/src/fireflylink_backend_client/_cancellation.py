"""Cancellation of a call after its caller has disconnected."""

from fireflylink_http_client import HttpConnection


class Cancellation:
    """Lets one greenlet cancel a call that another greenlet is waiting for.

    ``connection`` is the connection of the call while it is in progress.
    """

    __slots__ = ("cancelled", "connection")

    def __init__(self) -> None:
        self.cancelled = False
        self.connection: HttpConnection | None = None

    def cancel(self) -> None:
        """Cancels the call; the server sees the connection reset and can stop its work."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.cancel()
