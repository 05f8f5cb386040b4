"""One attempt of a caller and the outcome of a call to a server."""

import enum
from collections.abc import Callable

from fireflylink_core import BaseValue, ServerLoad
from fireflylink_emulator._profile import ServiceProfile


class CallerAttempt:
    """One attempt of a caller to get its request answered. Times are clock times in seconds.

    ``requested_at`` is the start of the first attempt of the request; ``deadline`` counts from it.
    ``received_at`` is when the daemon receives this attempt. For one attempt of a caller, the
    daemon may send the request to several servers; these are the attempts that ``Attempts`` in the
    production code counts. An ``impatient`` caller retries almost at once and ignores the delay
    that a reply asks for. ``executions`` counts how often servers started to run this attempt.
    """

    __slots__ = (
        "deadline",
        "executions",
        "impatient",
        "key",
        "profile",
        "received_at",
        "requested_at",
        "retries_left",
    )

    def __init__(
        self,
        profile: ServiceProfile,
        key: int,
        requested_at: float,
        received_at: float,
        retries_left: int,
        impatient: bool = False,
    ) -> None:
        self.profile = profile
        self.key = key
        self.requested_at = requested_at
        self.received_at = received_at
        self.deadline = requested_at + profile.deadline_seconds
        self.retries_left = retries_left
        self.impatient = impatient
        self.executions = 0


class CallStatus(enum.Enum):
    """How a call to an emulated server ended, as the daemon that made it observes.

    - ``ANSWERED``: the server ran the request and answered with status 200.
    - ``FAILED``: the server ran the request and answered with status 500.
    - ``DECLINED``: the server did not run the request because its queue was full, or because the
      deadline had passed when a slot became free.
    - ``LATE``: the server did not answer in time, and may have run the request.
    - ``LOST``: the connection was reset before an answer, and the server may have run the request.
    - ``MISDIRECTED``: the server did not run the request because it was sent to an earlier
      incarnation or is for a key that the server does not hold.
    - ``NOT_SENT``: the server refused the connection.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    DECLINED = "declined"
    LATE = "late"
    LOST = "lost"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"


class CallOutcome(BaseValue):
    """How one call to a server ended, with the load that the server reported, if any.

    ``pause_seconds`` is for how long the server wants no more requests, 0 if it did not say so.
    ``is_leaving`` is true if the server announced that it leaves.

    ``RoutedDaemon`` converts it to the ``BaseCallResult`` that the production code expects.
    """

    __slots__ = ("is_leaving", "load", "pause_seconds", "status")

    def __init__(
        self,
        status: CallStatus,
        load: ServerLoad | None = None,
        pause_seconds: float = 0.0,
        is_leaving: bool = False,
    ) -> None:
        self.is_leaving = is_leaving
        self.status = status
        self.load = load
        self.pause_seconds = pause_seconds


OutcomeCallback = Callable[[CallOutcome], None]
