"""How many lines about requests are written in a second."""

ANSWERED_LINES = 200
OTHER_LINES = 400
"""Requests that were not answered are what on-call engineers look for, so they get more lines."""


class LineBudget:
    """Bounds the lines about requests, and counts those that are left out.

    Example::

        if budget.take(answered=True, now=clock.now()):
            log_event("request", ...)
    """

    __slots__ = ("omitted", "second", "used")

    def __init__(self) -> None:
        self.second = 0
        self.used = {True: 0, False: 0}
        self.omitted = 0

    def take(self, answered: bool, now: float) -> bool:
        """Whether one more line is written in the present second."""
        if int(now) != self.second:
            self.second = int(now)
            self.used = {True: 0, False: 0}
        limit = ANSWERED_LINES if answered else OTHER_LINES
        if self.used[answered] >= limit:
            self.omitted += 1
            return False
        self.used[answered] += 1
        return True

    def take_omitted(self) -> int:
        """Returns how many lines were left out since the last call."""
        omitted = self.omitted
        self.omitted = 0
        return omitted
