"""Errors of the front end."""

from fireflylink_core import BaseFireflylinkError


class ListenerError(BaseFireflylinkError):
    """The listener could not bind its address."""


class RefusedRequestError(BaseFireflylinkError):
    """A request that violates the protocol or a limit; it is not sent to a server.

    ``status`` is the HTTP status of the reply to the caller, and the text is its body.
    ``retry_after_seconds`` is when the caller may try again, None if that would not help.
    """

    def __init__(self, status: int, problem: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(problem)
        self.status = status
        self.retry_after_seconds = retry_after_seconds
