"""Discrete events on a clock that jumps from one event to the next."""

import heapq
from collections.abc import Callable
from typing import Any

Event = tuple[float, int, Callable[..., None], tuple[Any, ...]]


class EventLoop:
    """Runs events in the order of their time, and of their creation at equal times."""

    __slots__ = ("events", "now", "sequence")

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[Event] = []
        self.sequence = 0

    def after(self, delay: float, action: Callable[..., None], *arguments: Any) -> None:
        """Schedules an action ``delay`` seconds from now."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay, self.sequence, action, arguments))

    def run(self, until: float) -> None:
        """Runs every event up to a time."""
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
        self.now = until
