"""Deadlines on the clock of a backend server."""

from fireflylink_decisions.authority._timing import CLOCK_DRIFT

MILLISECONDS_PER_SECOND = 1000.0


class ServerClock:
    """Turns local deadlines into deadlines on a server's clock without synchronised clocks.

    A reply carries the server's clock, read before the reply was received here. The server reaches
    that reading plus a span no later than this daemon reaches the receipt plus that span, so the
    converted deadline never lies after the local one.
    """

    __slots__ = ("received", "server_ms")

    def __init__(self) -> None:
        self.server_ms = 0
        self.received = 0.0

    @property
    def known(self) -> bool:
        """Whether the server's clock has been read."""
        return self.received > 0.0

    def observe(self, server_ms: int, received: float) -> None:
        """Takes a reading of the server's clock from a reply received at a local time."""
        self.server_ms = server_ms
        self.received = received

    def deadline_ms(self, local_deadline: float) -> int:
        """Returns the deadline on the server's clock, 0 while the clock is not known."""
        if not self.known:
            return 0
        span = (local_deadline - self.received) * (1 - CLOCK_DRIFT)
        return self.server_ms + int(span * MILLISECONDS_PER_SECOND)
