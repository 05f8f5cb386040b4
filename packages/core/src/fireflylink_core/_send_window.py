"""The time in which new requests may be sent to a server."""


class SendWindow:
    """When new requests may be sent to one incarnation of a server.

    It is shared by the decisions, which set it, and the connections, which check it right before
    a request is sent. ``opens_at`` and ``closes_at`` are in seconds on the daemon's clock. Until
    ``restricted_until`` the choice of a server has to look at more than its load.
    """

    __slots__ = ("closes_at", "opens_at", "restricted_until")

    def __init__(self) -> None:
        self.opens_at = float("-inf")
        self.closes_at = float("inf")
        self.restricted_until = float("-inf")

    def is_open(self, now: float) -> bool:
        """Whether a new request may be sent."""
        return self.opens_at <= now < self.closes_at

    def close_at(self, time: float) -> None:
        """Closes the window at ``time``; never moves an earlier end."""
        self.closes_at = min(self.closes_at, time)
        self.restricted_until = float("inf")
