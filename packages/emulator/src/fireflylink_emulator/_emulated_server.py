"""Emulated backend server with slots, a short queue, variable speed and injected faults."""

import random

from fireflylink_core import BackendServer, KeyRange, ServerIncarnation, ServerLoad
from fireflylink_decisions.limits import SlidingWindowCounter
from fireflylink_emulator._caller_attempt import (
    CallerAttempt,
    CallOutcome,
    CallStatus,
    OutcomeCallback,
)
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._pause_record import PauseRecord
from fireflylink_emulator._profile import FleetProfile, ServiceProfile

QUEUED_CALLS_PER_SLOT = 2
FULL_LOAD_SLOWDOWN_FRACTION = 0.3
"""By this fraction a call takes longer when all slots are in use."""

DRAIN_SECONDS = 2.0
"""Time from the announcement of a server that it leaves until it may get no more requests."""

COLD_SECONDS = 6.0
COLD_SLOWDOWN_FACTOR = 1.6
CRASH_RESTART_SECONDS = 4.0
"""Time from a crash until the next incarnation starts."""

COLD_CRASH_LIMIT_FACTOR = 2.0
"""A cold server crashes above this multiple of its cold limit."""

MIN_SERVICE_TIME_FRACTION = 0.5
"""Minimum service time as a fraction of the mean; the rest is exponentially distributed."""

FIRST_STARTED_MS = 1
"""Start time of the first incarnation; each restart adds 1, which suffices to tell them apart."""


class Call:
    """One request that a daemon sent to a server.

    ``on_done`` receives the outcome. A queued call whose ``deadline``, a clock time in seconds, has
    passed when a slot becomes free is declined instead of run. ``sender`` is the daemon's name.
    """

    __slots__ = ("attempt", "deadline", "ended", "on_done", "sender")

    def __init__(
        self, attempt: CallerAttempt, deadline: float, on_done: OutcomeCallback, sender: str = ""
    ) -> None:
        self.sender = sender
        self.attempt = attempt
        self.deadline = deadline
        self.on_done = on_done
        self.ended = False


