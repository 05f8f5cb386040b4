"""Budget for retries, that is, attempts that follow one that has reached a server."""

from fireflylink_decisions.limits._fleet_position import FleetPosition
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

USABLE_BUDGET_FRACTION = 0.7
"""Fraction of its share of the budget that this daemon uses."""


class RetryBudgetLimits:
    """How many retries all daemons together may send for one service in any window.

    The limit is ``ratio`` times the callers' requests of the window, plus ``extra`` retries.
    """

    __slots__ = ("extra", "ratio", "window_seconds")

    def __init__(self, ratio: float, extra: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds


class RetryBudget:
    """This daemon's share of the retry budget of one service."""

    __slots__ = ("limits", "requests", "retries")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.requests = SlidingWindowCounter(limits.window_seconds)
        self.retries = SlidingWindowCounter(limits.window_seconds)

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Replaces the limits. What has been counted so far counts on."""
        self.limits = limits
        self.requests.window_seconds = limits.window_seconds
        self.retries.window_seconds = limits.window_seconds

    def record_request(self, now: float) -> None:
        """Counts a request of a caller, once however often it is sent."""
        self.requests.add(now)

    def record_retry(self, now: float) -> None:
        """Counts a retry, also one that the server declines."""
        self.retries.add(now)

    def allows_retry(self, now: float, position: FleetPosition) -> bool:
        """Whether one more retry stays within the budget."""
        budget = self.limits.ratio * self.requests.count(now) + position.equal_share(
            self.limits.extra
        )
        return self.retries.count(now) + 1 <= budget * USABLE_BUDGET_FRACTION
