"""Rate limit of the log lines about requests."""

MAX_ANSWERED_LINES_PER_SECOND = 200
MAX_UNANSWERED_LINES_PER_SECOND = 400
"""Higher, because on-call engineers look for the requests that were not answered."""


class RequestLogLimiter:
    """Limits the log lines about requests per second, and counts the omitted ones.

    Example::

        if limiter.try_acquire(answered=True, now=clock.now()):
            log_event("request", ...)
    """

    __slots__ = ("omitted", "second", "used")

    def __init__(self) -> None:
        self.second = 0
        self.used = {True: 0, False: 0}
        self.omitted = 0

    def try_acquire(self, answered: bool, now: float) -> bool:
        """Returns whether one more line may be written in the current second, and counts it."""
        if int(now) != self.second:
            self.second = int(now)
            self.used = {True: 0, False: 0}
        limit = MAX_ANSWERED_LINES_PER_SECOND if answered else MAX_UNANSWERED_LINES_PER_SECOND
        if self.used[answered] >= limit:
            self.omitted += 1
            return False
        self.used[answered] += 1
        return True

    def take_omitted(self) -> int:
        """Returns the number of lines omitted since the last call, and resets it."""
        omitted = self.omitted
        self.omitted = 0
        return omitted
