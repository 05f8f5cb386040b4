"""How a call to a backend server ended."""

import enum

from fireflylink_core._request import ServerAnswer
from fireflylink_core._server import ServerLoad
from fireflylink_core._value import BaseValue


class LostReason(enum.Enum):
    """Why no whole answer was received."""

    CANCELLED = "cancelled"
    CLOSED = "closed"
    LATE = "late"
    MALFORMED = "malformed"
    RESET = "reset"
    TRUNCATED = "truncated"


class BaseCallResult(BaseValue):
    """The end of one call."""

    __slots__ = ()


class Answered(BaseCallResult):
    """The server ran the request; its answer is whole."""

    __slots__ = ("answer", "load")

    def __init__(self, answer: ServerAnswer, load: ServerLoad | None) -> None:
        self.answer = answer
        self.load = load


class Declined(BaseCallResult):
    """The server states that it did not run the request."""

    __slots__ = ("load", "misdirected", "status")

    def __init__(self, status: int, misdirected: bool, load: ServerLoad | None) -> None:
        self.status = status
        self.misdirected = misdirected
        self.load = load


class NotSent(BaseCallResult):
    """No byte was sent: the request certainly did not run."""

    __slots__ = ("detail",)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class Lost(BaseCallResult):
    """The request may have run."""

    __slots__ = ("detail", "reason")

    def __init__(self, reason: LostReason, detail: str) -> None:
        self.reason = reason
        self.detail = detail
