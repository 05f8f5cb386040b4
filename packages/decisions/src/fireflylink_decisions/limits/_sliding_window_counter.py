"""Counter of events within a sliding time window."""

import collections


class SlidingWindowCounter:
    """Counts the events of the last ``window_seconds`` seconds.

    Example::

        counter = SlidingWindowCounter(1.0)
        counter.add(clock.now())
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
        window_start = now - self.window_seconds
        while self.timestamps and self.timestamps[0] <= window_start:
            self.timestamps.popleft()
        return len(self.timestamps)

    def available_at(self, now: float, limit: int) -> float:
        """Returns the earliest time at which one more event keeps the count within ``limit``.

        With a limit of 0 there is no such time. The time returned is then one window from now, and
        so in the future at each call.
        """
        if limit <= 0:
            return now + self.window_seconds
        if self.count(now) < limit:
            return now
        return self.timestamps[-limit] + self.window_seconds
