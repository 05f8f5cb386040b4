"""Queue of one service's requests at this daemon, ordered by priority."""

import bisect
from collections.abc import Callable

from fireflylink_decisions.dispatch._queued_request import QueuedRequest
from fireflylink_decisions.limits import SlidingWindowCounter

RATE_WINDOW_SECONDS = 2.0
"""Time over which the dispatch rate is measured, from which the wait in the queue is estimated."""

MAX_QUEUED_REQUESTS = 200
"""Limit for one service at one daemon."""


class RequestQueue:
    """Requests ordered by priority, then by arrival, and a counter of recent dispatches."""

    __slots__ = ("recent_dispatches", "requests")

    def __init__(self) -> None:
        self.requests: list[QueuedRequest] = []
        self.recent_dispatches = SlidingWindowCounter(RATE_WINDOW_SECONDS)

    def enqueue(self, request: QueuedRequest) -> None:
        """Adds a request in the order of priority, then of arrival."""
        bisect.insort_right(self.requests, request, key=_sort_key)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request, if it is still queued."""
        for index, queued in enumerate(self.requests):
            if queued is request:
                del self.requests[index]
                return

    def count_ahead(
        self, request: QueuedRequest, misses_objective: Callable[[QueuedRequest], bool]
    ) -> int:
        """Returns how many queued requests would be dispatched before a new one.

        The new request is assumed to meet its objective. Queued requests of the same priority that
        miss theirs are not counted, see ``in_dispatch_order``.
        """
        before = self.requests[
            : bisect.bisect_right(self.requests, _sort_key(request), key=_sort_key)
        ]
        return sum(
            queued.priority < request.priority or not misses_objective(queued) for queued in before
        )

    def in_dispatch_order(
        self, misses_objective: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Returns the requests by priority; within one, those that miss their objective come last.

        Under overload, serving strictly by arrival would make every request late.
        """
        return sorted(
            self.requests, key=lambda request: (request.priority, misses_objective(request))
        )

    def expected_wait_seconds(self, ahead: int, now: float) -> float:
        """Returns how long ``ahead`` requests take at the recent dispatch rate, 0 without one."""
        rate = self.recent_dispatches.count(now) / RATE_WINDOW_SECONDS
        return ahead / rate if rate > 0 else 0.0

    @property
    def is_full(self) -> bool:
        """Whether the queue accepts no more requests."""
        return len(self.requests) >= MAX_QUEUED_REQUESTS


def _sort_key(request: QueuedRequest) -> tuple[int, float]:
    return (request.priority, request.enqueued_at)
