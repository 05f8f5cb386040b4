"""Rate limit on this daemon's requests to a cold server, that is, one that is still warming up."""

from fireflylink_decisions.limits._fleet_position import FleetPosition
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

COLD_WINDOW_SECONDS = 1.5
"""Window in which this daemon counts the requests that it sends. The limit is for the requests that
reach the server in any second. The window is longer, because a request that waits for a new
connection to a slow server arrives late, less than a second before one that was sent later."""

LISTED_DAEMONS_FRACTION = 0.85
"""Fraction of the limit that the daemons listed in the store share. The rest is left for a daemon
that is cut off from the store and no longer listed, but still sends its former share."""


class ColdLimit:
    """How many requests the listed daemons together may send to one cold server of a service.

    From all daemons together, the server may get ``requests_per_second`` times ``factor`` plus
    ``extra`` requests in any second. ``max_requests`` is the fraction of it that the listed daemons
    share. They keep to it in any ``COLD_WINDOW_SECONDS``.
    """

    __slots__ = ("max_requests",)

    def __init__(self, requests_per_second: float, factor: float, extra: float) -> None:
        self.max_requests = (requests_per_second * factor + extra) * LISTED_DAEMONS_FRACTION


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
        """Counts a request that is sent to the server, retries included."""
        self.sent.add(now)

    def is_cold(self, now: float) -> bool:
        """Whether the server is marked as cold."""
        return now < self.cold_until

    def available_at(
        self,
        now: float,
        limit: ColdLimit,
        position: FleetPosition,
        server_id: str,
        assume_cold: bool,
    ) -> float:
        """Returns when the next request may be sent.

        With ``assume_cold`` the limit applies also to a server that is not marked as cold, because
        this daemon could not have learned that it has turned cold.
        """
        if now >= self.cold_until and not assume_cold:
            return now
        share = position.whole_share(limit.max_requests, server_id)
        within_share_at = self.sent.available_at(now, share)
        return within_share_at if assume_cold else min(self.cold_until, within_share_at)
