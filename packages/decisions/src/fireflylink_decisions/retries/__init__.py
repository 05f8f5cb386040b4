"""Whether a call that went wrong is made again, and what its caller is told."""

from fireflylink_decisions.retries._call_result import CallOutcome, CallResult
from fireflylink_decisions.retries._classify import Verdict, classify
from fireflylink_decisions.retries._retry_budget import RetryBudget
from fireflylink_decisions.retries._retry_policy import (
    UNVERIFIED_REASONS,
    RequestAttempts,
    RetryAt,
    RetryPolicy,
)

__all__ = [
    "UNVERIFIED_REASONS",
    "CallOutcome",
    "CallResult",
    "RequestAttempts",
    "RetryAt",
    "RetryBudget",
    "RetryPolicy",
    "Verdict",
    "classify",
]
