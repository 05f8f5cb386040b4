"""How many requests a cold server may get from this daemon."""

from fireflylink_decisions.limits._share import FleetPosition
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

COLD_WINDOW_SECONDS = 1.5
"""Longer than the second of the bound: a request that waits for a new connection to a slow server
arrives closer to the next one than it left."""

SAFE_PART = 0.85
"""The rest is for a daemon that is cut off and not listed any more, but goes on with its share."""


class ColdLimit:
    """What one cold server of a service bears from all daemons in any second."""

    __slots__ = ("max_requests",)

    def __init__(self, requests_per_second: float, factor: float, extra: float) -> None:
        self.max_requests = (requests_per_second * factor + extra) * SAFE_PART


class ColdServerLimiter:
    """Keeps this daemon's requests to one server within its share while the server is cold.

    Every request is counted, also while the server is warm: the window that a server turns cold in
    begins before that is known.
    """

    __slots__ = ("cold_until", "sent")

    def __init__(self) -> None:
        self.cold_until = 0.0
        self.sent = SlidingWindowCounter(COLD_WINDOW_SECONDS)

    def mark_cold(self, until: float) -> None:
        """Takes the server for cold until a moment, or longer if that is known already."""
        self.cold_until = max(self.cold_until, until)

    def record_sent(self, now: float) -> None:
        """Counts a request, a probe or a retry."""
        self.sent.add(now)

    def is_cold(self, now: float) -> bool:
        """Whether the limit applies."""
        return now < self.cold_until

    def available_at(
        self, now: float, limit: ColdLimit, position: FleetPosition, server: str, assume_cold: bool
    ) -> float:
        """Returns when the next request may be sent.

        ``assume_cold`` tells that a server that turned cold would not be known to this daemon.
        """
        if now >= self.cold_until and not assume_cold:
            return now
        share = position.share(limit.max_requests, server)
        room_at = self.sent.available_at(now, share)
        return room_at if assume_cold else min(self.cold_until, room_at)
