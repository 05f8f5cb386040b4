"""Emulated deployment on a manual clock: callers, daemons, servers and deciders."""

import functools
import random

from fireflylink_core import Assignment, KeyRange, ManualClock, OwnershipTable
from fireflylink_decisions.ownership import Candidate, initial_table
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._baseline_daemon import BaselineDaemon
from fireflylink_emulator._callers import Callers
from fireflylink_emulator._emulated_decider import EmulatedDecider
from fireflylink_emulator._emulated_server import DRAIN_SECONDS, EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._pattern import ArrivalPattern
from fireflylink_emulator._profile import FleetProfile, ServiceProfile
from fireflylink_emulator._routed_daemon import RoutedDaemon

REGISTRATION_REFRESH_SECONDS = 0.2
LEASE_SECONDS = 1.5
"""Until this has passed, an unreachable server stays registered and a stopped daemon listed."""

FIRST_GRANTS_SECONDS = 3.0
"""Time for the first grants before requests arrive."""

REPLACEMENT_RESTART_SECONDS = 0.5
"""Time from the stop of a drained server until its next incarnation starts."""

MAX_SERVICE_TIME_FACTOR = 1.4
MIN_SERVICE_TIME_FACTOR = 0.7
"""Each server's constant service time factor is drawn at random between these two: the servers of a
service differ in speed."""

STATIC_HOLD_SECONDS = 1e9
"""Hold of the servers behind ``BaselineDaemon``, which is never renewed: longer than every run."""

COMPLETION_SECONDS = 6.0
"""Time to complete the outstanding requests at the end of a run."""


