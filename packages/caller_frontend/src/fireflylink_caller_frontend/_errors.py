"""Errors of the front end."""

from fireflylink_core import BaseFireflylinkError


class ListenerError(BaseFireflylinkError):
    """The listener could not bind its address."""


class RefusedRequestError(BaseFireflylinkError):
    """A request that violates the protocol or a limit; it is not sent to a server.

    ``status`` is the HTTP status of the reply to the caller, and the text is its body.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status
