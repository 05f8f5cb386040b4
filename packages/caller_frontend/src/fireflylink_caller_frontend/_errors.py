"""Errors of the front end."""

from fireflylink_core import BaseFireflylinkError


class ListenerError(BaseFireflylinkError):
    """An address could not be bound."""


class RefusedRequestError(BaseFireflylinkError):
    """A request that breaks the protocol or a limit; it is not passed on."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status
