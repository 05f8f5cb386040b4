"""The decider of one keyed service: plans, grants and releases with the project's own code."""

import functools
from collections.abc import Callable

from fireflylink_core import KEY_COUNT, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    BaseCommand,
    Candidate,
    GrantCommand,
    GrantTracker,
    KeyedService,
    ReleaseCommand,
    changes_between,
    with_new_fence,
)
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import ServiceProfile
from fireflylink_emulator._routed_daemon import RoutedDaemon

TICK_SECONDS = 0.1
PLAN_SECONDS = 0.3
REPORT_SECONDS = 0.25
TIMES_EACH_REPORTS = 8
STORE_SECONDS = 0.02
COMMAND_TRAVEL_SECONDS = 0.01
RELEASE_POLL_SECONDS = 0.02


class EmulatedDecider:
    """Decides on the keys of one service while it is ``running``.

    ``stored_table`` stands for the store: each table is there from its write on. ``moved_keys``
    counts keys that changed hands between servers that go on.
    """

    __slots__ = (
        "daemons",
        "is_registered",
        "moved_keys",
        "profile",
        "reports",
        "running",
        "scheduler",
        "servers",
        "service",
        "stored_table",
    )

    def __init__(
        self,
        profile: ServiceProfile,
        servers: list[EmulatedServer],
        daemons: list[RoutedDaemon],
        scheduler: EventScheduler,
    ) -> None:
        self.profile = profile
        self.servers = servers
        self.daemons = daemons
        self.scheduler = scheduler
        self.running = False
        self.stored_table: OwnershipTable | None = None
        self.moved_keys = 0
        self.reports = 0
        self.is_registered: Callable[[EmulatedServer], bool] = _answers
        self.service = KeyedService(profile.name, scheduler.clock.now())

    def start(self) -> None:
        """Begins to decide, from what the store holds."""
        now = self.scheduler.clock.now()
        self.running = True
        service = self.service = KeyedService(self.profile.name, now)
        service.grants = GrantTracker(now)
        if self.stored_table is None:
            service.grants.mark_no_former_decider()
        else:
            service.table = self.stored_table
            self._write(with_new_fence(self.stored_table))
        self._tick(service)
        self._take_reports(service)

    def stop(self) -> None:
        """Ends at once, as with the process; grants under way may still arrive."""
        self.running = False

    def _tick(self, service: KeyedService) -> None:
        if not self.running or service is not self.service:
            return
        now = self.scheduler.clock.now()
        if service.grants is not None:
            for command in service.grants.due_commands(now):
                self._send(service.grants, command)
        if now >= service.next_plan_at:
            service.next_plan_at = now + PLAN_SECONDS
            self._plan(service, now)
        self.scheduler.schedule_after(TICK_SECONDS, lambda: self._tick(service))

    def _plan(self, service: KeyedService, now: float) -> None:
        service.load.decay(now)
        candidates = [
            self._candidate(service, server)
            for server in self.servers
            if self.is_registered(server)
            and not server.draining
            and service.is_reachable(server.incarnation)
        ]
        if service.commit_sent_at is not None or not candidates:
            return
        wanted = service.next_table(candidates, 0.0, now)
        if wanted is None:
            return
        incarnations = frozenset(candidate.incarnation for candidate in candidates)
        if service.table is not None:
            self.moved_keys += changes_between(service.table, wanted, incarnations).moved_keys
        self._write(wanted)

    def _candidate(self, service: KeyedService, server: EmulatedServer) -> Candidate:
        capacity = service.service_times.capacity(server.name, self.profile.slots, server.is_cold)
        return Candidate(server.incarnation, capacity, server.data_centre)

    def _write(self, table: OwnershipTable) -> None:
        service = self.service
        service.commit_sent_at = self.scheduler.clock.now()
        self.scheduler.schedule_after(STORE_SECONDS, lambda: self._written(service, table))

    def _written(self, service: KeyedService, table: OwnershipTable) -> None:
        if service is not self.service or not self.running:
            return
        self.stored_table = table
        service.commit_sent_at = None
        service.table = table
        if service.grants is not None:
            service.grants.set_table(table)
        for daemon in self.daemons:
            daemon.update_table(table)

    def _send(self, grants: GrantTracker, command: BaseCommand) -> None:
        server = self._server_of(command.server)
        if server is None:
            grants.record_incarnation_ended(command.server)
            grants.record_failed(command, self.scheduler.clock.now())
            return
        if isinstance(command, GrantCommand):
            grants.record_sent(command, self.scheduler.clock.now())
            self.scheduler.schedule_after(
                COMMAND_TRAVEL_SECONDS, lambda: self._grant(grants, server, command)
            )
        elif isinstance(command, ReleaseCommand):
            self.scheduler.schedule_after(
                COMMAND_TRAVEL_SECONDS, lambda: self._release(grants, server, command)
            )

    def _server_of(self, incarnation: ServerIncarnation) -> EmulatedServer | None:
        return next((server for server in self.servers if server.incarnation == incarnation), None)

    def _grant(self, grants: GrantTracker, server: EmulatedServer, command: GrantCommand) -> None:
        if self._unreachable(grants, server, command):
            return
        now = self.scheduler.clock.now()
        if server.incarnation != command.server or not server.grant(
            command.keys, command.fence, HOLD_SECONDS
        ):
            grants.record_failed(command, now)
            return
        self.service.record_answer(command.server)
        grants.record_granted(command, now)
        if not command.renewal:
            self._notify(command.keys, command.fence)

    def _release(
        self, grants: GrantTracker, server: EmulatedServer, command: ReleaseCommand
    ) -> None:
        if self._unreachable(grants, server, command):
            return
        server.release(command.keys, command.fence)
        if server.has_running_calls(command.keys):
            again = functools.partial(self._release, grants, server, command)
            self.scheduler.schedule_after(RELEASE_POLL_SECONDS, again)
            return
        grants.record_released(command, "", self.scheduler.clock.now())

    def _unreachable(
        self, grants: GrantTracker, server: EmulatedServer, command: BaseCommand
    ) -> bool:
        """Handles a server that does not answer, at once or after the time-out."""
        if not server.down and not server.unresponsive:
            return False
        wait = GRANT_TIMEOUT_SECONDS if server.unresponsive else 0.0

        def fail() -> None:
            if command.server in self.service.consecutive_failures and isinstance(
                command, GrantCommand
            ):
                # The connection was closed after the first time-out, and no new one opens.
                grants.record_not_sent(command)
            self.service.record_no_answer(command.server)
            grants.record_failed(command, self.scheduler.clock.now())

        self.scheduler.schedule_after(wait, fail)
        return True

    def _notify(self, keys: KeyRange, fence: int) -> None:
        for daemon in self.daemons:
            daemon.record_granted_keys(self.profile.name, keys, fence)

    def _take_reports(self, service: KeyedService) -> None:
        if not self.running or service is not self.service:
            return
        self.reports += 1
        for daemon in self.daemons:
            for key in daemon.key_counts:
                service.load.add(key, 1.0)
            daemon.key_counts = []
            if self.reports % TIMES_EACH_REPORTS == 0:
                for name, seconds in daemon.key_times:
                    service.service_times.add(name, 1, seconds)
                daemon.key_times = []
        self.scheduler.schedule_after(REPORT_SECONDS, lambda: self._take_reports(service))


def _answers(server: EmulatedServer) -> bool:
    return not server.down


def held_key_fraction(servers: list[EmulatedServer]) -> float:
    """Returns the fraction of the keys that some server which answers holds now."""
    ranges = sorted(
        (keys.first, keys.last)
        for server in servers
        if not server.down and not server.unresponsive
        for (keys, _), until in server.held_ranges.items()
        if server.scheduler.clock.now() < until
    )
    return sum(last - first + 1 for first, last in ranges) / KEY_COUNT
