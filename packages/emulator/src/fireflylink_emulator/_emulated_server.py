"""A backend server: slots, a short queue, a pace, and the ways in which it fails."""

import random

from fireflylink_core import BackendServer, KeyRange, ServerIncarnation, ServerLoad
from fireflylink_decisions.limits import SlidingWindowCounter
from fireflylink_emulator._agenda import Agenda
from fireflylink_emulator._order import CallDone, CallEnd, CallerOrder, CallOutcome
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

FIRST_BORN_MS = 1


class Call:
    """One request at a server."""

    __slots__ = ("done", "ended", "latest", "order")

    def __init__(self, order: CallerOrder, latest: float, done: CallDone) -> None:
        self.order = order
        self.latest = latest
        self.done = done
        self.ended = False


class EmulatedServer:
    """One backend server over all its lives.

    ``held`` are the ranges that it was granted, each with its fence and the end of its hold.
    ``grey`` is the part of requests that it fails, ``lossy`` that of answers that are lost.
    ``highest_cold`` is the most that it got in one second while cold.
    """

    __slots__ = (
        "agenda",
        "allowed_cold",
        "born",
        "cold_arrivals",
        "cold_until",
        "data_centre",
        "down",
        "draining",
        "fences",
        "grey",
        "held",
        "highest_cold",
        "lossy",
        "name",
        "pace",
        "profile",
        "running",
        "silent",
        "source",
        "speed",
        "waiting",
    )

    def __init__(
        self,
        name: str,
        profile: ServiceProfile,
        fleet: FleetProfile,
        data_centre: str,
        speed: float,
        agenda: Agenda,
        source: random.Random,
    ) -> None:
        self.name = name
        self.profile = profile
        self.data_centre = data_centre
        self.speed = speed
        self.agenda = agenda
        self.source = source
        self.allowed_cold = profile.cold_per_second * fleet.cold_factor + fleet.cold_extra
        self.born = FIRST_BORN_MS
        self.down = False
        self.silent = False
        self.draining = False
        self.pace = 1.0
        self.grey = 0.0
        self.lossy = 0.0
        self.cold_until = float("-inf")
        self.cold_arrivals = SlidingWindowCounter(1.0)
        self.highest_cold = 0
        self.held: dict[tuple[KeyRange, int], float] = {}
        self.fences: dict[KeyRange, int] = {}
        self.running: list[Call] = []
        self.waiting: list[Call] = []

    @property
    def life(self) -> ServerIncarnation:
        """The identity of the present life."""
        return ServerIncarnation(self.name, self.born)

    @property
    def cold(self) -> bool:
        """Whether it bears little now."""
        return self.agenda.clock.now() < self.cold_until

    def registration(self) -> BackendServer:
        """Returns what the server says of itself."""
        cold_ms = max(0.0, self.cold_until - self.agenda.clock.now()) * 1000.0
        return BackendServer(
            self.name,
            self.profile.name,
            "127.0.0.1",
            1,
            self.data_centre,
            self.profile.slots,
            cold_ms=cold_ms,
            started_ms=self.born,
        )

    def holds(self, key: int) -> bool:
        """Whether a granted range with the key is in force."""
        now = self.agenda.clock.now()
        return any(
            keys.first <= key <= keys.last and now < until for (keys, _), until in self.held.items()
        )

    def arrive(self, call: Call, life: ServerIncarnation) -> None:
        """Takes a request that was sent to one of its lives."""
        if self.silent:
            return
        if self.down:
            call.ended = True
            call.done(CallOutcome(CallEnd.NOT_SENT))
            return
        if life != self.life or (self.profile.keyed and not self.holds(call.order.key)):
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

    def drop(self, call: Call) -> None:
        """Takes the close of the connection of a call."""
        if call.ended:
            return
        call.ended = True
        self._forget(call)

    def turn_cold(self) -> None:
        """Makes it cold, without a new life."""
        self.cold_until = self.agenda.clock.now() + COLD_SECONDS

    def crash(self, restart_seconds: float | None = RESTART_SECONDS) -> None:
        """Ends this life with all its work and keys; None: it is lost for good."""
        self.down = True
        lost = [*self.running, *self.waiting]
        self.running = []
        self.waiting = []
        self.held = {}
        self.fences = {}
        for call in lost:
            self._lose(call)
        if restart_seconds is not None:
            self.agenda.after(restart_seconds, self._restart)

    def grant(self, keys: KeyRange, fence: int, seconds: float) -> bool:
        """Takes a grant; returns False when a higher fence was used for some of the keys."""
        if any(known.overlaps(keys) and used > fence for known, used in self.fences.items()):
            return False
        self.fences[keys] = fence
        self._take_out(keys)
        self.held[(keys, fence)] = self.agenda.clock.now() + seconds
        return True

    def release(self, keys: KeyRange, fence: int) -> None:
        """Gives up the keys under the fence of their next holder."""
        self.fences[keys] = max(fence, self.fences.get(keys, 0))
        self._take_out(keys)

    def _take_out(self, keys: KeyRange) -> None:
        kept: dict[tuple[KeyRange, int], float] = {}
        for (held, used), until in self.held.items():
            for rest in _without(held, keys):
                kept[(rest, used)] = until
        self.held = kept

    def busy_with(self, keys: KeyRange) -> bool:
        """Whether work on any of the keys is under way."""
        return any(keys.first <= call.order.key <= keys.last for call in self.running)

    def _count_cold(self) -> None:
        now = self.agenda.clock.now()
        if not self.cold:
            return
        self.cold_arrivals.add(now)
        count = self.cold_arrivals.count(now)
        self.highest_cold = max(self.highest_cold, count)
        if count > self.allowed_cold * CRASH_FACTOR:
            self.crash()

    def _start(self, call: Call) -> None:
        call.order.runs += 1
        self.running.append(call)
        fullness = len(self.running) / self.profile.slots
        seconds = call.order.profile.work_seconds * self.speed * self.pace
        seconds *= 1.0 + FULL_SLOWDOWN * fullness
        seconds *= COLD_PACE if self.cold else 1.0
        seconds *= LEAST_PART + (1.0 - LEAST_PART) * self.source.expovariate(1.0)
        self.agenda.after(seconds, lambda: self._finish(call))

    def _finish(self, call: Call) -> None:
        if call.ended:
            return
        self._forget(call)
        if self.source.random() < self.lossy:
            self._lose(call)
        elif self.source.random() < self.grey:
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
        now = self.agenda.clock.now()
        while self.waiting and len(self.running) < self.profile.slots:
            call = self.waiting.pop(0)
            if now >= call.latest:
                self._end(call, CallEnd.DECLINED)
            else:
                self._start(call)

    def _end(self, call: Call, end: CallEnd) -> None:
        call.ended = True
        load = ServerLoad(len(self.running), len(self.waiting), self.profile.slots, self.pace)
        call.done(CallOutcome(end, load))

    def _lose(self, call: Call) -> None:
        call.ended = True
        call.done(CallOutcome(CallEnd.LOST))

    def _restart(self) -> None:
        self.down = False
        self.draining = False
        self.born += 1
        self.turn_cold()


def _without(keys: KeyRange, removed: KeyRange) -> list[KeyRange]:
    if not keys.overlaps(removed):
        return [keys]
    rest = []
    if keys.first < removed.first:
        rest.append(KeyRange(keys.first, removed.first - 1))
    if keys.last > removed.last:
        rest.append(KeyRange(removed.last + 1, keys.last))
    return rest
