"""Emulated decider (elected leader) of one keyed service, which runs the production code."""

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

COMMAND_INTERVAL_SECONDS = 0.1
PLAN_INTERVAL_SECONDS = 0.3
REPORT_INTERVAL_SECONDS = 0.25
"""Interval of the daemons' reports of requested keys to the decider. It and the two intervals above
are equal to those of the production daemon."""

REPORTS_PER_SERVICE_TIME_REPORT = 8
"""Service times are reported this many times less often than requested keys, as in production."""

STORE_WRITE_SECONDS = 0.02
"""Time until the emulated store acknowledges a table."""

COMMAND_LATENCY_SECONDS = 0.01
"""Time until a command arrives at the server; its answer arrives at once."""

RELEASE_POLL_INTERVAL_SECONDS = 0.02


class EmulatedDecider:
    """Assigns the keys of one service to servers while it is ``running``.

    ``stored_table`` is the table in the emulated store; it is kept when the decider stops.
    ``moved_keys`` counts the keys that were moved away from servers that could have kept them.
    ``is_registered`` returns whether the registration of a server is still in force.
    """

    __slots__ = (
        "daemons",
        "is_registered",
        "moved_keys",
        "profile",
        "report_count",
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
        self.report_count = 0
        self.is_registered: Callable[[EmulatedServer], bool] = _is_up
        self.service = KeyedService(profile.service, scheduler.clock.now())

    def start(self) -> None:
        """Starts as a newly elected decider, from the table in the store."""
        now = self.scheduler.clock.now()
        self.running = True
        service = self.service = KeyedService(self.profile.service, now)
        service.grant_tracker = GrantTracker(now)
        if self.stored_table is None:
            service.grant_tracker.mark_no_former_decider()
        else:
            service.table = self.stored_table
            self._write_table(with_new_fence(self.stored_table))
        self._run_periodically(service)
        self._collect_reports(service)

    def stop(self) -> None:
        """Stops at once, like a killed process; commands already sent may still arrive."""
        self.running = False

    def _run_periodically(self, service: KeyedService) -> None:
        if not self.running or service is not self.service:
            return
        now = self.scheduler.clock.now()
        if service.grant_tracker is not None:
            for command in service.grant_tracker.due_commands(now):
                self._send_command(service.grant_tracker, command)
        if now >= service.next_plan_at:
            service.next_plan_at = now + PLAN_INTERVAL_SECONDS
            self._plan(service, now)
        self.scheduler.schedule_after(
            COMMAND_INTERVAL_SECONDS, lambda: self._run_periodically(service)
        )

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
        # With 0.0 the last server joined long ago, so that the first table is not delayed.
        new_table = service.next_table(candidates, 0.0, now)
        if new_table is None:
            return
        incarnations = frozenset(candidate.incarnation for candidate in candidates)
        if service.table is not None:
            self.moved_keys += changes_between(service.table, new_table, incarnations).moved_keys
        self._write_table(new_table)

    def _candidate(self, service: KeyedService, server: EmulatedServer) -> Candidate:
        capacity = service.service_times.capacity(server.name, self.profile.slots, server.is_cold)
        return Candidate(server.incarnation, capacity, server.data_centre)

    def _write_table(self, table: OwnershipTable) -> None:
        service = self.service
        service.commit_sent_at = self.scheduler.clock.now()
        self.scheduler.schedule_after(
            STORE_WRITE_SECONDS, lambda: self._on_table_written(service, table)
        )

    def _on_table_written(self, service: KeyedService, table: OwnershipTable) -> None:
        if service is not self.service or not self.running:
            return
        self.stored_table = table
        service.commit_sent_at = None
        service.table = table
        if service.grant_tracker is not None:
            service.grant_tracker.set_table(table)
        for daemon in self.daemons:
            daemon.update_table(table)

    def _send_command(self, grant_tracker: GrantTracker, command: BaseCommand) -> None:
        server = self._find_server(command.server)
        if server is None:
            grant_tracker.record_incarnation_ended(command.server)
            grant_tracker.record_failed(command, self.scheduler.clock.now())
            return
        if isinstance(command, GrantCommand):
            grant_tracker.record_sent(command, self.scheduler.clock.now() + GRANT_TIMEOUT_SECONDS)
            self.scheduler.schedule_after(
                COMMAND_LATENCY_SECONDS, lambda: self._grant(grant_tracker, server, command)
            )
        elif isinstance(command, ReleaseCommand):
            self.scheduler.schedule_after(
                COMMAND_LATENCY_SECONDS, lambda: self._release(grant_tracker, server, command)
            )

    def _find_server(self, incarnation: ServerIncarnation) -> EmulatedServer | None:
        return next((server for server in self.servers if server.incarnation == incarnation), None)

    def _grant(
        self, grant_tracker: GrantTracker, server: EmulatedServer, command: GrantCommand
    ) -> None:
        if self._fail_if_unreachable(grant_tracker, server, command):
            return
        now = self.scheduler.clock.now()
        if server.incarnation != command.server or not server.grant(
            command.keys, command.fence, HOLD_SECONDS
        ):
            grant_tracker.record_failed(command, now)
            return
        self.service.record_command_succeeded(command.server)
        grant_tracker.record_granted(command, now)
        if not command.renewal:
            self._announce_grant(command.keys, command.fence)

    def _release(
        self, grant_tracker: GrantTracker, server: EmulatedServer, command: ReleaseCommand
    ) -> None:
        if self._fail_if_unreachable(grant_tracker, server, command):
            return
        server.release(command.keys, command.fence)
        if server.has_running_calls(command.keys):
            poll = functools.partial(self._release, grant_tracker, server, command)
            self.scheduler.schedule_after(RELEASE_POLL_INTERVAL_SECONDS, poll)
            return
        grant_tracker.record_released(command, "", self.scheduler.clock.now())

    def _fail_if_unreachable(
        self, grant_tracker: GrantTracker, server: EmulatedServer, command: BaseCommand
    ) -> bool:
        """Returns whether the server is unreachable; if so, the command is scheduled to fail.

        It fails at once if the server is down, or after the time-out if it is unresponsive.
        """
        if not server.down and not server.unresponsive:
            return False
        delay = GRANT_TIMEOUT_SECONDS if server.unresponsive else 0.0

        def fail() -> None:
            if command.server in self.service.consecutive_failures and isinstance(
                command, GrantCommand
            ):
                # An earlier command failed and its connection was closed. This grant cannot
                # connect, so it is not sent.
                grant_tracker.record_not_sent(command)
            self.service.record_command_failed(command.server)
            grant_tracker.record_failed(command, self.scheduler.clock.now())

        self.scheduler.schedule_after(delay, fail)
        return True

    def _announce_grant(self, keys: KeyRange, fence: int) -> None:
        for daemon in self.daemons:
            daemon.record_granted_keys(self.profile.service, keys, fence)

    def _collect_reports(self, service: KeyedService) -> None:
        if not self.running or service is not self.service:
            return
        self.report_count += 1
        for daemon in self.daemons:
            for key in daemon.requested_keys:
                service.load.add(key, 1.0)
            daemon.requested_keys = []
            if self.report_count % REPORTS_PER_SERVICE_TIME_REPORT == 0:
                for name, seconds in daemon.service_times:
                    service.service_times.add(name, 1, seconds)
                daemon.service_times = []
        self.scheduler.schedule_after(
            REPORT_INTERVAL_SECONDS, lambda: self._collect_reports(service)
        )


def _is_up(server: EmulatedServer) -> bool:
    return not server.down


def held_key_fraction(servers: list[EmulatedServer]) -> float:
    """Returns the fraction of all keys that responsive servers hold now."""
    ranges = sorted(
        (keys.first, keys.last)
        for server in servers
        if not server.down and not server.unresponsive
        for (keys, _), expires_at in server.held_ranges.items()
        if server.scheduler.clock.now() < expires_at
    )
    return sum(last - first + 1 for first, last in ranges) / KEY_COUNT
