"""Requests of one service that wait at this daemon, the most urgent first."""

import bisect
from collections.abc import Callable

from fireflylink_decisions.dispatch._queued_request import QueuedRequest
from fireflylink_decisions.limits import SlidingWindowCounter

RATE_WINDOW_SECONDS = 2.0
MAX_WAITING = 200


class RequestQueue:
    """Requests by priority, then by arrival, and the rate at which they are dispatched."""

    __slots__ = ("dispatched", "requests")

    def __init__(self) -> None:
        self.requests: list[QueuedRequest] = []
        self.dispatched = SlidingWindowCounter(RATE_WINDOW_SECONDS)

    def enqueue(self, request: QueuedRequest) -> None:
        """Adds a request behind those of the same priority."""
        bisect.insort_right(self.requests, request, key=_order)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request, if it is still queued."""
        for index, waiting in enumerate(self.requests):
            if waiting is request:
                del self.requests[index]
                return

    def count_ahead(
        self, request: QueuedRequest, misses_objective: Callable[[QueuedRequest], bool]
    ) -> int:
        """Returns how many queued requests come before a new one that can meet its objective."""
        before = self.requests[: bisect.bisect_right(self.requests, _order(request), key=_order)]
        return sum(
            waiting.priority < request.priority or not misses_objective(waiting)
            for waiting in before
        )

    def in_dispatch_order(
        self, misses_objective: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Returns the requests by priority; those that can only be late come behind the others.

        Under overload, first come first served lets every request wait until it is late.
        """
        return sorted(
            self.requests, key=lambda request: (request.priority, misses_objective(request))
        )

    def expected_wait_seconds(self, ahead: int, now: float) -> float:
        """Returns how long ``ahead`` requests take at the rate of the last seconds."""
        rate = self.dispatched.count(now) / RATE_WINDOW_SECONDS
        return ahead / rate if rate > 0 else 0.0

    @property
    def is_full(self) -> bool:
        """Whether no more requests are queued."""
        return len(self.requests) >= MAX_WAITING


def _order(request: QueuedRequest) -> tuple[int, float]:
    return (request.priority, request.enqueued_at)
