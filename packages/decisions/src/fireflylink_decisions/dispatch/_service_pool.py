"""The servers of one service, and the requests that are queued for them."""

from fireflylink_core import NO_KEY, Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.dispatch._request_queue import RequestQueue
from fireflylink_decisions.limits import SlidingWindowCounter
from fireflylink_decisions.servers import (
    MAX_LOW_PRIORITY_REQUESTS_PER_SLOT,
    MAX_REQUESTS_PER_SLOT,
    ServerRanking,
    ServerTracker,
    ServiceLimits,
)

GRANT_NOTICE_TIMEOUT_SECONDS = 0.6
"""Time after which a moved key's new owner is tried even if no notice of its grant has arrived. The
datagram with the notice may have been lost."""

URGENT_EXPECTED_SECONDS = 3.0
"""How long after a request more requests of the same priority are expected. Meanwhile a
server gets less urgent ones only up to ``MAX_LOW_PRIORITY_REQUESTS_PER_SLOT``."""

RATE_WINDOW_SECONDS = 5.0
"""Window over which the rate of requests is counted that determines how many servers are used."""


class ServicePool:
    """The servers of one service, as known to this daemon, and the requests queued for them.

    ``trackers`` are the servers that may get requests. In a ``keyed`` service only the owner of a
    request's key runs it: the server to which ``table`` assigns the key. In any other service any
    server may run any request. Each assignment has a fence (fencing token), which is higher than
    those of earlier assignments of its keys.

    ``misdirected_until`` maps an owner that declined a key, and the fence of its assignment, to the
    time until which it gets no requests under that fence. ``confirmed_grants`` are the moved
    ranges, with their fences, that have been granted to the new owner. ``table_received_at`` is
    when ``table`` was set, and ``last_arrival_at`` the time of the last request of each priority.
    No server is paused after ``pauses_end_at``. ``first_server`` is the one that takes requests
    first after its pause, as of ``first_server_as_of``.
    """

    __slots__ = (
        "confirmed_grants",
        "first_server",
        "first_server_as_of",
        "keyed",
        "known_ranking",
        "last_arrival_at",
        "limits",
        "misdirected_until",
        "pauses_end_at",
        "queue",
        "ranked_trackers",
        "recent_arrivals",
        "table",
        "table_received_at",
        "trackers",
    )

    def __init__(self, keyed: bool, limits: ServiceLimits) -> None:
        self.keyed = keyed
        self.limits = limits
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.table: OwnershipTable | None = None
        self.queue = RequestQueue()
        self.misdirected_until: dict[tuple[ServerIncarnation, int], float] = {}
        self.confirmed_grants: set[tuple[KeyRange, int]] = set()
        self.table_received_at = 0.0
        self.pauses_end_at = float("-inf")
        self.first_server: ServerTracker | None = None
        self.first_server_as_of = float("-inf")
        self.last_arrival_at: dict[int, float] = {}
        self.recent_arrivals = SlidingWindowCounter(RATE_WINDOW_SECONDS)
        self.known_ranking: ServerRanking | None = None
        self.ranked_trackers: dict[ServerIncarnation, ServerTracker] | None = None

    def ranking(self) -> ServerRanking:
        """Returns the servers in the order in which this daemon uses them.

        The order is determined anew when ``trackers`` is replaced or gets more or fewer servers.
        """
        ranking = self.known_ranking
        if (
            ranking is None
            or self.trackers is not self.ranked_trackers
            or len(self.trackers) != len(ranking.ranked)
        ):
            ranking = self.known_ranking = ServerRanking(
                self.limits.position.instance, self.limits.data_centre, self.trackers
            )
            self.ranked_trackers = self.trackers
        return ranking

    def requests_per_second(self, now: float) -> float:
        """Returns the rate at which this daemon gets requests for the service."""
        return self.recent_arrivals.count(now) / RATE_WINDOW_SECONDS

    def max_requests_per_slot(self, priority: int, now: float) -> float:
        """Returns the limit on a server's requests per slot that applies to a priority."""
        window_start = now - URGENT_EXPECTED_SECONDS
        urgent_expected = any(
            other < priority and arrived_at > window_start
            for other, arrived_at in self.last_arrival_at.items()
        )
        return MAX_LOW_PRIORITY_REQUESTS_PER_SLOT if urgent_expected else MAX_REQUESTS_PER_SLOT

    def set_table(self, table: OwnershipTable, now: float) -> None:
        """Replaces the table of the owners of keys."""
        self.table = table
        self.table_received_at = now
        self.misdirected_until.clear()
        moved_ranges = {
            (moved.keys, moved.fence) for moved in table.assignments if moved.previous_holders
        }
        self.confirmed_grants &= moved_ranges

    def owner_of(self, key: int) -> ServerTracker | None:
        """Returns the owner of a key, None if it has none that may get requests."""
        assignment = self.table.find(key) if self.table is not None else None
        return None if assignment is None else self.trackers.get(assignment.owner)

    def record_pause(self, tracker: ServerTracker) -> None:
        """Records that a server of the service has asked for a pause."""
        limiter = tracker.pause_limiter
        self.first_server_as_of = float("-inf")
        self.pauses_end_at = max(self.pauses_end_at, limiter.next_send_at, limiter.release_ends_at)

    def next_after_pause(self, key: int, now: float) -> ServerTracker | None:
        """Returns the server that takes requests of a key first, None if any takes them now.

        Only servers that asked for a pause are waited for.
        """
        if now >= self.pauses_end_at:
            return None
        first = self.owner_of(key) if self.keyed and key != NO_KEY else self._first_server(now)
        return first if first is not None and _next_send_at(first) > now else None

    def _first_server(self, now: float) -> ServerTracker | None:
        # A sweep asks for each queued request.
        if self.first_server_as_of != now:
            self.first_server_as_of = now
            self.first_server = min(self.trackers.values(), key=_next_send_at, default=None)
        return self.first_server

    def queued_ahead(self, tracker: ServerTracker, key: int) -> int:
        """Returns how many queued requests of this daemon wait for the same servers."""
        is_for_owner = self.keyed and key != NO_KEY
        return tracker.queued if is_for_owner else len(self.queue.requests)

    def seconds_each(self, tracker: ServerTracker, key: int) -> float:
        """Returns how long the servers that may run requests of a key take for each of them."""
        servers = 1 if self.keyed and key != NO_KEY else max(1, len(self.trackers))
        return tracker.idle_service_seconds / (tracker.server.slots * servers)

    def is_grant_pending(self, assignment: Assignment, now: float) -> bool:
        """Whether the owner of an assignment presumably has not been granted the keys yet."""
        return (
            bool(assignment.previous_holders)
            and (assignment.keys, assignment.fence) not in self.confirmed_grants
            and now < self.table_received_at + GRANT_NOTICE_TIMEOUT_SECONDS
        )


def _next_send_at(tracker: ServerTracker) -> float:
    return tracker.pause_limiter.next_send_at
