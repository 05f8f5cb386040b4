"""The servers of a play: their machines, registrations, restarts and departures."""

import functools
import random

from fireflylink_core import BackendServer, ServerState
from fireflylink_experiments._ownership_search._checker import OwnershipChecker
from fireflylink_experiments._ownership_search._daemon import SERVICE
from fireflylink_experiments._ownership_search._server import SimulatedServer
from fireflylink_experiments._ownership_search._wire import Wire
from fireflylink_store import BaseUpdate, EvacuationUpdate, ServerRemoved, ServerUpdate

SERVER_COUNT = 6
DATA_CENTRES = ("kingston", "montego")
QUICK_RESTART_SECONDS = (0.02, 0.6)
SLOW_RESTART_SECONDS = (0.6, 6.0)
REGISTRATION_SECONDS = (0.02, 1.0)
"""A server registers so long after its start; daemons learn of it at their next read."""

LAPSE_SECONDS = 1.5
"""The registration of a server that is down is gone after this time."""

DRAIN_SECONDS = (0.5, 3.0)
EVACUATION_SECONDS = (1.0, 6.0)


class Fleet:
    """Servers at fixed addresses, and the updates that they have written to the store.

    ``updates`` are all of them in their order; daemons read on from where they were.
    """

    __slots__ = ("checker", "evacuated", "incarnations", "rng", "slow_fraction", "updates", "wire")

    def __init__(self, wire: Wire, checker: OwnershipChecker, rng: random.Random) -> None:
        self.wire = wire
        self.checker = checker
        self.rng = rng
        self.slow_fraction = rng.choice((0.0, 0.02, 0.1))
        self.updates: list[BaseUpdate] = []
        self.evacuated: set[str] = set()
        self.incarnations = 0
        wire.restart_quickly = self.restart_server
        for number in range(SERVER_COUNT):
            self._start(f"10.0.0.{number}", f"i-{number}")

    def snapshot(self) -> list[BaseUpdate]:
        """Returns what the store has of servers and evacuations."""
        present: dict[str, BaseUpdate] = {}
        for update in self.updates:
            if isinstance(update, ServerUpdate):
                present[update.server.server_id] = update
            elif isinstance(update, ServerRemoved):
                present.pop(update.server_id, None)
        evacuations = [EvacuationUpdate(name, True, 1) for name in sorted(self.evacuated)]
        return [*present.values(), *evacuations]

    def serve(self, keys: list[int]) -> None:
        """Sends a request of each key to each server, which runs those of its own keys."""
        for host in sorted(self.wire.servers):
            for key in keys:
                self.wire.servers[host].begin(key)

    def restart_quickly(self) -> None:
        """Restarts a server under its id, before its registration lapses."""
        self._restart(self.rng.uniform(*QUICK_RESTART_SECONDS), "")

    def restart_server(self, server: SimulatedServer) -> None:
        """Restarts one server quickly under its id."""
        for host, present in self.wire.servers.items():
            if present is server:
                self._end(host, server, self.rng.uniform(*QUICK_RESTART_SECONDS), "")
                return

    def restart(self) -> None:
        """Restarts a server under its id after a while."""
        self._restart(self.rng.uniform(*SLOW_RESTART_SECONDS), "")

    def replace(self) -> None:
        """Starts a server with another id at the address of one that has ended."""
        self.incarnations += 1
        spread = self.rng.choice((QUICK_RESTART_SECONDS, SLOW_RESTART_SECONDS))
        self._restart(self.rng.uniform(*spread), f"r-{self.incarnations}")

    def drain(self) -> None:
        """Lets a server drain, end and come back."""
        server = self._choose()
        if server is None:
            return
        host, running = server
        self._register(host, running, ServerState.DRAINING)
        self.wire.scheduler.schedule_after(
            self.rng.uniform(*DRAIN_SECONDS),
            functools.partial(self._end, host, running, self.rng.uniform(0.1, 4.0), ""),
        )

    def evacuate(self) -> None:
        """Evacuates a data centre for a while."""
        name = self.rng.choice(DATA_CENTRES)
        if self.evacuated:
            return
        self._set_evacuated(name, True)
        self.wire.scheduler.schedule_after(
            self.rng.uniform(*EVACUATION_SECONDS),
            functools.partial(self._set_evacuated, name, False),
        )

    def _set_evacuated(self, name: str, requested: bool) -> None:
        (self.evacuated.add if requested else self.evacuated.discard)(name)
        self.updates.append(EvacuationUpdate(name, requested, 1))

    def _choose(self) -> tuple[str, SimulatedServer] | None:
        if len(self.wire.servers) < SERVER_COUNT // 2:
            return None
        host = self.rng.choice(sorted(self.wire.servers))
        return host, self.wire.servers[host]

    def _restart(self, seconds: float, server_id: str) -> None:
        server = self._choose()
        if server is not None:
            self._end(*server, seconds, server_id)

    def _end(self, host: str, server: SimulatedServer, seconds: float, next_id: str) -> None:
        if not server.is_up:
            return
        server.is_up = False
        del self.wire.servers[host]
        self.checker.servers.discard(server)
        self.checker.record_event(f"{server} ends, next in {seconds:.3f} s {next_id}")
        scheduler = self.wire.scheduler
        scheduler.schedule_after(
            seconds, functools.partial(self._start, host, next_id or server.server_id)
        )
        scheduler.schedule_after(LAPSE_SECONDS, functools.partial(self._lapse, server))

    def _lapse(self, server: SimulatedServer) -> None:
        for update in reversed(self.updates):
            if isinstance(update, ServerUpdate) and update.server.server_id == server.server_id:
                if update.server.started_ms == server.started_ms:
                    self.updates.append(ServerRemoved(server.server_id, 1))
                return

    def _start(self, host: str, server_id: str) -> None:
        now = self.wire.scheduler.clock.now()
        server = SimulatedServer(
            server_id,
            round(now * 1000.0),
            self.wire.scheduler,
            self.rng,
            self.checker,
            self.slow_fraction,
        )
        self.wire.servers[host] = server
        self.checker.servers.add(server)
        self.checker.record_event(f"{server} starts")
        self.wire.scheduler.schedule_after(
            self.rng.uniform(*REGISTRATION_SECONDS),
            functools.partial(self._register, host, server, ServerState.READY),
        )

    def _register(self, host: str, server: SimulatedServer, state: ServerState) -> None:
        if not server.is_up:
            return
        data_centre = DATA_CENTRES[int(host[-1]) % len(DATA_CENTRES)]
        registration = BackendServer(
            server.server_id,
            SERVICE,
            host,
            80,
            data_centre,
            4,
            state,
            started_ms=server.started_ms,
        )
        self.updates.append(ServerUpdate(registration, 1))
