"""Whether and where a request is sent again."""

from fireflylink_decisions.retries._attempts import Attempts, BaseNext, GiveUp, TryAgain

__all__ = ["Attempts", "BaseNext", "GiveUp", "TryAgain"]
