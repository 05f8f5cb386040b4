"""A run of generated requests with faults."""

import functools
import random

from fireflylink_core import KEY_COUNT
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._profile import APPROVALS, FLEET, LOOKUPS

FAULT_PROFILES = (LOOKUPS, APPROVALS)
RATE = 160.0
LOOKUP_PART = 0.7
FAULT_SECONDS = 4.0
"""On average one fault begins in this time."""

LONGEST_SECONDS = 8.0
LEAVERS = 0.05
IMPATIENT = 0.1
DECIDER_LEASE_SECONDS = 1.4
STEP_SECONDS = 10.0


class _Faults:
    """Begins and ends faults at random moments, several at once."""

    __slots__ = ("begun", "emulation", "rng")

    def __init__(self, emulation: Emulation, rng: random.Random) -> None:
        self.emulation = emulation
        self.rng = rng
        self.begun: dict[str, int] = {}

    def start(self) -> None:
        """Begins faults until the run ends."""
        self.emulation.scheduler.schedule_after(
            self.rng.expovariate(1.0 / FAULT_SECONDS), self._next
        )

    def _next(self) -> None:
        kinds = (
            self._crash,
            self._slow,
            self._grey,
            self._lossy,
            self._cold,
            self._silent,
            self._replace,
            self._decider,
        )
        kind = self.rng.choice(kinds)
        name = kind.__name__.removeprefix("_")
        self.begun[name] = self.begun.get(name, 0) + 1
        kind()
        self.start()

    def _server(self) -> EmulatedServer:
        return self.rng.choice(self.emulation.servers)

    def _seconds(self) -> float:
        return self.rng.uniform(1.0, LONGEST_SECONDS)

    def _restore(self, server: EmulatedServer, name: str, value: float | bool) -> None:
        """Ends a fault of a server after a random time."""
        restored = functools.partial(setattr, server, name, value)
        self.emulation.scheduler.schedule_after(self._seconds(), restored)

    def _crash(self) -> None:
        server = self._server()
        if not server.down:
            server.crash()

    def _slow(self) -> None:
        server = self._server()
        server.slowdown_factor = self.rng.uniform(2.0, 12.0)
        self.emulation.scheduler.schedule_after(
            self._seconds(), functools.partial(setattr, server, "slowdown_factor", 1.0)
        )

    def _grey(self) -> None:
        server = self._server()
        server.failure_fraction = self.rng.uniform(0.1, 0.9)
        self.emulation.scheduler.schedule_after(
            self._seconds(), functools.partial(setattr, server, "failure_fraction", 0.0)
        )

    def _lossy(self) -> None:
        server = self._server()
        server.answer_loss_fraction = self.rng.uniform(0.1, 0.9)
        self.emulation.scheduler.schedule_after(
            self._seconds(), functools.partial(setattr, server, "answer_loss_fraction", 0.0)
        )

    def _cold(self) -> None:
        self._server().make_cold()

    def _silent(self) -> None:
        server = self._server()
        server.unresponsive = True
        self.emulation.scheduler.schedule_after(
            self._seconds(), functools.partial(setattr, server, "unresponsive", False)
        )

    def _replace(self) -> None:
        server = self._server()
        if not server.down and not server.draining:
            self.emulation.replace_server(server)

    def _decider(self) -> None:
        for decider in self.emulation.deciders.values():
            if decider.running:
                decider.stop()
                self.emulation.scheduler.schedule_after(DECIDER_LEASE_SECONDS, decider.start)


def run_with_faults(requests: int, seed: int) -> tuple[Emulation, dict[str, int]]:
    """Plays a number of requests with faults; returns the run and how many faults there were."""
    emulation = Emulation(FAULT_PROFILES, FLEET, seed)
    emulation.callers.early_disconnect_fraction = LEAVERS
    emulation.callers.impatient_fraction = IMPATIENT
    rng = random.Random(seed + 2)
    faults = _Faults(emulation, random.Random(seed + 3))
    faults.start()
    asked = 0

    def ask() -> None:
        nonlocal asked
        profile = LOOKUPS if rng.random() < LOOKUP_PART else APPROVALS
        emulation.callers.send_request(profile, rng.randrange(KEY_COUNT))
        asked += 1
        if asked < requests:
            emulation.scheduler.schedule_after(rng.expovariate(RATE), ask)

    ask()
    while asked < requests:
        emulation.scheduler.run_until(emulation.scheduler.clock.now() + STEP_SECONDS)
    emulation.finish(STEP_SECONDS)
    return emulation, faults.begun
