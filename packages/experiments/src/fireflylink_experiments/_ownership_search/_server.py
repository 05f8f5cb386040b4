"""A backend server of a keyed service: its holds, its fences and its work."""

import abc
import functools
import random
from collections.abc import Callable

from fireflylink_core import KeyRange
from fireflylink_emulator import EventScheduler
from fireflylink_experiments._ownership_search._holds import Hold, Work

MAX_CLOCK_DRIFT = 0.02
SHORT_WORK_SECONDS = (0.02, 0.3)
LONG_WORK_SECONDS = (0.5, 4.0)
RELEASE_POLL_SECONDS = 0.01

ReleaseAnswer = Callable[[str], None]


class BaseServerObserver(abc.ABC):
    """Is told what the servers do."""

    __slots__ = ()

    @abc.abstractmethod
    def record_grant(self, server: "SimulatedServer", hold: Hold) -> None:
        """Called when a grant has been accepted in time."""

    @abc.abstractmethod
    def record_begin(self, server: "SimulatedServer", work: Work) -> None:
        """Called when a request begins."""


class SimulatedServer:
    """One incarnation of a server; it starts without keys, and without knowledge of fences.

    ``slow_fraction`` of its requests run for seconds. ``clock_factor`` is how long a second of its
    clock takes.
    """

    __slots__ = (
        "clock_factor",
        "holds",
        "is_up",
        "observer",
        "rng",
        "scheduler",
        "seen_fences",
        "server_id",
        "slow_fraction",
        "started_ms",
        "tokens",
        "work",
    )

    def __init__(
        self,
        server_id: str,
        started_ms: int,
        scheduler: EventScheduler,
        rng: random.Random,
        observer: BaseServerObserver,
        slow_fraction: float,
    ) -> None:
        self.server_id = server_id
        self.started_ms = started_ms
        self.scheduler = scheduler
        self.rng = rng
        self.observer = observer
        self.slow_fraction = slow_fraction
        self.clock_factor = 1.0 + rng.choice((0.0, rng.uniform(0.0, MAX_CLOCK_DRIFT)))
        self.is_up = True
        self.holds: list[Hold] = []
        self.work: list[Work] = []
        self.seen_fences: list[tuple[KeyRange, int]] = []
        self.tokens = 0

    def __str__(self) -> str:
        return f"{self.server_id}@{self.started_ms}"

    def grant(
        self, keys: KeyRange, fence: int, hold_seconds: float, arrived_at: float, is_late: bool
    ) -> bool:
        """Holds keys from ``arrived_at`` on; returns false if a higher fence was seen."""
        if any(seen > fence and held.overlaps(keys) for held, seen in self.seen_fences):
            return False
        self._record_fence(keys, fence)
        expires_at = arrived_at + hold_seconds * self.clock_factor
        now = self.scheduler.clock.now()
        self.holds = [hold for hold in self.holds if hold.ranges and now < hold.expires_at]
        for hold in self.holds:
            if hold.granted_keys == keys and hold.fence == fence and hold.ranges == [keys]:
                break
            hold.remove(keys)
        else:
            hold = Hold(keys, fence)
            self.holds.append(hold)
        hold.extend(expires_at, is_late)
        if not is_late:
            self.observer.record_grant(self, hold)
        return True

    def release(self, keys: KeyRange, fence: int, answer: ReleaseAnswer) -> None:
        """Stops new work on keys; ``answer`` gets a new token when the present work has ended."""
        self._record_fence(keys, fence)
        for hold in self.holds:
            hold.remove(keys)
        self._answer_when_free(keys, answer)

    def begin(self, key: int) -> bool:
        """Begins a request on a key if the server holds it; returns whether it does."""
        now = self.scheduler.clock.now()
        hold = next((hold for hold in self.holds if hold.has(key, now)), None)
        if hold is None:
            return False
        is_slow = self.rng.random() < self.slow_fraction
        seconds = self.rng.uniform(*(LONG_WORK_SECONDS if is_slow else SHORT_WORK_SECONDS))
        work = Work(key, hold, now + seconds)
        self.work = [*self.running_work(now), work]
        self.observer.record_begin(self, work)
        return True

    def running_work(self, now: float) -> list[Work]:
        """Returns the requests that run now."""
        return [work for work in self.work if work.is_running(now)]

    def _answer_when_free(self, keys: KeyRange, answer: ReleaseAnswer) -> None:
        if not self.is_up:
            return
        now = self.scheduler.clock.now()
        if any(keys.first <= work.key <= keys.last for work in self.running_work(now)):
            self.scheduler.schedule_after(
                RELEASE_POLL_SECONDS, functools.partial(self._answer_when_free, keys, answer)
            )
            return
        self.tokens += 1
        answer(f"{self}-{self.tokens}")

    def _record_fence(self, keys: KeyRange, fence: int) -> None:
        self.seen_fences = [
            (held, seen)
            for held, seen in self.seen_fences
            if not (keys.covers(held) and seen <= fence)
        ]
        self.seen_fences.append((keys, fence))
