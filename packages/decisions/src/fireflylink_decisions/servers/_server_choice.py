"""Which of several servers gets a request, and whether one server has room."""

from fireflylink_decisions.limits import ColdLimit, FleetPosition
from fireflylink_decisions.servers._server_tracker import ServerTracker

MAX_REQUESTS_PER_SLOT = 2.5
"""A server is given at most this many requests a slot; more would wait at the daemon."""

MAX_LOW_PRIORITY_REQUESTS_PER_SLOT = 1.5
"""The same for requests beside which more urgent ones come: a server's queue knows no priority."""

DISTANCE_SECONDS = 0.08
"""What a server in another data centre must be faster by, for the price of the bytes."""

FAILURE_SECONDS = 0.6
"""What a certain failure counts as, in seconds of latency."""

CONNECTION_SAFE_PART = 0.8
DEAD_AFTER_FAILURES = 2
DEAD_RETRY_SECONDS = 0.5


class ServiceLimits:
    """Limits of one service's servers, and this daemon's place among the others.

    ``assume_cold`` tells that the store does not answer this daemon: a server may have turned cold,
    or a data centre may have been taken back with cold servers, without its knowing.
    """

    __slots__ = ("assume_cold", "cold_limit", "connection_limit", "data_centre", "position")

    def __init__(
        self,
        cold_limit: ColdLimit,
        connection_limit: int,
        position: FleetPosition,
        data_centre: str,
        assume_cold: bool = False,
    ) -> None:
        self.assume_cold = assume_cold
        self.cold_limit = cold_limit
        self.connection_limit = connection_limit
        self.position = position
        self.data_centre = data_centre

    @property
    def connection_share(self) -> int:
        """How many connections this daemon may open to one server."""
        return max(1, int(self.position.fraction(self.connection_limit) * CONNECTION_SAFE_PART))


def available_at(
    tracker: ServerTracker,
    limits: ServiceLimits,
    now: float,
    max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT,
) -> float | None:
    """Returns when a server may be given one more request; None until another one ends.

    ``max_requests_per_slot`` is how many requests a slot the server may hold with it.
    """
    if tracker.in_flight >= limits.connection_share:
        return None
    if tracker.expected_load(now) + 1.0 > tracker.server.slots * max_requests_per_slot:
        return None
    server_id = tracker.server.server_id
    open_at = tracker.cold_limiter.available_at(
        now, limits.cold_limit, limits.position, server_id, limits.assume_cold
    )
    if is_unresponsive(tracker):
        open_at = max(open_at, tracker.failure_rate_at + DEAD_RETRY_SECONDS)
    return open_at


def is_unresponsive(tracker: ServerTracker) -> bool:
    """Whether a server has answered none of the last requests."""
    return tracker.consecutive_no_responses >= DEAD_AFTER_FAILURES


def cost_seconds(tracker: ServerTracker, limits: ServiceLimits, now: float) -> float:
    """Returns the expected time of one more request, with distance and failures counted in."""
    distant = tracker.server.data_centre != limits.data_centre
    return (
        tracker.expected_seconds(now)
        + tracker.decayed_failure_rate(now) * FAILURE_SECONDS
        + (DISTANCE_SECONDS if distant else 0.0)
    )


def choose_server(
    candidates: list[ServerTracker],
    limits: ServiceLimits,
    now: float,
    tried_servers: frozenset[str],
    max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT,
) -> ServerTracker | None:
    """Returns the server with the least cost among those with room now, None without one.

    Servers that were tried for the request are taken only when there is no other.
    """
    open_now = [
        tracker for tracker in candidates if _has_room(tracker, limits, now, max_requests_per_slot)
    ]
    untried = [tracker for tracker in open_now if tracker.server.server_id not in tried_servers]
    choices = untried or open_now
    if not choices:
        return None
    return min(choices, key=lambda tracker: cost_seconds(tracker, limits, now))


def _has_room(tracker: ServerTracker, limits: ServiceLimits, now: float, depth: float) -> bool:
    open_at = available_at(tracker, limits, now, depth)
    return open_at is not None and open_at <= now