class EmulatedServer:
    """One backend server over all its incarnations.

    ``held_ranges`` maps each granted range and its fence (fencing token) to the time when the hold
    expires; ``fences`` has the highest fence seen for each range. ``service_time_factor`` is the
    server's constant service time relative to its profile, ``slowdown_factor`` that of a fault; 1
    is normal. ``failure_fraction`` is the fraction of requests that fail, ``answer_loss_fraction``
    that of answers that are lost. ``cold_limit`` is the number of requests per second that all
    daemons together may send while the server is cold (in warm-up), and
    ``peak_cold_requests_per_second`` the highest number that it received in any second while cold.
    A ``down`` server refuses connections, an ``unresponsive`` one ignores new requests and
    commands; both are unreachable.

    If ``pause_seconds`` is not 0, the server queues no requests, and asks for a pause of that
    length when its slots are in use; ``pauses`` counts what it receives meanwhile. If
    ``announces_leaving`` is true, it says with each answer that it leaves;
    ``arrivals_after_leaving`` counts the requests of daemons that had such an answer longer ago
    than ``DRAIN_SECONDS``.
    """

    __slots__ = (
        "announced_to",
        "announces_leaving",
        "answer_loss_fraction",
        "arrivals_after_leaving",
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
        "pause_seconds",
        "pauses",
        "peak_cold_requests_per_second",
        "profile",
        "rng",
        "running_calls",
        "scheduler",
        "service_time_factor",
        "slowdown_factor",
        "started_ms",
        "unresponsive",
        "waiting_calls",
    )

    def __init__(
        self,
        name: str,
        profile: ServiceProfile,
        fleet: FleetProfile,
        data_centre: str,
        service_time_factor: float,
        scheduler: EventScheduler,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.profile = profile
        self.data_centre = data_centre
        self.service_time_factor = service_time_factor
        self.scheduler = scheduler
        self.rng = rng
        self.cold_limit = (
            profile.max_cold_requests_per_second * fleet.cold_factor + fleet.cold_extra
        )
        self.started_ms = FIRST_STARTED_MS
        self.down = False
        self.unresponsive = False
        self.draining = False
        self.slowdown_factor = 1.0
        self.failure_fraction = 0.0
        self.answer_loss_fraction = 0.0
        self.announces_leaving = False
        self.announced_to: dict[str, float] = {}
        self.arrivals_after_leaving = 0
        self.pause_seconds = 0.0
        self.pauses = PauseRecord()
        self.cold_until = float("-inf")
        self.cold_arrivals = SlidingWindowCounter(1.0)
        self.peak_cold_requests_per_second = 0
        self.held_ranges: dict[tuple[KeyRange, int], float] = {}
        self.fences: dict[KeyRange, int] = {}
        self.running_calls: list[Call] = []
        self.waiting_calls: list[Call] = []

    @property
    def incarnation(self) -> ServerIncarnation:
        """The current incarnation."""
        return ServerIncarnation(self.name, self.started_ms)

    @property
    def is_cold(self) -> bool:
        """Whether the server is in warm-up and can take few requests."""
        return self.scheduler.clock.now() < self.cold_until

    def registration(self) -> BackendServer:
        """Returns the registration that the server publishes."""
        cold_ms = max(0.0, self.cold_until - self.scheduler.clock.now()) * 1000.0
        return BackendServer(
            self.name,
            self.profile.service,
            "127.0.0.1",
            1,
            self.data_centre,
            self.profile.slots,
            cold_ms=cold_ms,
            started_ms=self.started_ms,
        )

    def holds(self, key: int) -> bool:
        """Whether the server has an unexpired grant of a range with the key."""
        now = self.scheduler.clock.now()
        return any(
            keys.first <= key <= keys.last and now < expires_at
            for (keys, _), expires_at in self.held_ranges.items()
        )

    def receive(self, call: Call, incarnation: ServerIncarnation) -> None:
        """Receives a request that was sent to the given incarnation of the server."""
        if self.unresponsive:
            return
        if self.down:
            call.ended = True
            call.on_done(CallOutcome(CallStatus.NOT_SENT))
            return
        if incarnation != self.incarnation or (
            self.profile.keyed and not self.holds(call.attempt.key)
        ):
            self._answer(call, CallStatus.MISDIRECTED)
            return
        self._record_cold_arrival()
        now = self.scheduler.clock.now()
        self.pauses.record_arrival(call.sender, now)
        if now > self.announced_to.get(call.sender, now) + DRAIN_SECONDS:
            self.arrivals_after_leaving += 1
        if self.down:
            self._reset_connection(call)
        elif len(self.running_calls) < self.profile.slots:
            self._start(call)
        elif self.pause_seconds:
            self.pauses.record_pause(call.sender, self.scheduler.clock.now(), self.pause_seconds)
            self._answer(call, CallStatus.DECLINED, self.pause_seconds)
        elif len(self.waiting_calls) < self.profile.slots * QUEUED_CALLS_PER_SLOT:
            self.waiting_calls.append(call)
        else:
            self._answer(call, CallStatus.DECLINED)

    def on_disconnect(self, call: Call) -> None:
        """Aborts a call whose connection the daemon has closed."""
        if call.ended:
            return
        call.ended = True
        self._remove(call)

    def make_cold(self) -> None:
        """Puts the server into warm-up without starting a new incarnation."""
        self.cold_until = self.scheduler.clock.now() + COLD_SECONDS

    def crash(self, restart_seconds: float | None = CRASH_RESTART_SECONDS) -> None:
        """Ends the current incarnation: connections are reset and grants are lost.

        The next one starts after ``restart_seconds``; with None the server stays down.
        """
        self.down = True
        aborted = [*self.running_calls, *self.waiting_calls]
        self.running_calls = []
        self.waiting_calls = []
        self.held_ranges = {}
        self.fences = {}
        for call in aborted:
            self._reset_connection(call)
        if restart_seconds is not None:
            self.scheduler.schedule_after(restart_seconds, self._restart)

    def grant(self, keys: KeyRange, fence: int, seconds: float) -> bool:
        """Accepts a grant; returns False if a higher fence was seen for any of the keys."""
        if any(seen.overlaps(keys) and highest > fence for seen, highest in self.fences.items()):
            return False
        self.fences[keys] = fence
        self._remove_held_keys(keys)
        self.held_ranges[(keys, fence)] = self.scheduler.clock.now() + seconds
        return True

    def release(self, keys: KeyRange, fence: int) -> None:
        """Releases the keys; ``fence`` is that of their next holder."""
        self.fences[keys] = max(fence, self.fences.get(keys, 0))
        self._remove_held_keys(keys)

    def _remove_held_keys(self, keys: KeyRange) -> None:
        remaining: dict[tuple[KeyRange, int], float] = {}
        for (held, fence), expires_at in self.held_ranges.items():
            for rest in _subtract(held, keys):
                remaining[(rest, fence)] = expires_at
        self.held_ranges = remaining

    def has_running_calls(self, keys: KeyRange) -> bool:
        """Whether a call for any of the keys is running."""
        return any(keys.first <= call.attempt.key <= keys.last for call in self.running_calls)

    def _record_cold_arrival(self) -> None:
        now = self.scheduler.clock.now()
        if not self.is_cold:
            return
        self.cold_arrivals.add(now)
        count = self.cold_arrivals.count(now)
        self.peak_cold_requests_per_second = max(self.peak_cold_requests_per_second, count)
        if count > self.cold_limit * COLD_CRASH_LIMIT_FACTOR:
            self.crash()

    def _start(self, call: Call) -> None:
        call.attempt.executions += 1
        self.running_calls.append(call)
        utilisation = len(self.running_calls) / self.profile.slots
        seconds = (
            call.attempt.profile.mean_service_seconds
            * self.service_time_factor
            * self.slowdown_factor
        )
        seconds *= 1.0 + FULL_LOAD_SLOWDOWN_FRACTION * utilisation
        seconds *= COLD_SLOWDOWN_FACTOR if self.is_cold else 1.0
        seconds *= MIN_SERVICE_TIME_FRACTION + (
            1.0 - MIN_SERVICE_TIME_FRACTION
        ) * self.rng.expovariate(1.0)
        self.scheduler.schedule_after(seconds, lambda: self._finish(call))

    def _finish(self, call: Call) -> None:
        if call.ended:
            return
        self._remove(call)
        if self.rng.random() < self.answer_loss_fraction:
            self._reset_connection(call)
        elif self.rng.random() < self.failure_fraction:
            self._answer(call, CallStatus.FAILED)
        else:
            self._answer(call, CallStatus.ANSWERED)

    def _remove(self, call: Call) -> None:
        if call in self.waiting_calls:
            self.waiting_calls.remove(call)
        if call in self.running_calls:
            self.running_calls.remove(call)
            self._start_next()

    def _start_next(self) -> None:
        now = self.scheduler.clock.now()
        while self.waiting_calls and len(self.running_calls) < self.profile.slots:
            call = self.waiting_calls.pop(0)
            if now >= call.deadline:
                self._answer(call, CallStatus.DECLINED)
            else:
                self._start(call)

    def _answer(self, call: Call, status: CallStatus, pause_seconds: float = 0.0) -> None:
        call.ended = True
        load = ServerLoad(
            len(self.running_calls),
            len(self.waiting_calls),
            self.profile.slots,
            self.slowdown_factor,
        )
        if self.announces_leaving:
            self.announced_to.setdefault(call.sender, self.scheduler.clock.now())
        call.on_done(CallOutcome(status, load, pause_seconds, self.announces_leaving))

    def _reset_connection(self, call: Call) -> None:
        call.ended = True
        call.on_done(CallOutcome(CallStatus.LOST))

    def _restart(self) -> None:
        self.down = False
        self.draining = False
        self.announces_leaving = False
        self.announced_to = {}
        self.started_ms += 1
        self.make_cold()


def _subtract(keys: KeyRange, removed: KeyRange) -> list[KeyRange]:
    if not keys.overlaps(removed):
        return [keys]
    rest = []
    if keys.first < removed.first:
        rest.append(KeyRange(keys.first, removed.first - 1))
    if keys.last > removed.last:
        rest.append(KeyRange(removed.last + 1, keys.last))
    return rest
