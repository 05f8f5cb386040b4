"""Errors of an exchange, by what they tell about the request."""

from fireflylink_core import BaseFireflylinkError, LostReason


class ExchangeError(BaseFireflylinkError):
    """An exchange without a whole answer."""


class NotSentError(ExchangeError):
    """No byte of the request was sent, so it certainly did not run."""


class LostError(ExchangeError):
    """The request was sent at least in part, so it may have run."""

    def __init__(self, reason: LostReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
