"""Retries by the entry daemon, the only layer that makes them."""

import random

from fireflylink_core import BaseReply, BaseValue, NotRun, Outcome, OutcomeUnknown
from fireflylink_decisions.retries._retry_budget import RetryBudget

MAX_ATTEMPTS = 4
FIRST_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.25
UNVERIFIED_REASONS = frozenset(
    {"moved", "no-owner", "no-authority", "not-held", "gateway-unreachable", "not-forwarded"}
)
"""Reasons of replies that did not come from the memory of request ids: an earlier attempt of the
same caller may have run, so they are not reported as not-run for a request with an id."""


class RetryAt(BaseValue):
    """The request is sent again at a time, in seconds on the daemon's clock."""

    __slots__ = ("at",)

    def __init__(self, at: float) -> None:
        self.at = at


class RequestAttempts:
    """The attempts of an entry daemon for one request.

    ``uncertain`` is the reply of the first attempt that may have run. After it no later reply can
    say that the request was not run.
    """

    __slots__ = ("deadline", "idempotent", "made", "uncertain")

    def __init__(self, idempotent: bool, deadline: float) -> None:
        self.idempotent = idempotent
        self.deadline = deadline
        self.made = 0
        self.uncertain: OutcomeUnknown | None = None

    def note(self, reply: BaseReply) -> None:
        """Notes the reply to an attempt."""
        self.made += 1
        if isinstance(reply, OutcomeUnknown) and self.uncertain is None:
            self.uncertain = reply

    def final(self, reply: BaseReply) -> BaseReply:
        """Returns what the caller is told when the last attempt had the given reply."""
        if not isinstance(reply, NotRun):
            return reply
        if self.uncertain is not None:
            return self.uncertain
        if not self.idempotent and reply.reason in UNVERIFIED_REASONS:
            return OutcomeUnknown(reply.reason, "It is not known whether the request has run.")
        return reply


class RetryPolicy:
    """Decides whether and when a request is sent again after a reply.

    A request is sent again only if it is idempotent or certainly was not run, if the reply says
    that a retry can help, inside the deadline and within the budget. The wait is drawn uniformly
    between 0 and a bound that doubles with each attempt (full jitter), so that requests that
    failed together do not return together.

    Example::

        decision = policy.decide(attempts, reply, now)
        if isinstance(decision, RetryAt):
            ...  # send the request again at decision.at
    """

    __slots__ = ("budget", "random_source")

    def __init__(self, budget: RetryBudget, random_source: random.Random) -> None:
        self.budget = budget
        self.random_source = random_source

    def decide(
        self, attempts: RequestAttempts, reply: BaseReply, now: float
    ) -> RetryAt | BaseReply:
        """Returns when to send the request again, or the reply for the caller."""
        attempts.note(reply)
        if reply.outcome is Outcome.ANSWERED:
            self.budget.succeeded()
            return reply
        if attempts.made >= MAX_ATTEMPTS or not may_retry(reply, attempts.idempotent):
            return attempts.final(reply)
        at = now + self.backoff(attempts.made)
        if at >= attempts.deadline or not self.budget.take(now):
            return attempts.final(reply)
        return RetryAt(at)

    def backoff(self, attempts: int) -> float:
        """Draws the wait before the next attempt, in seconds."""
        bound = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0 ** (attempts - 1))
        return self.random_source.random() * bound


def may_retry(reply: BaseReply, idempotent: bool) -> bool:
    """Tells whether a reply allows the request to be sent again unchanged."""
    if isinstance(reply, NotRun):
        return reply.retry_after_ms > 0
    return idempotent and reply.outcome is Outcome.UNKNOWN
