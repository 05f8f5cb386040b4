"""Choice of the server for a request, and whether a server can be given one now."""

from fireflylink_decisions.limits import ColdLimit, FleetPosition
from fireflylink_decisions.servers._server_tracker import ServerTracker

MAX_REQUESTS_PER_SLOT = 2.5
"""A server is given at most this many requests per slot; further requests queue at the daemon. A
server runs as many requests at the same time as it has slots; the others wait at the server."""

MAX_LOW_PRIORITY_REQUESTS_PER_SLOT = 1.5
"""Limit for a request while more urgent requests arrive too. A server's own queue does not order by
priority, so the difference to ``MAX_REQUESTS_PER_SLOT`` is kept free for the urgent ones."""

MAX_REQUESTS_PER_SLOT_AFTER_PAUSE = 1.0
"""Limit for a server that has recently asked for a pause: it is given no requests to queue."""

CROSS_DATA_CENTRE_COST_SECONDS = 0.08
"""A server in another data centre must be faster by this much, because traffic between data centres
is paid for by the byte."""

NEARBY_TIME_FACTOR = 1.5
"""A server of this daemon's data centre is used, although one elsewhere is faster, if it is
expected to answer within the objective also when it takes this many times as long. An answer that
is sooner still is worth nothing, and traffic between data centres is paid for."""

MAX_USED_FAILURE_RATE = 0.3
"""A server whose failure rate is higher is compared with others that are further away."""

NO_OBJECTIVE = float("-inf")

FAILURE_COST_SECONDS = 0.6
"""Cost of a server whose failure rate is 1; a lower rate costs proportionally less."""

USABLE_CONNECTION_FRACTION = 0.8
"""Fraction of its share of a server's connections that this daemon uses. A server resets
connections beyond its limit for all daemons together."""

UNRESPONSIVE_AFTER_ATTEMPTS = 2
UNRESPONSIVE_RETRY_SECONDS = 0.5
"""Time after the last failed attempt until an unresponsive server may get a request again."""


class ServiceLimits:
    """Limits of one service's servers, and this daemon's place in the membership.

    ``assume_cold`` is set while the store does not answer this daemon, which then does not learn
    that a server has turned cold, or that an evacuation has ended, after which servers are cold.
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
        """How many connections, for one call at a time each, this daemon may open to a server."""
        return max(
            1, int(self.position.equal_share(self.connection_limit) * USABLE_CONNECTION_FRACTION)
        )


def available_at(
    tracker: ServerTracker,
    limits: ServiceLimits,
    now: float,
    max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT,
) -> float | None:
    """Returns when a server may be given one more request, None until one of its requests ends.

    ``max_requests_per_slot`` limits the server's running and queued requests per slot, the new one
    included.
    """
    resumes_at = now
    if now < tracker.send_window.restricted_until:
        if now >= tracker.send_window.closes_at:
            return None
        resumes_at = tracker.pause_limiter.next_send_at
        if now < tracker.pause_limiter.caution_ends_at:
            max_requests_per_slot = min(max_requests_per_slot, MAX_REQUESTS_PER_SLOT_AFTER_PAUSE)
    if tracker.in_flight >= limits.connection_share:
        return None
    if tracker.expected_load(now) + 1.0 > tracker.server.slots * max_requests_per_slot:
        return None
    server_id = tracker.server.server_id
    earliest = tracker.cold_limiter.available_at(
        now, limits.cold_limit, limits.position, server_id, limits.assume_cold
    )
    if resumes_at > earliest:
        earliest = resumes_at
    if is_unresponsive(tracker):
        earliest = max(earliest, tracker.failure_rate_at + UNRESPONSIVE_RETRY_SECONDS)
    return earliest


def is_unresponsive(tracker: ServerTracker) -> bool:
    """Whether several attempts got no response since the last answer of the server.

    Only this daemon's own attempts count, not whether the store lists the server.
    """
    return tracker.consecutive_no_responses >= UNRESPONSIVE_AFTER_ATTEMPTS


def cost_seconds(tracker: ServerTracker, limits: ServiceLimits, now: float) -> float:
    """Returns the expected time of one more request, plus costs for distance and failures."""
    is_remote = tracker.server.data_centre != limits.data_centre
    return (
        tracker.expected_seconds(now)
        + tracker.decayed_failure_rate(now) * FAILURE_COST_SECONDS
        + (CROSS_DATA_CENTRE_COST_SECONDS if is_remote else 0.0)
    )


def is_near_enough(
    tracker: ServerTracker, limits: ServiceLimits, now: float, objective_at: float
) -> bool:
    """Whether a server of this data centre will presumably answer before ``objective_at``."""
    return (
        tracker.server.data_centre == limits.data_centre
        and tracker.decayed_failure_rate(now) <= MAX_USED_FAILURE_RATE
        and now + tracker.expected_seconds(now) * NEARBY_TIME_FACTOR <= objective_at
    )


def choose_server(
    candidates: list[ServerTracker],
    limits: ServiceLimits,
    now: float,
    tried_servers: frozenset[str],
    max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT,
    objective_at: float = NO_OBJECTIVE,
) -> ServerTracker | None:
    """Returns the server with the least cost of those available now, None if none is available.

    Servers of this data centre that meet the objective come before all others, whatever their cost.
    A server to which the request was sent before is chosen only if no other is available.
    """
    available = [
        tracker
        for tracker in candidates
        if _is_available(tracker, limits, now, max_requests_per_slot)
    ]
    untried = [tracker for tracker in available if tracker.server.server_id not in tried_servers]
    choices = untried or available
    if not choices:
        return None
    if objective_at > now:
        nearby = [
            tracker for tracker in choices if is_near_enough(tracker, limits, now, objective_at)
        ]
        choices = nearby or choices
    return min(choices, key=lambda tracker: cost_seconds(tracker, limits, now))


def _is_available(
    tracker: ServerTracker, limits: ServiceLimits, now: float, max_requests_per_slot: float
) -> bool:
    earliest = available_at(tracker, limits, now, max_requests_per_slot)
    return earliest is not None and earliest <= now
