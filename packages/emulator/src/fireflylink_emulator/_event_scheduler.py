"""What happens next on a manual clock."""

import heapq
from collections.abc import Callable

from fireflylink_core import ManualClock

Action = Callable[[], None]


class EventScheduler:
    """Actions in the order of their time.

    Actions of the same moment run in the order in which they were added, so that a run repeats
    exactly.

    Example::

        scheduler.schedule_after(0.02, daemon.sweep)
        scheduler.run_until(scheduler.clock.now() + 30.0)
    """

    __slots__ = ("clock", "entries", "next_sequence")

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.entries: list[tuple[float, int, Action]] = []
        self.next_sequence = 0

    def schedule_at(self, moment: float, action: Action) -> None:
        """Adds an action for a moment; one in the past runs at once."""
        self.next_sequence += 1
        heapq.heappush(self.entries, (moment, self.next_sequence, action))

    def schedule_after(self, seconds: float, action: Action) -> None:
        """Adds an action for a number of seconds from now."""
        self.schedule_at(self.clock.now() + seconds, action)

    def run_until(self, end: float) -> None:
        """Runs what is due up to a moment, and leaves the clock there."""
        while self.entries and self.entries[0][0] <= end:
            moment, _, action = heapq.heappop(self.entries)
            self.clock.current = max(self.clock.current, moment)
            action()
        self.clock.current = max(self.clock.current, end)
