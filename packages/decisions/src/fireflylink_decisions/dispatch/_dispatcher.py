"""Where each request goes, how long it waits for that, and when it is turned away."""

from collections.abc import Callable

from fireflylink_core import NO_KEY, Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.dispatch._queued_request import (
    BaseDispatchResult,
    Dispatched,
    QueuedRequest,
    Refused,
)
from fireflylink_decisions.dispatch._request_queue import RequestQueue
from fireflylink_decisions.servers import (
    MAX_LOW_PRIORITY_REQUESTS_PER_SLOT,
    MAX_REQUESTS_PER_SLOT,
    ServerTracker,
    ServiceLimits,
    available_at,
    choose_server,
    is_unresponsive,
)

OWNER_WAIT_SECONDS = 0.25
"""How long a request waits for its key to get an owner that is there."""

LONGEST_WAIT_PART = 0.5
"""A request waits for at most this part of its time: after it, it could only be answered late."""

SHORT_RETRY_SECONDS = 0.25
LONG_RETRY_SECONDS = 1.0
RECHECK_SECONDS = 0.3
MOVE_SECONDS = 0.6
"""After this time a moved key's new owner is tried even if no notice of its grant has come."""

URGENT_MEMORY_SECONDS = 3.0
"""More urgent requests are expected to come for so long after the last one."""


