"""Assignment of requests to servers, queueing, and refusal of requests that cannot be served."""

from collections.abc import Callable

from fireflylink_core import NO_KEY, Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.dispatch._queued_request import (
    BaseDispatchResult,
    Dispatched,
    QueuedRequest,
    Refused,
)
from fireflylink_decisions.dispatch._request_queue import RequestQueue
from fireflylink_decisions.limits import SlidingWindowCounter
from fireflylink_decisions.servers import (
    MAX_GROUP_SIZE,
    MAX_LOW_PRIORITY_REQUESTS_PER_SLOT,
    MAX_REQUESTS_PER_SLOT,
    ServerRanking,
    ServerTracker,
    ServiceLimits,
    available_at,
    is_unresponsive,
)

NO_OWNER_WAIT_SECONDS = 0.25
"""How long a request is queued while its key has no owner that responds."""

MAX_WAIT_FRACTION = 0.5
"""Fraction of the time until its deadline for which a request may be queued. If it is refused
then, its caller still has time for a retry."""

NO_ROOM_RETRY_AFTER_SECONDS = 0.25
"""Retry-after of a request that would wait too long for a free slot."""

NO_SERVER_RETRY_AFTER_SECONDS = 1.0
"""Retry-after of a request that no server can run: its service is not configured, or its key has no
owner that responds."""

