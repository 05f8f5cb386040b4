"""A run of generated requests with faults of random kind, time, strength and duration."""

import functools
import random

from fireflylink_core import KEY_COUNT
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._profile import APPROVALS, FLEET, LOOKUPS

FAULT_RUN_PROFILES = (LOOKUPS, APPROVALS)
REQUESTS_PER_SECOND = 160.0
LOOKUP_FRACTION = 0.7
"""Fraction of the requests that are lookups; the others are approvals. New requests arrive at
about 43% of the capacity for lookups and 50% of that for approvals."""

MEAN_FAULT_INTERVAL_SECONDS = 4.0
"""Mean of the exponentially distributed time between the starts of two faults."""

MAX_FAULT_SECONDS = 8.0
EARLY_DISCONNECT_FRACTION = 0.05
IMPATIENT_FRACTION = 0.1
DECIDER_TAKEOVER_SECONDS = 1.4
"""Time from the loss of the decider until its successor starts: lease of 1.2 s and election."""

STEP_SECONDS = 10.0
"""The run is advanced by this time until all requests are sent, and once more at its end."""


class _FaultInjector:
    """Injects faults at random times; several may be active at once.

    The names of the fault methods, without the underscore, are the keys of ``fault_counts``.
    """

    __slots__ = ("emulation", "fault_counts", "rng")

    def __init__(self, emulation: Emulation, rng: random.Random) -> None:
        self.emulation = emulation
        self.rng = rng
        self.fault_counts: dict[str, int] = {}

    def schedule_next(self) -> None:
        """Schedules the next fault; each fault schedules another one until the run ends."""
        self.emulation.scheduler.schedule_after(
            self.rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_SECONDS), self._inject_next
        )

    def _inject_next(self) -> None:
        faults = (
            self._crash,
            self._slow,
            self._grey,
            self._lossy,
            self._cold,
            self._silent,
            self._replace,
            self._decider,
        )
        fault = self.rng.choice(faults)
        name = fault.__name__.removeprefix("_")
        self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
        fault()
        self.schedule_next()

    def _random_server(self) -> EmulatedServer:
        return self.rng.choice(self.emulation.servers)

    def _random_duration(self) -> float:
        return self.rng.uniform(1.0, MAX_FAULT_SECONDS)

    def _restore(self, server: EmulatedServer, name: str, value: float | bool) -> None:
        """Sets an attribute of a server back to ``value`` after a random time."""
        restore = functools.partial(setattr, server, name, value)
        self.emulation.scheduler.schedule_after(self._random_duration(), restore)

    def _crash(self) -> None:
        server = self._random_server()
        if not server.down:
            server.crash()

    def _slow(self) -> None:
        server = self._random_server()
        server.slowdown_factor = self.rng.uniform(2.0, 12.0)
        self.emulation.scheduler.schedule_after(
            self._random_duration(), functools.partial(setattr, server, "slowdown_factor", 1.0)
        )

    def _grey(self) -> None:
        server = self._random_server()
        server.failure_fraction = self.rng.uniform(0.1, 0.9)
        self.emulation.scheduler.schedule_after(
            self._random_duration(), functools.partial(setattr, server, "failure_fraction", 0.0)
        )

    def _lossy(self) -> None:
        server = self._random_server()
        server.answer_loss_fraction = self.rng.uniform(0.1, 0.9)
        self.emulation.scheduler.schedule_after(
            self._random_duration(), functools.partial(setattr, server, "answer_loss_fraction", 0.0)
        )

    def _cold(self) -> None:
        self._random_server().make_cold()

    def _silent(self) -> None:
        server = self._random_server()
        server.unresponsive = True
        self.emulation.scheduler.schedule_after(
            self._random_duration(), functools.partial(setattr, server, "unresponsive", False)
        )

    def _replace(self) -> None:
        server = self._random_server()
        if not server.down and not server.draining:
            self.emulation.replace_server(server)

    def _decider(self) -> None:
        for decider in self.emulation.deciders.values():
            if decider.running:
                decider.stop()
                self.emulation.scheduler.schedule_after(DECIDER_TAKEOVER_SECONDS, decider.start)


def run_with_faults(requests: int, seed: int) -> tuple[Emulation, dict[str, int]]:
    """Runs a number of requests with faults; returns the emulation and the fault counts.

    The fault counts are how often each kind of fault was injected.
    """
    emulation = Emulation(FAULT_RUN_PROFILES, FLEET, seed)
    emulation.callers.early_disconnect_fraction = EARLY_DISCONNECT_FRACTION
    emulation.callers.impatient_fraction = IMPATIENT_FRACTION
    rng = random.Random(seed + 2)
    injector = _FaultInjector(emulation, random.Random(seed + 3))
    injector.schedule_next()
    sent = 0

    def send_next() -> None:
        nonlocal sent
        profile = LOOKUPS if rng.random() < LOOKUP_FRACTION else APPROVALS
        emulation.callers.send_request(profile, rng.randrange(KEY_COUNT))
        sent += 1
        if sent < requests:
            emulation.scheduler.schedule_after(rng.expovariate(REQUESTS_PER_SECOND), send_next)

    send_next()
    while sent < requests:
        emulation.scheduler.run_until(emulation.scheduler.clock.now() + STEP_SECONDS)
    emulation.finish(STEP_SECONDS)
    return emulation, injector.fault_counts
