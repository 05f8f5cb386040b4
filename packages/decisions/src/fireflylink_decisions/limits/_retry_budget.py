"""The budget for arrivals at servers beyond the first of each request."""

from fireflylink_decisions.limits._share import FleetPosition
from fireflylink_decisions.limits._sliding_count import SlidingCount

SAFE_PART = 0.7


class RetryBudgetRule:
    """What all daemons together may repeat for one service in any window."""

    __slots__ = ("extra", "ratio", "window")

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window


class RetryBudget:
    """This daemon's part of the budget of one service."""

    __slots__ = ("repeats", "requests", "rule")

    def __init__(self, rule: RetryBudgetRule) -> None:
        self.rule = rule
        self.requests = SlidingCount(rule.window)
        self.repeats = SlidingCount(rule.window)

    def note_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self.requests.add(now)

    def note_repeat(self, now: float) -> None:
        """Counts an arrival beyond the first of a request, also one that the server rejects."""
        self.repeats.add(now)

    def allows(self, now: float, position: FleetPosition) -> bool:
        """Whether one more repeat stays within the budget."""
        own = self.rule.ratio * self.requests.count(now) + position.fraction(self.rule.extra)
        return self.repeats.count(now) + 1 <= own * SAFE_PART
