"""Key ownership: planning of ownership tables, and grants and releases of keys."""

from fireflylink_backend_client import (
    BaseServerCodec,
    CommandError,
    ServerMismatchError,
    StaleFenceError,
)
from fireflylink_core import BaseClock, OwnershipTable, ServerIncarnation
from fireflylink_daemon._command_log import (
    log_command_failed,
    log_granted,
    log_hold_ends,
    log_released,
)
from fireflylink_daemon._decider_task import CommitTable, DeciderTask, Superseded
from fireflylink_daemon._fleet_commands import FleetCommands
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    CommandCompleted,
    DeciderChanged,
    DeciderClaimReceived,
    DeciderDemoted,
    DeciderElected,
    DeciderRetiredReceived,
    LoadReportReceived,
    SendCommand,
    ServersChanged,
    TableNotWritten,
    TableStored,
)
from fireflylink_daemon._ownership_planning import log_plan, planning_candidates, record_load
from fireflylink_daemon._peers import PeerSocket
from fireflylink_daemon._possible_holders import add_servers_to_sweep, begin_sweep, record_restarts
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._takeover import Takeover
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    BaseCommand,
    GrantCommand,
    GrantTracker,
    KeyedService,
    ReleaseCommand,
)
from fireflylink_protocol import GrantNotice, LoadReport
from fireflylink_store import ABSENT_REVISION, era_of

WAKE_INTERVAL_SECONDS = 0.1
"""How often the decider looks for grants and releases that are due."""

PLANNING_INTERVAL_SECONDS = 0.3
"""How often the table of a service is planned anew, at one of these wake-ups. ``KeyedService``
plans changes that are not urgent at a longer interval."""

COMMIT_TIMEOUT_SECONDS = 2.0
"""A service gets no new plan for this long while the write of a table is not acknowledged."""


