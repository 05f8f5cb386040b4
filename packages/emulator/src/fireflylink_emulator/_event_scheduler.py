"""Scheduler of the emulator's events."""

import heapq
from collections.abc import Callable

from fireflylink_core import ManualClock

Action = Callable[[], None]


class EventScheduler:
    """Runs actions on a manual clock in the order of their due times.

    Actions that are due at the same time run in the order in which they were added, so that a run
    is reproducible.

    Example::

        scheduler.schedule_after(0.02, daemon.sweep)
        scheduler.run_until(scheduler.clock.now() + 30.0)
    """

    __slots__ = ("clock", "entries", "next_sequence")

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.entries: list[tuple[float, int, Action]] = []
        self.next_sequence = 0

    def schedule_at(self, due_at: float, action: Action) -> None:
        """Adds an action; with a due time in the past it runs at the current time."""
        self.next_sequence += 1
        heapq.heappush(self.entries, (due_at, self.next_sequence, action))

    def schedule_after(self, seconds: float, action: Action) -> None:
        """Adds an action that is due after a delay in seconds."""
        self.schedule_at(self.clock.now() + seconds, action)

    def run_until(self, end: float) -> None:
        """Runs the actions that are due until ``end`` and advances the clock to it."""
        while self.entries and self.entries[0][0] <= end:
            due_at, _, action = heapq.heappop(self.entries)
            self.clock.current_seconds = max(self.clock.current_seconds, due_at)
            action()
        self.clock.current_seconds = max(self.clock.current_seconds, end)
