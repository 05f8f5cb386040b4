"""Counts of events within the last seconds."""

import collections


class SlidingCount:
    """How many events fell into the last ``window`` seconds.

    Example::

        count = SlidingCount(1.0)
        count.add(clock.now())
    """

    __slots__ = ("times", "window")

    def __init__(self, window: float) -> None:
        self.window = window
        self.times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Counts an event."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events within the window that ends now."""
        oldest = now - self.window
        while self.times and self.times[0] <= oldest:
            self.times.popleft()
        return len(self.times)

    def room_at(self, now: float, limit: int) -> float:
        """Returns when one more event keeps the count within ``limit``."""
        if limit <= 0:
            return now + self.window
        if self.count(now) < limit:
            return now
        return self.times[-limit] + self.window
