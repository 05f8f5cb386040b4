"""The faults of a run that moves many keys: owners change while their work is slow."""

import random
import signal

import gevent

from fireflylink_soak._faults import (
    BaseFault,
    Evacuate,
    HarmProxy,
    HarmStore,
    PauseProcess,
    RestartDaemon,
    RestartServer,
    SwapAddresses,
)
from fireflylink_soak._proxy import EdgeFault
from fireflylink_soak._system import ServerProcess, SoakSystem
from fireflylink_standins import DATA_CENTRES

MAX_LATE_SECONDS = 12.0
MIN_LATE_SECONDS = 2.0
MAX_HELD_UP_SECONDS = 0.55
"""A grant that is held up for so long still arrives before its sender gives it up."""


class DrainAndReturn(BaseFault):
    """Registers a server as draining, and as ready again after a time."""

    __slots__ = ("seconds", "server")

    def __init__(self, server: ServerProcess, seconds: float) -> None:
        self.server = server
        self.seconds = seconds

    def inject(self, system: SoakSystem) -> None:
        process = self.server.process
        for number in (signal.SIGUSR1, signal.SIGUSR2):
            if process is not None and process.poll() is None:
                system.notify(process.pid, number)
            gevent.sleep(self.seconds)

    def __str__(self) -> str:
        return f"drain and return server {self.server.server_id} {self.seconds:.1f} s"


def draw_move_fault(generator: random.Random, system: SoakSystem) -> BaseFault:
    """Returns the next fault; the same seed gives the same sequence."""
    seconds = generator.uniform(0.5, 3.0)
    daemon = generator.choice(system.daemons)
    server, other = generator.choices([server for server in system.servers if server.keyed], k=2)
    kinds: list[tuple[int, BaseFault]] = [
        (8, _draw_harm(generator, server, seconds)),
        (5, DrainAndReturn(server, seconds)),
        (3, RestartServer(server, is_planned=False, keeps_id=True)),
        (3, Evacuate(generator.choice(DATA_CENTRES), seconds)),
        (1, RestartServer(server, is_planned=False)),
        (1, SwapAddresses(server, other)),
        (1, RestartDaemon(daemon, is_planned=False)),
        (1, PauseProcess(generator.choice((daemon, server)), seconds)),
        (1, HarmStore(generator.choice(("down", "revoke-daemon-leases")), seconds)),
    ]
    weights = [weight for weight, _ in kinds]
    return generator.choices([fault for _, fault in kinds], weights)[0]


def _draw_harm(generator: random.Random, server: ServerProcess, seconds: float) -> BaseFault:
    faults = [
        EdgeFault(late_seconds=generator.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS)),
        EdgeFault(repeats_answers=True, repeat_after=generator.uniform(0.0, 2.0)),
        EdgeFault(repeats_before_next=True),
        EdgeFault(drops_to_caller=True),
        EdgeFault(delay_seconds=generator.uniform(0.02, MAX_HELD_UP_SECONDS)),
        EdgeFault(connects_after=generator.uniform(0.1, MAX_HELD_UP_SECONDS)),
    ]
    name, resets = f"daemons-{server.number}", generator.random() < 0.5
    return HarmProxy(server.proxy, name, generator.choice(faults), resets, seconds)
