"""The budget for arrivals at servers beyond the first of each request."""

from fireflylink_decisions.limits._share import FleetPosition
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

SAFE_PART = 0.7


class RetryBudgetLimits:
    """What all daemons together may retry for one service in any window."""

    __slots__ = ("extra", "ratio", "window_seconds")

    def __init__(self, ratio: float, extra: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds


class RetryBudget:
    """This daemon's part of the budget of one service."""

    __slots__ = ("limits", "requests", "retries")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.requests = SlidingWindowCounter(limits.window_seconds)
        self.retries = SlidingWindowCounter(limits.window_seconds)

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self.requests.add(now)

    def record_retry(self, now: float) -> None:
        """Counts an arrival beyond the first of a request, also one that the server rejects."""
        self.retries.add(now)

    def allows_retry(self, now: float, position: FleetPosition) -> bool:
        """Whether one more retry stays within the budget."""
        own = self.limits.ratio * self.requests.count(now) + position.fraction(self.limits.extra)
        return self.retries.count(now) + 1 <= own * SAFE_PART
