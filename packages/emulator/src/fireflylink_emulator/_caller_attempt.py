"""One attempt of a caller, on its way through a daemon to servers."""

import enum
from collections.abc import Callable

from fireflylink_core import BaseValue, ServerLoad
from fireflylink_emulator._profile import ServiceProfile


class CallerAttempt:
    """One attempt of a caller.

    ``asked_at`` is when the caller's first attempt began, ``latest`` when its deadline passes. An
    ``impatient`` caller repeats at once, whatever it is told. ``runs`` counts its runs at servers.
    """

    __slots__ = (
        "asked_at",
        "attempts_left",
        "impatient",
        "key",
        "latest",
        "profile",
        "received_at",
        "runs",
    )

    def __init__(
        self,
        profile: ServiceProfile,
        key: int,
        asked_at: float,
        received_at: float,
        attempts_left: int,
        impatient: bool = False,
    ) -> None:
        self.profile = profile
        self.key = key
        self.asked_at = asked_at
        self.received_at = received_at
        self.latest = asked_at + profile.deadline_seconds
        self.attempts_left = attempts_left
        self.impatient = impatient
        self.runs = 0


class CallEnd(enum.Enum):
    """How a call to an emulated server ended, as the caller of the server sees it."""

    ANSWERED = "answered"
    FAILED = "failed"
    DECLINED = "declined"
    LATE = "late"
    LOST = "lost"
    MISDIRECTED = "misdirected"
    NOT_SENT = "not-sent"


class CallOutcome(BaseValue):
    """The end of a call and the load that came with it."""

    __slots__ = ("end", "load")

    def __init__(self, end: CallEnd, load: ServerLoad | None = None) -> None:
        self.end = end
        self.load = load


CallDone = Callable[[CallOutcome], None]
