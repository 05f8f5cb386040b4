"""Retries by the entry daemon, the only layer that makes them."""

import random

from fireflylink_core import BaseReply, NotRun, Outcome
from fireflylink_decisions.retries._retry_budget import RetryBudget

MAX_ATTEMPTS = 4
FIRST_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1000.0


class RetryPolicy:
    """Decides whether and when a request is sent again after a reply.

    A request is sent again only if it is idempotent or certainly was not run, if the reply says
    that a retry can help, inside the deadline and within the budget. The wait is drawn uniformly
    between 0 and a bound that doubles with each attempt (full jitter), so that requests that
    failed together do not return together.
    """

    __slots__ = ("budget", "random_source")

    def __init__(self, budget: RetryBudget, random_source: random.Random) -> None:
        self.budget = budget
        self.random_source = random_source

    def retry_at(
        self, reply: BaseReply, idempotent: bool, attempts: int, deadline: float, now: float
    ) -> float | None:
        """Returns when to send the request again, or None when the reply goes to the caller.

        ``attempts`` counts the attempts that were made, the first one included.
        """
        if reply.outcome is Outcome.ANSWERED:
            self.budget.succeeded()
            return None
        if attempts >= MAX_ATTEMPTS or not may_retry(reply, idempotent):
            return None
        at = now + self.backoff(attempts)
        if isinstance(reply, NotRun) and reply.status != 503:
            return None
        if at >= deadline or not self.budget.take(now):
            return None
        return at

    def backoff(self, attempts: int) -> float:
        """Draws the wait before the next attempt, in seconds."""
        bound = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0 ** (attempts - 1))
        return self.random_source.random() * bound


def may_retry(reply: BaseReply, idempotent: bool) -> bool:
    """Tells whether a reply allows the request to be sent again unchanged."""
    if isinstance(reply, NotRun):
        return reply.retry_after_ms > 0
    return idempotent and reply.outcome is Outcome.UNKNOWN
