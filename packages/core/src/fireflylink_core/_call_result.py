"""Results of one call to a backend server."""

import enum

from fireflylink_core._request import ServerAnswer
from fireflylink_core._server import ServerLoad
from fireflylink_core._value import BaseValue


class LostReason(enum.Enum):
    """Why no complete and valid answer was received."""

    CANCELLED = "cancelled"
    CLOSED = "closed"
    LATE = "late"
    MALFORMED = "malformed"
    RESET = "reset"
    TRUNCATED = "truncated"


class BaseCallResult(BaseValue):
    """The result of sending one request to one backend server."""

    __slots__ = ()


class Answered(BaseCallResult):
    """A complete answer was received that does not state that the request did not run."""

    __slots__ = ("answer", "load")

    def __init__(self, answer: ServerAnswer, load: ServerLoad | None) -> None:
        self.answer = answer
        self.load = load


class Declined(BaseCallResult):
    """The server states that it did not run the request.

    ``misdirected`` is true if it declined because the request is for another server or for a key
    that it does not hold.
    """

    __slots__ = ("load", "misdirected", "status")

    def __init__(self, status: int, misdirected: bool, load: ServerLoad | None) -> None:
        self.status = status
        self.misdirected = misdirected
        self.load = load


class NotSent(BaseCallResult):
    """No byte of the request was sent, so it did not run."""

    __slots__ = ("detail",)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class Lost(BaseCallResult):
    """The request may have run, but no complete and valid answer was received."""

    __slots__ = ("detail", "reason")

    def __init__(self, reason: LostReason, detail: str) -> None:
        self.reason = reason
        self.detail = detail
