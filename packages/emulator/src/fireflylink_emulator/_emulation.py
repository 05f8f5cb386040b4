"""A whole deployment on a manual clock: callers, daemons, servers, and who decides on keys."""

import functools
import random

from fireflylink_core import Assignment, KeyRange, ManualClock, OwnershipTable
from fireflylink_decisions.ownership import Candidate, initial_table
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._baseline_daemon import BaselineDaemon
from fireflylink_emulator._callers import Callers
from fireflylink_emulator._emulated_decider import EmulatedDecider
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._pattern import ArrivalPattern
from fireflylink_emulator._profile import FleetProfile, ServiceProfile
from fireflylink_emulator._routed_daemon import RoutedDaemon

REFRESH_SECONDS = 0.2
EXPIRY_SECONDS = 1.5
"""A silent server's registration ends after this time."""

SETTLE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
RESTART_SECONDS = 0.5
SLOWEST = 1.4
FASTEST = 0.7
ENDLESS_SECONDS = 1e9
LAST_ANSWERS_SECONDS = 6.0


class Emulation:
    """One run. ``baseline`` uses the baseline: no limits, no placement, keys that never move.

    Example::

        emulation = Emulation((LOOKUPS,), FLEET, seed=1)
        emulation.replay(pattern)
        print(emulation.callers.statistics_of(LOOKUPS).earned_fraction)
    """

    __slots__ = (
        "callers",
        "daemons",
        "deciders",
        "fleet",
        "profiles",
        "rng",
        "scheduler",
        "servers",
        "since_silent",
        "static",
    )

    def __init__(
        self,
        profiles: tuple[ServiceProfile, ...],
        fleet: FleetProfile,
        seed: int,
        baseline: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.scheduler = EventScheduler(ManualClock())
        self.fleet = fleet
        self.profiles = profiles
        services = {profile.name: profile for profile in reversed(profiles)}.values()
        self.servers = [server for profile in services for server in self._servers_of(profile)]
        self.since_silent: dict[EmulatedServer, float] = {}
        routed = [] if baseline else self._routed_daemons()
        self.daemons: list[BaseEmulatedDaemon] = [*routed] or self._baseline_daemons()
        self.callers = Callers(self.scheduler, self.daemons, random.Random(seed + 1))
        self.deciders: dict[str, EmulatedDecider] = {}
        self.static: dict[str, list[tuple[EmulatedServer, KeyRange]]] = {}
        for profile in services:
            if profile.keyed and baseline:
                self.static[profile.name] = self._static_owners(profile)
            elif profile.keyed:
                of_service = self.servers_of(profile)
                self.deciders[profile.name] = EmulatedDecider(
                    profile, of_service, routed, self.scheduler
                )
        self._refresh()
        for decider in self.deciders.values():
            decider.is_registered = self._is_registered
            decider.start()
        self.scheduler.run_until(self.scheduler.clock.now() + SETTLE_SECONDS)

    def servers_of(self, profile: ServiceProfile) -> list[EmulatedServer]:
        """Returns the servers of a service."""
        return [server for server in self.servers if server.profile.name == profile.name]

    def replay(self, pattern: ArrivalPattern) -> None:
        """Plays a pattern from now to the end of its last request."""
        began_at = self.scheduler.clock.now()
        for arrival in pattern.arrivals:
            profile = self.profiles[arrival.profile_index]
            asking = functools.partial(self.callers.send_request, profile, arrival.key)
            self.scheduler.schedule_at(began_at + arrival.seconds, asking)
        self.finish(pattern.seconds)

    def finish(self, seconds: float) -> None:
        """Runs for a time and to the end of the last request."""
        self.scheduler.run_until(self.scheduler.clock.now() + seconds + LAST_ANSWERS_SECONDS)
        self.callers.check_guarantees()

    def stop_daemon(self, daemon: BaseEmulatedDaemon) -> None:
        """Ends a daemon; the others learn of it when its lease has ended."""
        daemon.running = False
        self.scheduler.schedule_after(EXPIRY_SECONDS, self._tell_members)

    def isolate_data_centre(self, data_centre: str) -> None:
        """Makes everything in a data centre unresponsive."""
        for server in self.servers:
            if server.data_centre == data_centre:
                server.unresponsive = True
        for daemon in self.daemons:
            if daemon.data_centre == data_centre:
                self.stop_daemon(daemon)

    def replace_server(self, server: EmulatedServer) -> None:
        """Drains a server, and starts it again as another, cold incarnation."""
        server.draining = True
        self._refresh_once()
        self.scheduler.schedule_after(DRAIN_SECONDS, lambda: server.crash(RESTART_SECONDS))

    def _servers_of(self, profile: ServiceProfile) -> list[EmulatedServer]:
        centres = self.fleet.data_centres
        return [
            EmulatedServer(
                f"{profile.name}-{number:02d}",
                profile,
                self.fleet,
                centres[number % len(centres)],
                self.rng.uniform(FASTEST, SLOWEST),
                self.scheduler,
                random.Random(self.rng.random()),
            )
            for number in range(profile.servers)
        ]

    def _names(self) -> tuple[str, ...]:
        return tuple(f"front-{number:02d}" for number in range(self.fleet.daemons))

    def _routed_daemons(self) -> list[RoutedDaemon]:
        names = self._names()
        return [
            RoutedDaemon(
                name, self._centre(number), self.fleet, self.scheduler, self.profiles, names
            )
            for number, name in enumerate(names)
        ]

    def _baseline_daemons(self) -> list[BaseEmulatedDaemon]:
        return [
            BaselineDaemon(name, self._centre(number), self.fleet, self.scheduler)
            for number, name in enumerate(self._names())
        ]

    def _centre(self, number: int) -> str:
        return self.fleet.data_centres[number % len(self.fleet.data_centres)]

    def _tell_members(self) -> None:
        names = tuple(daemon.name for daemon in self.daemons if daemon.running)
        for daemon in self.daemons:
            if isinstance(daemon, RoutedDaemon):
                daemon.update_members(names)

    def _refresh(self) -> None:
        self._refresh_once()
        self.scheduler.schedule_after(REFRESH_SECONDS, self._refresh)

    def _refresh_once(self) -> None:
        now = self.scheduler.clock.now()
        registered = []
        for server in self.servers:
            if not server.down and not server.unresponsive:
                self.since_silent.pop(server, None)
            elif server not in self.since_silent:
                self.since_silent[server] = now
            # A draining owner is sent the requests of its keys while they move.
            serves = server.profile.keyed or not server.draining
            if serves and self._is_registered(server):
                registered.append(server)
        for daemon in self.daemons:
            daemon.update_servers(registered)
        for name, owners in self.static.items():
            self._grant_static(name, owners)

    def _is_registered(self, server: EmulatedServer) -> bool:
        since = self.since_silent.get(server)
        return since is None or self.scheduler.clock.now() < since + EXPIRY_SECONDS

    def _static_owners(self, profile: ServiceProfile) -> list[tuple[EmulatedServer, KeyRange]]:
        servers = self.servers_of(profile)
        candidates = [Candidate(server.incarnation, 1.0, server.data_centre) for server in servers]
        table = initial_table(profile.name, candidates, 1)
        by_life = {server.incarnation: server for server in servers}
        return [(by_life[found.owner], found.keys) for found in table.assignments]

    def _grant_static(self, name: str, owners: list[tuple[EmulatedServer, KeyRange]]) -> None:
        for server, keys in owners:
            if not server.down and not server.held_ranges:
                server.grant(keys, 1, ENDLESS_SECONDS)
        assignments = tuple(Assignment(keys, server.incarnation, 1) for server, keys in owners)
        for daemon in self.daemons:
            daemon.update_table(OwnershipTable(name, 1, assignments))
