"""One attempt of a caller and the outcome of a call to a server."""

import enum
from collections.abc import Callable

from fireflylink_core import BaseValue, ServerLoad
from fireflylink_emulator._profile import ServiceProfile


class CallerAttempt:
    """One attempt of a caller to get its request answered. Times are clock times in seconds.

    ``requested_at`` is the start of the first attempt of the request; ``deadline`` counts from it.
    ``received_at`` is when the daemon receives this attempt. An ``impatient`` caller retries almost
    at once and ignores the delay that a reply asks for. ``executions`` counts how often servers
    started to run this attempt.
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
    """How a call to an emulated server ended, as the daemon that made it observes."""

    ANSWERED = "answered"
    FAILED = "failed"
    DECLINED = "declined"
    LATE = "late"
    LOST = "lost"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"


class CallOutcome(BaseValue):
    """The status of an ended call and the load that the server reported, if any."""

    __slots__ = ("load", "status")

    def __init__(self, status: CallStatus, load: ServerLoad | None = None) -> None:
        self.status = status
        self.load = load


OutcomeCallback = Callable[[CallOutcome], None]
