"""Results of one call to a backend server."""

import enum

from fireflylink_core._request import ServerAnswer
from fireflylink_core._server import ServerLoad, ServerNotice
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
    """The result of sending one request to one backend server.

    ``notice`` is what the server announced with its answer, None if it announced nothing.
    """

    __slots__ = ()


class Answered(BaseCallResult):
    """A complete answer was received that does not state that the request did not run."""

    __slots__ = ("answer", "load", "notice")

    def __init__(
        self, answer: ServerAnswer, load: ServerLoad | None, notice: ServerNotice | None = None
    ) -> None:
        self.answer = answer
        self.load = load
        self.notice = notice


class Declined(BaseCallResult):
    """The server states that it did not run the request.

    ``misdirected`` is true if it declined because the request is for another server or for a key
    that it does not hold.
    """

    __slots__ = ("load", "misdirected", "notice", "status")

    def __init__(
        self,
        status: int,
        misdirected: bool,
        load: ServerLoad | None,
        notice: ServerNotice | None = None,
    ) -> None:
        self.status = status
        self.misdirected = misdirected
        self.load = load
        self.notice = notice


class NotSent(BaseCallResult):
    """No byte of the request was sent, so it did not run.

    ``withheld`` is true if the request was not sent because the server wants no requests now.
    """

    __slots__ = ("detail", "withheld")

    def __init__(self, detail: str, withheld: bool = False) -> None:
        self.detail = detail
        self.withheld = withheld


class Lost(BaseCallResult):
    """The request may have run, but no complete and valid answer was received."""

    __slots__ = ("detail", "notice", "reason")

    def __init__(self, reason: LostReason, detail: str, notice: ServerNotice | None = None) -> None:
        self.reason = reason
        self.detail = detail
        self.notice = notice
