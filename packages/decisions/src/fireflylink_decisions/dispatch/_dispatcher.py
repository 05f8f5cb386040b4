"""Assignment of requests to servers, queueing, and refusal of requests that cannot be served."""

from collections.abc import Callable

from fireflylink_core import NO_KEY
from fireflylink_decisions.dispatch._queued_request import (
    BaseDispatchResult,
    Dispatched,
    QueuedRequest,
    Refused,
)
from fireflylink_decisions.dispatch._service_pool import ServicePool
from fireflylink_decisions.servers import (
    MAX_GROUP_SIZE,
    ServerTracker,
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
        refused = self._try_refuse_for_pause(pool, request, True, now)
        if refused is not None:
            return refused
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

    def retry_after_pause(self, service: str, key: int, now: float) -> float | None:
        """Returns when a caller should return if every server that may run its request is paused.

        Returns None if one is not. The value is in seconds from ``now``.
        """
        pool = self.pools.get(service)
        first = None if pool is None else pool.next_after_pause(key, now)
        if pool is None or first is None:
            return None
        return first.pause_limiter.retry_after_seconds(
            now, pool.queued_ahead(first, key), pool.seconds_each(first, key)
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
            skip_paused=now < pool.pauses_end_at,
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
        if now > _wait_ends_at(request) or now + _min_service_seconds(pool) > request.deadline:
            return Refused("no-room", NO_ROOM_RETRY_AFTER_SECONDS)
        return self._try_refuse_for_pause(pool, request, False, now)

    def _try_refuse_for_pause(
        self, pool: ServicePool, request: QueuedRequest, is_new: bool, now: float
    ) -> Refused | None:
        """Refuses a request that would wait too long for the end of a pause.

        A new one comes after those that are queued.
        """
        first = pool.next_after_pause(request.key, now)
        if first is None:
            return None
        queued = pool.queued_ahead(first, request.key)
        seconds_each = pool.seconds_each(first, request.key)
        limiter = first.pause_limiter
        sent_at = limiter.next_send_at + (queued * seconds_each if is_new else 0.0)
        if sent_at <= min(_wait_ends_at(request), request.deadline - first.idle_service_seconds):
            return None
        retry_after = limiter.retry_after_seconds(now, queued, seconds_each)
        limiter.turned_away += 1
        return Refused("paused", retry_after)

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
    pool.first_server_as_of = float("-inf")
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


def _wait_ends_at(request: QueuedRequest) -> float:
    """Returns until when a request may be queued."""
    return request.enqueued_at + (request.deadline - request.enqueued_at) * MAX_WAIT_FRACTION


def _min_service_seconds(pool: ServicePool) -> float:
    """Returns the shortest service time among the servers that are used first."""
    preferred = pool.ranking().ranked[:MAX_GROUP_SIZE]
    return min((tracker.idle_service_seconds for tracker in preferred), default=0.0)
