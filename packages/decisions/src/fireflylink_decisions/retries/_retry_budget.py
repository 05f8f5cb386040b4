"""Bound of the retries that a daemon adds to the load."""

RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 3.0
BUDGET_SECONDS = 10.0


class RetryBudget:
    """Tokens for retries: a tenth of a token per success, and 3 tokens per second.

    The balance is bounded by what 10 s without traffic bring, so a quiet time does not pay for a
    burst of retries. A daemon keeps one budget per service.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, now: float) -> None:
        self.tokens = RETRIES_PER_SECOND
        self.updated_at = now

    def succeeded(self) -> None:
        """Notes a request that was answered."""
        self.tokens = min(self.tokens + RETRY_SHARE, RETRIES_PER_SECOND * BUDGET_SECONDS)

    def take(self, now: float) -> bool:
        """Takes a token for one retry, or returns False when none is left."""
        gained = max(0.0, now - self.updated_at) * RETRIES_PER_SECOND
        self.updated_at = max(now, self.updated_at)
        self.tokens = min(self.tokens + gained, RETRIES_PER_SECOND * BUDGET_SECONDS)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
