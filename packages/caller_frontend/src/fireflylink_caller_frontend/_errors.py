"""Errors of the front end towards callers."""

from fireflylink_core import BaseFireflylinkError, NotRun


class ListenerError(BaseFireflylinkError):
    """An address cannot be bound."""


class RequestRefusedError(BaseFireflylinkError):
    """A request is malformed; ``reply`` is what its caller is told."""

    def __init__(self, reply: NotRun) -> None:
        super().__init__(reply.detail)
        self.reply = reply
