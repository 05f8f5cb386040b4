"""Errors of an exchange, distinguished by whether the request may have run."""

from fireflylink_core import BaseFireflylinkError, LostReason


class ExchangeError(BaseFireflylinkError):
    """An exchange ended without a complete response."""


class NotSentError(ExchangeError):
    """No byte of the request was sent, so it has certainly not run."""


class LostError(ExchangeError):
    """At least a part of the request was sent, so it may have run."""

    def __init__(self, reason: LostReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