class OwnershipTask(BaseTask):
    """Keeps the latest ownership table of each service.

    While this daemon is the decider (the elected leader), it also plans new tables and sends grants
    and releases. ``decider_task`` writes the planned tables to the store. The tasks of ``commands``
    send what the ``GrantTracker`` says is due when they are free: no command waits between its
    decision and its sending. ``era_seen_at`` is when this daemon first knew of the store's ``era``.
    """

    __slots__ = (
        "commands",
        "decider_task",
        "elected_at",
        "era",
        "era_seen_at",
        "hold_seconds",
        "is_decider",
        "next_check_at",
        "peers",
        "routing_state",
        "services",
        "takeover",
    )

    def __init__(
        self,
        routing_state: RoutingState,
        decider_task: DeciderTask,
        peers: PeerSocket,
        clock: BaseClock,
        codec: BaseServerCodec,
    ) -> None:
        super().__init__("ownership", clock)
        self.routing_state = routing_state
        self.peers = peers
        self.decider_task = decider_task
        self.is_decider = False
        self.elected_at = 0.0
        self.era = 0
        self.era_seen_at = 0.0
        self.hold_seconds = min(HOLD_SECONDS, routing_state.settings.bounds.hold_max_seconds)
        self.services: dict[str, KeyedService] = {}
        self.commands = FleetCommands(clock, codec, self, self.hold_seconds)
        self.next_check_at = 0.0
        self.takeover = Takeover(decider_task.record.address, peers, clock)

    def next_wake_at(self) -> float:
        return self.next_check_at

    def on_wake(self) -> None:
        now = self.clock.now()
        self.next_check_at = now + WAKE_INTERVAL_SECONDS
        if not self.is_decider:
            return
        self.takeover.send_claims(self.services.values())
        for name in self.routing_state.keyed_service_names():
            self._send_due_commands_and_plan(name, self._service(name), now)

    def receive(self, message: object) -> object:
        if isinstance(message, TableStored):
            self._apply_table(message)
        elif isinstance(message, TableNotWritten):
            self._record_not_written(message.table)
        elif isinstance(message, CommandCompleted):
            self._record_completion(message)
        elif isinstance(message, LoadReportReceived):
            self._record_report(message.report)
        elif isinstance(message, ServersChanged):
            self._update_incarnations()
        else:
            self._receive_election_message(message)
        if self.clock.now() >= self.next_check_at:
            self.on_wake()
        return None

    def _receive_election_message(self, message: object) -> None:
        if isinstance(message, DeciderChanged):
            self._record_era(era_of(message.revision), self.clock.now())
            self.decider_task.post(message)
        elif isinstance(message, DeciderElected):
            self._start_deciding(message)
        elif isinstance(message, DeciderDemoted):
            self._stop_deciding()
        elif isinstance(message, DeciderClaimReceived):
            self._answer_claim(message)
        elif isinstance(message, DeciderRetiredReceived):
            self.takeover.record_retired(message, self.services.values())

    def _start_deciding(self, message: DeciderElected) -> None:
        if message.revision < self.takeover.retired_before:
            self.decider_task.post(Superseded("another daemon was elected since"))
            return
        self.is_decider = True
        self.takeover.revision = message.revision
        self.elected_at = message.elected_at
        self._record_era(message.era, message.elected_at)
        stored = {table.table.service: table for table in message.tables}
        now = self.clock.now()
        for name in sorted({*self.services, *stored}):
            service = self.services.setdefault(name, KeyedService(name, now))
            tracker = service.grant_tracker if message.is_uninterrupted else None
            if tracker is None:
                tracker = GrantTracker(message.elected_at, self.hold_seconds)
            self._start_service(service, stored.get(name), tracker)
        self._update_incarnations()
        self.next_check_at = 0.0

    def _start_service(
        self, service: KeyedService, stored: TableStored | None, tracker: GrantTracker
    ) -> None:
        table = None if stored is None else stored.table
        revision = ABSENT_REVISION if stored is None else stored.revision
        now = self.clock.now()
        service.start_deciding(table, revision, tracker, self.era, self.era_seen_at, now)

    def _record_era(self, era: int, seen_at: float) -> None:
        if era > self.era:
            self.era = era
            self.era_seen_at = seen_at

    def _stop_deciding(self) -> None:
        self.is_decider = False
        self.takeover.revision = 0
        self.commands.close()
        for service in self.services.values():
            service.grant_tracker = None

    def _answer_claim(self, message: DeciderClaimReceived) -> None:
        if self.takeover.must_step_down(message):
            self._step_down(f"{message.claim.instance} was elected since")
        self.takeover.answer(message)

    def _record_not_written(self, table: OwnershipTable) -> None:
        """Records that a table will never be in the store, so that another can be planned."""
        service = self._service(table.service)
        pending = service.unacknowledged_tables
        if pending and pending[-1] is table:
            service.commit_sent_at = None
        service.unacknowledged_tables = [other for other in pending if other is not table]

    def _service(self, name: str) -> KeyedService:
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = KeyedService(name, self.clock.now())
        if self.is_decider and service.grant_tracker is None:
            tracker = GrantTracker(self.elected_at, self.hold_seconds)
            self._start_service(service, None, tracker)
        return service

    def _apply_table(self, message: TableStored) -> None:
        service = self._service(message.table.service)
        self._record_era(era_of(message.revision), self.clock.now())
        if self.is_decider and era_of(message.revision) > era_of(self.takeover.revision):
            # The store was restored: the decider task finds out whether this daemon still decides.
            return
        if (
            self.is_decider
            and message.revision > service.revision
            and message.table not in service.unacknowledged_tables
        ):
            # Another decider wrote the table, and this daemon does not know its grants.
            self._step_down("another decider wrote a table")
        is_first = message.is_first and service.table is None and self.era == 0
        if is_first and service.grant_tracker is not None:
            service.grant_tracker.mark_no_former_decider()
        if message.revision <= service.revision:
            return
        service.record_stored_table(message.table, message.revision, self.clock.now())
        service.commit_sent_at = None
        service.unacknowledged_tables = []
        if service.grant_tracker is not None:
            begin_sweep(service, self.routing_state.directory, self.era)
            service.grant_tracker.set_table(message.table)

    def _send_due_commands_and_plan(self, name: str, service: KeyedService, now: float) -> None:
        """Sends the commands that are due; plans a new table at the planning interval."""
        self._send_due_commands(name, service, now)
        if now >= service.next_plan_at:
            service.next_plan_at = now + PLANNING_INTERVAL_SECONDS
            self._plan_table(name, service, now)

    def _send_due_commands(
        self,
        name: str,
        service: KeyedService,
        now: float,
        server: ServerIncarnation | None = None,
    ) -> None:
        """Sends the commands of a service that are due, or only those to ``server``."""
        tracker = service.grant_tracker
        if tracker is None or not self.decider_task.election.may_grant(now):
            return
        sweep = tracker.sweep
        if sweep is not None:
            add_servers_to_sweep(service, self.routing_state.directory)
            if sweep.is_done(now):
                # A grant to a server that has not answered would count as a hold: plan first.
                tracker.sweep = None
                self._plan_table(name, service, now)
        tracker.due_commands(
            now,
            service.ranges_pending_removal(),
            lambda command: self._send_if_free(name, tracker, command, now),
            server,
        )
        log_hold_ends(name, tracker)
        if sweep is not None and tracker.sweep is None:
            log_event("ownership-sweep-done", service=name, era=self.era)

    def _plan_table(self, name: str, service: KeyedService, now: float) -> None:
        if service.commit_sent_at is not None:
            if now < service.commit_sent_at + COMMIT_TIMEOUT_SECONDS:
                return
            service.commit_sent_at = None
        service.load.decay(now)
        candidates = planning_candidates(service, self.routing_state, now)
        if service.grant_tracker is None or not (candidates or service.table):
            return
        join_times = [
            entry.joined_at for entry in self.routing_state.directory.eligible_servers(name)
        ]
        planned = service.next_table(candidates, max(join_times, default=now), now)
        if planned is not None:
            log_plan(service, planned, candidates)
            # A service that has never had a table has had no earlier decider either.
            is_first = service.table is None and self.era == 0
            tracker = service.grant_tracker
            table = planned.replace(
                written_by_sole_decider=is_first or tracker.is_sole_decider(now),
                has_unknown_holders=tracker.sweep is not None,
                writer=self.takeover.address,
            )
            service.commit_sent_at = now
            service.unacknowledged_tables.append(table)
            self.decider_task.post(CommitTable(table, service.revision))

    def _step_down(self, reason: str) -> None:
        """Stops deciding, because this daemon does not know the grants of another decider."""
        log_problem("decider-superseded", reason=reason)
        self._stop_deciding()
        self.decider_task.post(Superseded(reason))

    def _send_if_free(
        self, name: str, tracker: GrantTracker, command: BaseCommand, now: float
    ) -> bool:
        """Sends a command if a task of its server is free; returns whether it is sent."""
        server_tracker = self.routing_state.trackers.get(command.server)
        if server_tracker is None:
            if tracker.sweep is not None:
                tracker.sweep.record_unreachable(command.server)
            return False
        if not self.commands.has_free_task(server_tracker.server, command, now):
            return False
        is_prompt = isinstance(command, GrantCommand) or tracker.is_part_of_sweep(command)
        deadline = now + (GRANT_TIMEOUT_SECONDS if is_prompt else RELEASE_TIMEOUT_SECONDS)
        if isinstance(command, GrantCommand):
            tracker.record_sent(command, deadline)
        self.commands.send(server_tracker.server, name, command, deadline)
        return True

    def _record_completion(self, message: CommandCompleted) -> None:
        others_wait = self.commands.record_completed(message)
        service = self._service(message.service)
        grant_tracker = service.grant_tracker
        if grant_tracker is None:
            return
        now = self.clock.now()
        command = message.command
        if message.error is not None:
            self._record_failure(service, grant_tracker, message, message.error, now)
        elif isinstance(command, GrantCommand):
            service.record_command_succeeded(command.server)
            grant_tracker.record_granted(command, now)
            if not grant_tracker.is_current(command):
                # A release of the keys may wait for the result of this grant.
                self.next_check_at = 0.0
            if not command.renewal:
                self.peers.broadcast(GrantNotice(message.service, command.keys, command.fence))
                log_granted(message.service, command, grant_tracker, now)
        elif isinstance(command, ReleaseCommand):
            service.record_command_succeeded(command.server)
            grant_tracker.record_released(command, message.handover, now)
            log_released(message.service, command, message.handover, grant_tracker, now)
            self.next_check_at = 0.0
        if others_wait and self.is_decider:
            self._send_due_commands(message.service, service, now, command.server)

    def _record_failure(
        self,
        service: KeyedService,
        grant_tracker: GrantTracker,
        message: CommandCompleted,
        error: CommandError,
        now: float,
    ) -> None:
        command = message.command
        if isinstance(command, GrantCommand) and not error.may_have_run:
            grant_tracker.record_not_sent(command)
        grant_tracker.record_failed(command, now)
        if isinstance(error, ServerMismatchError):
            grant_tracker.record_incarnation_ended(command.server)
        if isinstance(error, StaleFenceError):
            if isinstance(command, GrantCommand) and grant_tracker.is_current(command):
                # Only another decider can have advanced the fence (fencing token) of these keys, so
                # it has taken over.
                self._step_down("a server has seen a higher fence")
        else:
            service.record_command_failed(command.server)
        log_command_failed(message.service, command, error)

    def _update_incarnations(self) -> None:
        """Closes the command tasks of incarnations that are gone; records which ones have ended.

        An incarnation has certainly ended when a newer one of the same server is registered. That
        one may hold keys by commands to the former: a command names its server by the id only.
        """
        entries = self.routing_state.directory.entries.values()
        registered = {entry.server.server_id: entry.server.incarnation for entry in entries}
        present = {*registered.values(), *self.routing_state.trackers}
        self._record_commands_failed(self.commands.close_absent(present))
        for service in self.services.values():
            record_restarts(service, registered, self.clock.now())

    def _record_commands_failed(self, messages: list[SendCommand]) -> None:
        """Records that the commands in progress at servers that are gone have failed.

        A server may register again under the same incarnation, and then needs new commands.
        """
        for message in messages:
            grant_tracker = self._service(message.service).grant_tracker
            if grant_tracker is not None:
                grant_tracker.record_failed(message.command, self.clock.now())
                log_command_failed(message.service, message.command, None)

    def _record_report(self, report: LoadReport) -> None:
        if not self.is_decider or not report.keys:
            return
        record_load(self._service(report.service), report)
