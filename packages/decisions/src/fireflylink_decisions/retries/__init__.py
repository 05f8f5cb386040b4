"""Whether and where a request is sent again."""

from fireflylink_decisions.retries._attempts import Attempts, BaseRetryDecision, Retry, ReturnReply

__all__ = ["Attempts", "BaseRetryDecision", "Retry", "ReturnReply"]
