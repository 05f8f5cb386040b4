"""Counts of events within the last seconds."""

import collections


class SlidingWindowCounter:
    """How many events fell into the last ``window_seconds`` seconds.

    Example::

        count = SlidingWindowCounter(1.0)
        count.add(clock.now())
    """

    __slots__ = ("timestamps", "window_seconds")

    def __init__(self, window_seconds: float) -> None:
        self.window_seconds = window_seconds
        self.timestamps: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Counts an event."""
        self.timestamps.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events within the window that ends now."""
        oldest = now - self.window_seconds
        while self.timestamps and self.timestamps[0] <= oldest:
            self.timestamps.popleft()
        return len(self.timestamps)

    def available_at(self, now: float, limit: int) -> float:
        """Returns when one more event keeps the count within ``limit``."""
        if limit <= 0:
            return now + self.window_seconds
        if self.count(now) < limit:
            return now
        return self.timestamps[-limit] + self.window_seconds
