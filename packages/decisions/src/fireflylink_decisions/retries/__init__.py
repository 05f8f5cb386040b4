"""Decision whether a request is retried and what its caller receives otherwise."""

from fireflylink_decisions.retries._attempts import (
    MIN_SERVER_ERROR_STATUS,
    RETRY_AFTER_SECONDS,
    Attempts,
    BaseRetryDecision,
    Retry,
    ReturnReply,
)

__all__ = [
    "MIN_SERVER_ERROR_STATUS",
    "RETRY_AFTER_SECONDS",
    "Attempts",
    "BaseRetryDecision",
    "Retry",
    "ReturnReply",
]