class ServicePool:
    """The servers of one service as this daemon sees them, and the requests that wait for them.

    ``trackers`` are the servers that may get work. ``keyed`` services are served by the owner of
    the key alone; ``misdirected_until`` holds owners that declined a key under a fence, until when.
    ``confirmed_grants`` are the moved ranges whose new owner has confirmed them,
    ``table_received_at`` is when the table came, and ``last_arrival_at`` is when a request of each
    priority came last.
    """

    __slots__ = (
        "confirmed_grants",
        "keyed",
        "last_arrival_at",
        "limits",
        "misdirected_until",
        "queue",
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

    def max_requests_per_slot(self, priority: int, now: float) -> float:
        """Returns how many requests per slot a server may hold before one more of a priority."""
        oldest = now - URGENT_MEMORY_SECONDS
        urgent = any(other < priority and at > oldest for other, at in self.last_arrival_at.items())
        return MAX_LOW_PRIORITY_REQUESTS_PER_SLOT if urgent else MAX_REQUESTS_PER_SLOT

    def set_table(self, table: OwnershipTable, now: float) -> None:
        """Takes the owners of the keys."""
        self.table = table
        self.table_received_at = now
        self.misdirected_until.clear()
        pending = {
            (moved.keys, moved.fence) for moved in table.assignments if moved.previous_holders
        }
        self.confirmed_grants &= pending

    def owner_of(self, key: int) -> ServerTracker | None:
        """Returns the owner of a key, None when it has none that is there."""
        assignment = self.table.find(key) if self.table is not None else None
        return None if assignment is None else self.trackers.get(assignment.owner)

    def is_transfer_pending(self, assignment: Assignment, now: float) -> bool:
        """Whether the owner of an assignment is not expected to hold the keys yet."""
        return (
            bool(assignment.previous_holders)
            and (assignment.keys, assignment.fence) not in self.confirmed_grants
            and now < self.table_received_at + MOVE_SECONDS
        )


class Dispatcher:
    """Places requests on servers, in the order of their urgency.

    Example::

        result = dispatcher.submit(request, now)
        if result is None:
            ...  # wait until sweep() returns one for the request
    """

    __slots__ = ("pools",)

    def __init__(self) -> None:
        self.pools: dict[str, ServicePool] = {}

    def submit(self, request: QueuedRequest, now: float) -> BaseDispatchResult | None:
        """Dispatches a new request, or queues it and returns None."""
        pool = self.pools.get(request.service)
        if pool is None:
            return Refused("no-such-service", LONG_RETRY_SECONDS)
        pool.last_arrival_at[request.priority] = now
        # A request with a key waits for its owner's room, not for the line.
        ahead = 0 if pool.keyed else pool.queue.count_ahead(request, _lateness(pool, now))
        if not ahead:
            result = self._try(pool, request, now)
            if result is not None:
                return result
        if pool.queue.is_full or self._hopeless(pool, request, ahead, now):
            return Refused("no-room", SHORT_RETRY_SECONDS)
        self._join(pool, request)
        return None

    def sweep(self, now: float) -> list[tuple[QueuedRequest, BaseDispatchResult]]:
        """Places what can be placed now, and turns away what cannot be served in time."""
        ended = []
        for pool in self.pools.values():
            if pool.queue.requests:
                ended.extend(self._sweep_pool(pool, now))
        return ended

    def cancel(self, request: QueuedRequest) -> None:
        """Removes a request whose caller has disconnected from the queue."""
        pool = self.pools.get(request.service)
        if pool is not None:
            self._leave(pool, request)

    def record_misdirected(self, service: str, dispatched: Dispatched, now: float) -> None:
        """Records that a server does not hold a key that the table assigns to it."""
        pool = self.pools.get(service)
        if pool is not None:
            pool.misdirected_until[(dispatched.tracker.server.incarnation, dispatched.fence)] = (
                now + RECHECK_SECONDS
            )

    @property
    def queued_count(self) -> int:
        """How many requests wait."""
        return sum(len(pool.queue.requests) for pool in self.pools.values())

    def _sweep_pool(
        self, pool: ServicePool, now: float
    ) -> list[tuple[QueuedRequest, BaseDispatchResult]]:
        ended = []
        for request in pool.queue.in_dispatch_order(_lateness(pool, now)):
            result = self._try(pool, request, now) or self._overdue(pool, request, now)
            if result is not None:
                self._leave(pool, request)
                ended.append((request, result))
        return ended

    def _try(
        self, pool: ServicePool, request: QueuedRequest, now: float
    ) -> BaseDispatchResult | None:
        if pool.keyed and request.key != NO_KEY:
            return self._try_owner(pool, request, now)
        depth = pool.max_requests_per_slot(request.priority, now)
        trackers = list(pool.trackers.values())
        tracker = choose_server(trackers, pool.limits, now, request.tried_servers, depth)
        return None if tracker is None else _send(pool, tracker, 0, now)

    def _try_owner(
        self, pool: ServicePool, request: QueuedRequest, now: float
    ) -> BaseDispatchResult | None:
        assignment = pool.table.find(request.key) if pool.table is not None else None
        if assignment is None:
            return None
        tracker = pool.trackers.get(assignment.owner)
        if tracker is None or pool.is_transfer_pending(assignment, now):
            return None
        if now < pool.misdirected_until.get((assignment.owner, assignment.fence), 0.0):
            return None
        open_at = available_at(
            tracker, pool.limits, now, pool.max_requests_per_slot(request.priority, now)
        )
        if open_at is None or open_at > now:
            return None
        return _send(pool, tracker, assignment.fence, now)

    def _overdue(self, pool: ServicePool, request: QueuedRequest, now: float) -> Refused | None:
        if now - request.enqueued_at > OWNER_WAIT_SECONDS and self._ownerless(pool, request):
            return Refused("no-owner", LONG_RETRY_SECONDS)
        end_of_wait = (
            request.enqueued_at + (request.deadline - request.enqueued_at) * LONGEST_WAIT_PART
        )
        if now > end_of_wait or now + _least_seconds(pool) > request.deadline:
            return Refused("no-room", SHORT_RETRY_SECONDS)
        return None

    def _ownerless(self, pool: ServicePool, request: QueuedRequest) -> bool:
        if not pool.keyed:
            return False
        tracker = pool.owner_of(request.key)
        return tracker is None or is_unresponsive(tracker)

    def _hopeless(self, pool: ServicePool, request: QueuedRequest, ahead: int, now: float) -> bool:
        if not pool.keyed:
            wait = pool.queue.expected_wait_seconds(ahead, now)
            return now + wait + _least_seconds(pool) > request.deadline
        tracker = pool.owner_of(request.key)
        if tracker is None:
            return False
        return (
            now + tracker.expected_wait_seconds(now) + tracker.expected_seconds_after_wait(now)
            > request.deadline
        )

    def _join(self, pool: ServicePool, request: QueuedRequest) -> None:
        pool.queue.enqueue(request)
        if pool.keyed:
            request.awaited_server = pool.owner_of(request.key)
            if request.awaited_server is not None:
                request.awaited_server.queued += 1

    def _leave(self, pool: ServicePool, request: QueuedRequest) -> None:
        pool.queue.remove(request)
        if request.awaited_server is not None:
            request.awaited_server.queued -= 1
            request.awaited_server = None


def _send(pool: ServicePool, tracker: ServerTracker, fence: int, now: float) -> Dispatched:
    queueing_factor = tracker.queueing_factor(now)
    tracker.record_sent(now)
    pool.queue.dispatched.add(now)
    return Dispatched(tracker, queueing_factor, fence)


def _lateness(pool: ServicePool, now: float) -> Callable[[QueuedRequest], bool]:
    """Returns what tells whether a request that is sent now is expected to be late."""
    if pool.keyed:
        return lambda request: now + _owner_seconds(pool, request, now) > request.objective_at
    earliest = now + _least_seconds(pool)
    return lambda request: earliest > request.objective_at


def _owner_seconds(pool: ServicePool, request: QueuedRequest, now: float) -> float:
    tracker = pool.owner_of(request.key)
    return 0.0 if tracker is None else tracker.expected_seconds(now)


def _least_seconds(pool: ServicePool) -> float:
    return min((tracker.base_seconds for tracker in pool.trackers.values()), default=0.0)