MISDIRECTED_PAUSE_SECONDS = 0.3
"""How long an owner that declined a key gets no requests for keys assigned with the same fence.
It would decline them too until it holds its keys, and each retry uses the retry budget."""

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
    """

    __slots__ = (
        "confirmed_grants",
        "keyed",
        "known_ranking",
        "last_arrival_at",
        "limits",
        "misdirected_until",
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

    def is_grant_pending(self, assignment: Assignment, now: float) -> bool:
        """Whether the owner of an assignment presumably has not been granted the keys yet."""
        return (
            bool(assignment.previous_holders)
            and (assignment.keys, assignment.fence) not in self.confirmed_grants
            and now < self.table_received_at + GRANT_NOTICE_TIMEOUT_SECONDS
        )


class Dispatcher:
    """Dispatches requests to servers in the order of their priority.

    Example::

        result = dispatcher.submit(request, now)
        if result is None:
            ...  # queued; wait until sweep() returns a result for it
    """

    __slots__ = ("pools",)

    def __init__(self) -> None:
        self.pools: dict[str, ServicePool] = {}

    def submit(self, request: QueuedRequest, now: float) -> BaseDispatchResult | None:
        """Dispatches a new request, or queues it and returns None."""
        pool = self.pools.get(request.service)
        if pool is None:
            return Refused("no-such-service", NO_SERVER_RETRY_AFTER_SECONDS)
        pool.last_arrival_at[request.priority] = now
        pool.recent_arrivals.add(now)
        # In a keyed service a request waits for the owner of its key, not for others in the queue.
        ahead = 0 if pool.keyed else pool.queue.count_ahead(request, _misses_objective(pool, now))
        if not ahead:
            result = self._try_dispatch(pool, request, now)
            if result is not None:
                return result
        if pool.queue.is_full or self._would_miss_deadline(pool, request, ahead, now):
            return Refused("no-room", NO_ROOM_RETRY_AFTER_SECONDS)
        self._enqueue(pool, request)
        return None

    def sweep(self, now: float) -> list[tuple[QueuedRequest, BaseDispatchResult]]:
        """Dispatches the queued requests that can be, and refuses those that would be late."""
        results = []
        for pool in self.pools.values():
            if pool.queue.requests:
                results.extend(self._sweep_pool(pool, now))
        return results

    def cancel(self, request: QueuedRequest) -> None:
        """Removes a request whose caller has disconnected from the queue."""
        pool = self.pools.get(request.service)
        if pool is not None:
            self._dequeue(pool, request)

    def record_misdirected(self, service: str, dispatched: Dispatched, now: float) -> None:
        """Records that a server declined a key that the table assigns to it."""
        pool = self.pools.get(service)
        if pool is not None:
            pool.misdirected_until[(dispatched.tracker.server.incarnation, dispatched.fence)] = (
                now + MISDIRECTED_PAUSE_SECONDS
            )

    @property
    def queued_count(self) -> int:
        """The number of queued requests of all services."""
        return sum(len(pool.queue.requests) for pool in self.pools.values())

    def _sweep_pool(
        self, pool: ServicePool, now: float
    ) -> list[tuple[QueuedRequest, BaseDispatchResult]]:
        results = []
        for request in pool.queue.in_dispatch_order(_misses_objective(pool, now)):
            result = self._try_dispatch(pool, request, now) or self._try_refuse(pool, request, now)
            if result is not None:
                self._dequeue(pool, request)
                results.append((request, result))
        return results

    def _try_dispatch(
        self, pool: ServicePool, request: QueuedRequest, now: float
    ) -> BaseDispatchResult | None:
        if pool.keyed and request.key != NO_KEY:
            return self._try_dispatch_to_owner(pool, request, now)
        max_requests_per_slot = pool.max_requests_per_slot(request.priority, now)
        tracker = pool.ranking().choose(
            pool.limits,
            now,
            request.tried_servers,
            pool.requests_per_second(now),
            max_requests_per_slot,
            request.objective_at,
        )
        return None if tracker is None else _dispatch_to(pool, tracker, 0, now)

    def _try_dispatch_to_owner(
        self, pool: ServicePool, request: QueuedRequest, now: float
    ) -> BaseDispatchResult | None:
        assignment = pool.table.find(request.key) if pool.table is not None else None
        if assignment is None:
            return None
        tracker = pool.trackers.get(assignment.owner)
        if tracker is None or pool.is_grant_pending(assignment, now):
            return None
        if now < pool.misdirected_until.get((assignment.owner, assignment.fence), 0.0):
            return None
        earliest = available_at(
            tracker, pool.limits, now, pool.max_requests_per_slot(request.priority, now)
        )
        if earliest is None or earliest > now:
            return None
        return _dispatch_to(pool, tracker, assignment.fence, now)

    def _try_refuse(self, pool: ServicePool, request: QueuedRequest, now: float) -> Refused | None:
        if now - request.enqueued_at > NO_OWNER_WAIT_SECONDS and self._lacks_owner(pool, request):
            return Refused("no-owner", NO_SERVER_RETRY_AFTER_SECONDS)
        wait_ends_at = (
            request.enqueued_at + (request.deadline - request.enqueued_at) * MAX_WAIT_FRACTION
        )
        if now > wait_ends_at or now + _min_service_seconds(pool) > request.deadline:
            return Refused("no-room", NO_ROOM_RETRY_AFTER_SECONDS)
        return None

    def _lacks_owner(self, pool: ServicePool, request: QueuedRequest) -> bool:
        if not pool.keyed or request.key == NO_KEY:
            return False
        tracker = pool.owner_of(request.key)
        return tracker is None or is_unresponsive(tracker)

    def _would_miss_deadline(
        self, pool: ServicePool, request: QueuedRequest, ahead: int, now: float
    ) -> bool:
        if not pool.keyed:
            wait = pool.queue.expected_wait_seconds(ahead, now)
            return now + wait + _min_service_seconds(pool) > request.deadline
        tracker = pool.owner_of(request.key)
        if tracker is None:
            return False
        return (
            now + tracker.expected_wait_seconds(now) + tracker.expected_seconds_after_wait(now)
            > request.deadline
        )

    def _enqueue(self, pool: ServicePool, request: QueuedRequest) -> None:
        pool.queue.enqueue(request)
        if pool.keyed:
            request.awaited_owner = pool.owner_of(request.key)
            if request.awaited_owner is not None:
                request.awaited_owner.queued += 1

    def _dequeue(self, pool: ServicePool, request: QueuedRequest) -> None:
        pool.queue.remove(request)
        if request.awaited_owner is not None:
            request.awaited_owner.queued -= 1
            request.awaited_owner = None


def _dispatch_to(pool: ServicePool, tracker: ServerTracker, fence: int, now: float) -> Dispatched:
    queueing_factor = tracker.queueing_factor(now)
    tracker.record_sent(now)
    pool.queue.recent_dispatches.add(now)
    return Dispatched(tracker, queueing_factor, fence)


def _misses_objective(pool: ServicePool, now: float) -> Callable[[QueuedRequest], bool]:
    """Returns a predicate: whether a request, if sent now, is expected to miss its objective."""
    if pool.keyed:
        return lambda request: now + _seconds_at_owner(pool, request, now) > request.objective_at
    earliest_answer_at = now + _min_service_seconds(pool)
    return lambda request: earliest_answer_at > request.objective_at


def _seconds_at_owner(pool: ServicePool, request: QueuedRequest, now: float) -> float:
    tracker = pool.owner_of(request.key)
    return 0.0 if tracker is None else tracker.expected_seconds(now)


def _min_service_seconds(pool: ServicePool) -> float:
    """Returns the shortest service time among the servers that are used first."""
    preferred = pool.ranking().ranked[:MAX_GROUP_SIZE]
    return min((tracker.idle_service_seconds for tracker in preferred), default=0.0)
