"""Decision whether a request is retried and what its caller receives otherwise."""

from fireflylink_decisions.retries._attempts import Attempts, BaseRetryDecision, Retry, ReturnReply

__all__ = ["Attempts", "BaseRetryDecision", "Retry", "ReturnReply"]
