"""Rate limit on the requests that this daemon sends to a cold server."""

from fireflylink_decisions.limits._fleet_position import FleetPosition
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

COLD_WINDOW_SECONDS = 1.5
"""Longer than the one second of the limit: a request that first waits for a new connection to a
slow server is delayed, and arrives closer to the next request than it was sent."""

SAFETY_FACTOR = 0.85
"""Fraction of the limit that the listed daemons share. The rest is left for a daemon that is cut
off from the store and no longer listed, but still sends its former share."""


class ColdLimit:
    """The most requests that a cold server of a service may get from all daemons in any second."""

    __slots__ = ("max_requests",)

    def __init__(self, requests_per_second: float, factor: float, extra: float) -> None:
        self.max_requests = (requests_per_second * factor + extra) * SAFETY_FACTOR


class ColdServerLimiter:
    """Keeps this daemon's requests to one server within its share while the server is cold.

    Requests are counted also while the server is warm: when the daemon learns that a server has
    turned cold, the current window already contains requests.
    """

    __slots__ = ("cold_until", "sent")

    def __init__(self) -> None:
        self.cold_until = 0.0
        self.sent = SlidingWindowCounter(COLD_WINDOW_SECONDS)

    def mark_cold(self, until: float) -> None:
        """Marks the server as cold until the given time; never shortens a later end."""
        self.cold_until = max(self.cold_until, until)

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent to the server, probes and retries included."""
        self.sent.add(now)

    def is_cold(self, now: float) -> bool:
        """Whether the server is marked as cold."""
        return now < self.cold_until

    def available_at(
        self, now: float, limit: ColdLimit, position: FleetPosition, server: str, assume_cold: bool
    ) -> float:
        """Returns when the next request may be sent.

        With ``assume_cold`` the limit applies also to a server that is not marked as cold, because
        this daemon could not have learned that it has turned cold.
        """
        if now >= self.cold_until and not assume_cold:
            return now
        share = position.share(limit.max_requests, server)
        within_share_at = self.sent.available_at(now, share)
        return within_share_at if assume_cold else min(self.cold_until, within_share_at)
