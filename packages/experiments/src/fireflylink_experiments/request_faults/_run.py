"""One run of generated requests under generated faults."""

from fireflylink_experiments.request_faults._callers import Callers
from fireflylink_experiments.request_faults._faults import Faults
from fireflylink_experiments.request_faults._history import Violations
from fireflylink_experiments.request_faults._world import World

REQUESTS_PER_SECOND = 450.0
LATE_SECONDS = 1600.0
"""Callers may repeat a request this long after its reply; the window of the ids is shorter."""


class FaultRun:
    """A run and its counts."""

    __slots__ = ("faults", "requests", "seed", "world")

    def __init__(self, requests: int, seed: int) -> None:
        self.requests = requests
        self.seed = seed
        self.world = World(seed)
        self.faults = Faults(self.world, seed + 1, requests / REQUESTS_PER_SECOND)

    def run(self) -> Violations:
        """Sends the requests, lets all of them end and returns what was violated."""
        loop = self.world.loop
        callers = Callers(self.world, self.requests, REQUESTS_PER_SECOND, self.seed + 2)
        loop.after(0.0, callers.run)
        loop.after(1.0, self.faults.run)
        loop.run(self.requests / REQUESTS_PER_SECOND + LATE_SECONDS)
        return self.world.violations