class Emulation:
    """One run of a deployment.

    With ``baseline``, each daemon is a ``BaselineDaemon``, and keys never move.
    ``unreachable_since`` maps each server that is down or unresponsive to the time when this was
    first seen; ``static_assignments`` has the owners and key ranges of the baseline by service. An
    While ``store_reachable`` is false, no daemon learns of a change of the registrations. An
    owner is the server that the ownership table assigns keys to; it holds them, and runs requests
    for them, only with an unexpired grant.

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
        "static_assignments",
        "store_reachable",
        "unreachable_since",
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
        # Of the profiles that share a service, the first one is the profile of its servers.
        services = {profile.service: profile for profile in reversed(profiles)}.values()
        self.servers = [server for profile in services for server in self._create_servers(profile)]
        self.store_reachable = True
        self.unreachable_since: dict[EmulatedServer, float] = {}
        routed = [] if baseline else self._create_routed_daemons()
        self.daemons: list[BaseEmulatedDaemon] = [*routed] or self._create_baseline_daemons()
        self.callers = Callers(self.scheduler, self.daemons, random.Random(seed + 1))
        self.deciders: dict[str, EmulatedDecider] = {}
        self.static_assignments: dict[str, list[tuple[EmulatedServer, KeyRange]]] = {}
        for profile in services:
            if profile.keyed and baseline:
                self.static_assignments[profile.service] = self._create_static_assignments(profile)
            elif profile.keyed:
                service_servers = self.servers_of(profile)
                self.deciders[profile.service] = EmulatedDecider(
                    profile, service_servers, routed, self.scheduler
                )
        self._refresh_periodically()
        for decider in self.deciders.values():
            decider.is_registered = self._is_registered
            decider.start()
        self.scheduler.run_until(self.scheduler.clock.now() + FIRST_GRANTS_SECONDS)

    def servers_of(self, profile: ServiceProfile) -> list[EmulatedServer]:
        """Returns the servers of a service."""
        return [server for server in self.servers if server.profile.service == profile.service]

    def replay(self, pattern: ArrivalPattern) -> None:
        """Replays a pattern and runs until its last request has ended."""
        started_at = self.scheduler.clock.now()
        for arrival in pattern.arrivals:
            profile = self.profiles[arrival.profile_index]
            send_request = functools.partial(self.callers.send_request, profile, arrival.key)
            self.scheduler.schedule_at(started_at + arrival.offset_seconds, send_request)
        self.finish(pattern.duration_seconds)

    def finish(self, seconds: float) -> None:
        """Runs for a number of seconds and until the last request has ended."""
        self.scheduler.run_until(self.scheduler.clock.now() + seconds + COMPLETION_SECONDS)
        self.callers.count_refused_but_executed()

    def stop_daemon(self, daemon: BaseEmulatedDaemon) -> None:
        """Stops a daemon; the others are informed when its lease has expired."""
        daemon.running = False
        self.scheduler.schedule_after(LEASE_SECONDS, self._update_members)

    def isolate_data_centre(self, data_centre: str) -> None:
        """Makes all servers in a data centre unresponsive and stops its daemons."""
        for server in self.servers:
            if server.data_centre == data_centre:
                server.unresponsive = True
        for daemon in self.daemons:
            if daemon.data_centre == data_centre:
                self.stop_daemon(daemon)

    def replace_server(self, server: EmulatedServer) -> None:
        """Drains a server, then restarts it as a new incarnation, which is cold."""
        server.draining = True
        self._refresh_registrations()
        self.scheduler.schedule_after(
            DRAIN_SECONDS, lambda: server.crash(REPLACEMENT_RESTART_SECONDS)
        )

    def _create_servers(self, profile: ServiceProfile) -> list[EmulatedServer]:
        centres = self.fleet.data_centres
        return [
            EmulatedServer(
                f"{profile.service}-{number:02d}",
                profile,
                self.fleet,
                centres[number % len(centres)],
                self.rng.uniform(MIN_SERVICE_TIME_FACTOR, MAX_SERVICE_TIME_FACTOR),
                self.scheduler,
                random.Random(self.rng.random()),
            )
            for number in range(profile.server_count)
        ]

    def _daemon_names(self) -> tuple[str, ...]:
        return tuple(f"front-{number:02d}" for number in range(self.fleet.daemon_count))

    def _create_routed_daemons(self) -> list[RoutedDaemon]:
        names = self._daemon_names()
        return [
            RoutedDaemon(
                name, self._data_centre(number), self.fleet, self.scheduler, self.profiles, names
            )
            for number, name in enumerate(names)
        ]

    def _create_baseline_daemons(self) -> list[BaseEmulatedDaemon]:
        return [
            BaselineDaemon(name, self._data_centre(number), self.fleet, self.scheduler)
            for number, name in enumerate(self._daemon_names())
        ]

    def _data_centre(self, number: int) -> str:
        return self.fleet.data_centres[number % len(self.fleet.data_centres)]

    def _update_members(self) -> None:
        names = tuple(daemon.name for daemon in self.daemons if daemon.running)
        for daemon in self.daemons:
            if isinstance(daemon, RoutedDaemon):
                daemon.update_members(names)

    def _refresh_periodically(self) -> None:
        self._refresh_registrations()
        self.scheduler.schedule_after(REGISTRATION_REFRESH_SECONDS, self._refresh_periodically)

    def _refresh_registrations(self) -> None:
        now = self.scheduler.clock.now()
        registered = []
        for server in self.servers:
            if not server.down and not server.unresponsive:
                self.unreachable_since.pop(server, None)
            elif server not in self.unreachable_since:
                self.unreachable_since[server] = now
            # A draining owner still receives the requests for its keys until they have moved.
            is_routable = server.profile.keyed or not server.draining
            if is_routable and self._is_registered(server):
                registered.append(server)
        if not self.store_reachable:
            return
        for daemon in self.daemons:
            daemon.update_servers(registered)
        for name, owners in self.static_assignments.items():
            self._apply_static_assignments(name, owners)

    def _is_registered(self, server: EmulatedServer) -> bool:
        since = self.unreachable_since.get(server)
        return since is None or self.scheduler.clock.now() < since + LEASE_SECONDS

    def _create_static_assignments(
        self, profile: ServiceProfile
    ) -> list[tuple[EmulatedServer, KeyRange]]:
        servers = self.servers_of(profile)
        candidates = [Candidate(server.incarnation, 1.0, server.data_centre) for server in servers]
        table = initial_table(profile.service, candidates, 1)
        by_incarnation = {server.incarnation: server for server in servers}
        return [
            (by_incarnation[assignment.owner], assignment.keys) for assignment in table.assignments
        ]

    def _apply_static_assignments(
        self, name: str, owners: list[tuple[EmulatedServer, KeyRange]]
    ) -> None:
        for server, keys in owners:
            if not server.down and not server.held_ranges:
                server.grant(keys, 1, STATIC_HOLD_SECONDS)
        assignments = tuple(Assignment(keys, server.incarnation, 1) for server, keys in owners)
        for daemon in self.daemons:
            daemon.update_table(OwnershipTable(name, 1, assignments))
