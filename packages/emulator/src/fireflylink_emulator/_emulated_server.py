"""A backend server: slots, a short queue, a pace, and the ways in which it fails."""

import random

from fireflylink_core import BackendServer, KeyRange, ServerIncarnation, ServerLoad
from fireflylink_decisions.limits import SlidingWindowCounter
from fireflylink_emulator._caller_attempt import CallDone, CallEnd, CallerAttempt, CallOutcome
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile, ServiceProfile

QUEUE_PER_SLOT = 2
FULL_SLOWDOWN = 0.3
COLD_SECONDS = 6.0
COLD_PACE = 1.6
RESTART_SECONDS = 4.0
CRASH_FACTOR = 2.0
"""A cold server crashes when it gets this many times what it bears."""

LEAST_PART = 0.5
"""Work takes between this part and twice of the usual, less often long than short."""

FIRST_STARTED_MS = 1


class Call:
    """One request at a server."""

    __slots__ = ("done", "ended", "latest", "order")

    def __init__(self, order: CallerAttempt, latest: float, done: CallDone) -> None:
        self.order = order
        self.latest = latest
        self.done = done
        self.ended = False


class EmulatedServer:
    """One backend server over all its incarnations.

    ``held_ranges`` are the ranges that it was granted, each with its fence and the end of its hold.
    ``failure_fraction`` is the fraction of requests that it fails, ``answer_loss_fraction`` that of
    answers that are lost. ``peak_cold_requests`` is the most that it got in one second while cold.
    """

    __slots__ = (
        "answer_loss_fraction",
        "cold_arrivals",
        "cold_limit",
        "cold_until",
        "data_centre",
        "down",
        "draining",
        "failure_fraction",
        "fences",
        "held_ranges",
        "name",
        "peak_cold_requests",
        "profile",
        "rng",
        "running",
        "scheduler",
        "slowdown_factor",
        "speed",
        "started_ms",
        "unresponsive",
        "waiting",
    )

    def __init__(
        self,
        name: str,
        profile: ServiceProfile,
        fleet: FleetProfile,
        data_centre: str,
        speed: float,
        scheduler: EventScheduler,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.profile = profile
        self.data_centre = data_centre
        self.speed = speed
        self.scheduler = scheduler
        self.rng = rng
        self.cold_limit = profile.cold_per_second * fleet.cold_factor + fleet.cold_extra
        self.started_ms = FIRST_STARTED_MS
        self.down = False
        self.unresponsive = False
        self.draining = False
        self.slowdown_factor = 1.0
        self.failure_fraction = 0.0
        self.answer_loss_fraction = 0.0
        self.cold_until = float("-inf")
        self.cold_arrivals = SlidingWindowCounter(1.0)
        self.peak_cold_requests = 0
        self.held_ranges: dict[tuple[KeyRange, int], float] = {}
        self.fences: dict[KeyRange, int] = {}
        self.running: list[Call] = []
        self.waiting: list[Call] = []

    @property
    def incarnation(self) -> ServerIncarnation:
        """The identity of the present incarnation."""
        return ServerIncarnation(self.name, self.started_ms)

    @property
    def is_cold(self) -> bool:
        """Whether it bears little now."""
        return self.scheduler.clock.now() < self.cold_until

    def registration(self) -> BackendServer:
        """Returns what the server says of itself."""
        cold_ms = max(0.0, self.cold_until - self.scheduler.clock.now()) * 1000.0
        return BackendServer(
            self.name,
            self.profile.name,
            "127.0.0.1",
            1,
            self.data_centre,
            self.profile.slots,
            cold_ms=cold_ms,
            started_ms=self.started_ms,
        )

    def holds(self, key: int) -> bool:
        """Whether a granted range with the key is in force."""
        now = self.scheduler.clock.now()
        return any(
            keys.first <= key <= keys.last and now < until
            for (keys, _), until in self.held_ranges.items()
        )

    def receive(self, call: Call, incarnation: ServerIncarnation) -> None:
        """Receives a request that was sent to one of its incarnations."""
        if self.unresponsive:
            return
        if self.down:
            call.ended = True
            call.done(CallOutcome(CallEnd.NOT_SENT))
            return
        if incarnation != self.incarnation or (
            self.profile.keyed and not self.holds(call.order.key)
        ):
            self._end(call, CallEnd.MISDIRECTED)
            return
        self._count_cold()
        if self.down:
            self._lose(call)
        elif len(self.running) < self.profile.slots:
            self._start(call)
        elif len(self.waiting) < self.profile.slots * QUEUE_PER_SLOT:
            self.waiting.append(call)
        else:
            self._end(call, CallEnd.DECLINED)

    def on_disconnect(self, call: Call) -> None:
        """Takes the close of the connection of a call."""
        if call.ended:
            return
        call.ended = True
        self._forget(call)

    def make_cold(self) -> None:
        """Makes it cold, without a new incarnation."""
        self.cold_until = self.scheduler.clock.now() + COLD_SECONDS

    def crash(self, restart_seconds: float | None = RESTART_SECONDS) -> None:
        """Ends this life with all its work and keys; None: it is lost for good."""
        self.down = True
        lost = [*self.running, *self.waiting]
        self.running = []
        self.waiting = []
        self.held_ranges = {}
        self.fences = {}
        for call in lost:
            self._lose(call)
        if restart_seconds is not None:
            self.scheduler.schedule_after(restart_seconds, self._restart)

    def grant(self, keys: KeyRange, fence: int, seconds: float) -> bool:
        """Takes a grant; returns False when a higher fence was used for some of the keys."""
        if any(known.overlaps(keys) and used > fence for known, used in self.fences.items()):
            return False
        self.fences[keys] = fence
        self._take_out(keys)
        self.held_ranges[(keys, fence)] = self.scheduler.clock.now() + seconds
        return True

    def release(self, keys: KeyRange, fence: int) -> None:
        """Gives up the keys under the fence of their next holder."""
        self.fences[keys] = max(fence, self.fences.get(keys, 0))
        self._take_out(keys)

    def _take_out(self, keys: KeyRange) -> None:
        kept: dict[tuple[KeyRange, int], float] = {}
        for (held, used), until in self.held_ranges.items():
            for rest in _without(held, keys):
                kept[(rest, used)] = until
        self.held_ranges = kept

    def has_work_on(self, keys: KeyRange) -> bool:
        """Whether work on any of the keys is under way."""
        return any(keys.first <= call.order.key <= keys.last for call in self.running)

    def _count_cold(self) -> None:
        now = self.scheduler.clock.now()
        if not self.is_cold:
            return
        self.cold_arrivals.add(now)
        count = self.cold_arrivals.count(now)
        self.peak_cold_requests = max(self.peak_cold_requests, count)
        if count > self.cold_limit * CRASH_FACTOR:
            self.crash()

    def _start(self, call: Call) -> None:
        call.order.runs += 1
        self.running.append(call)
        queueing_factor = len(self.running) / self.profile.slots
        seconds = call.order.profile.work_seconds * self.speed * self.slowdown_factor
        seconds *= 1.0 + FULL_SLOWDOWN * queueing_factor
        seconds *= COLD_PACE if self.is_cold else 1.0
        seconds *= LEAST_PART + (1.0 - LEAST_PART) * self.rng.expovariate(1.0)
        self.scheduler.schedule_after(seconds, lambda: self._finish(call))

    def _finish(self, call: Call) -> None:
        if call.ended:
            return
        self._forget(call)
        if self.rng.random() < self.answer_loss_fraction:
            self._lose(call)
        elif self.rng.random() < self.failure_fraction:
            self._end(call, CallEnd.FAILED)
        else:
            self._end(call, CallEnd.ANSWERED)

    def _forget(self, call: Call) -> None:
        if call in self.waiting:
            self.waiting.remove(call)
        if call in self.running:
            self.running.remove(call)
            self._start_next()

    def _start_next(self) -> None:
        now = self.scheduler.clock.now()
        while self.waiting and len(self.running) < self.profile.slots:
            call = self.waiting.pop(0)
            if now >= call.latest:
                self._end(call, CallEnd.DECLINED)
            else:
                self._start(call)

    def _end(self, call: Call, end: CallEnd) -> None:
        call.ended = True
        load = ServerLoad(
            len(self.running), len(self.waiting), self.profile.slots, self.slowdown_factor
        )
        call.done(CallOutcome(end, load))

    def _lose(self, call: Call) -> None:
        call.ended = True
        call.done(CallOutcome(CallEnd.LOST))

    def _restart(self) -> None:
        self.down = False
        self.draining = False
        self.started_ms += 1
        self.make_cold()


def _without(keys: KeyRange, removed: KeyRange) -> list[KeyRange]:
    if not keys.overlaps(removed):
        return [keys]
    rest = []
    if keys.first < removed.first:
        rest.append(KeyRange(keys.first, removed.first - 1))
    if keys.last > removed.last:
        rest.append(KeyRange(removed.last + 1, keys.last))
    return rest
