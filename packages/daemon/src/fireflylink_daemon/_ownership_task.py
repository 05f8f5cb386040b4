"""The decider's work: plans of ownership, grants and releases."""

from fireflylink_backend_client import (
    BaseServerCodec,
    CommandError,
    ServerMismatchError,
    StaleFenceError,
)
from fireflylink_core import BackendServer, BaseClock, OwnershipTable, ServerIncarnation
from fireflylink_daemon._decider_task import CommitTable, DeciderTask, Superseded
from fireflylink_daemon._grant_tasks import GrantTask, spawn_release
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    CommandDue,
    CommandEnded,
    DeciderChanged,
    DeciderLost,
    DeciderWon,
    ReportReceived,
    ServersChanged,
    TableChanged,
    TableRefused,
)
from fireflylink_daemon._peers import PeerSocket
from fireflylink_daemon._serving import Serving
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import (
    HOLD_SECONDS,
    Candidate,
    GrantCommand,
    GrantTracker,
    KeyedService,
    KeyLoad,
    ReleaseCommand,
    changes_between,
    former_deciders_expire_at,
)
from fireflylink_protocol import GrantNotice, LoadReport
from fireflylink_store import ABSENT_REVISION

TICK_SECONDS = 0.1
PLAN_SECONDS = 0.3
COMMIT_PATIENCE_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000.0


class OwnershipTask(BaseTask):
    """Follows every ownership table; plans and grants while this daemon is the decider."""

    __slots__ = (
        "began_at",
        "codec",
        "decider",
        "deciding",
        "grants",
        "hold_seconds",
        "next_tick",
        "peers",
        "services",
        "serving",
    )

    def __init__(
        self,
        serving: Serving,
        decider: DeciderTask,
        peers: PeerSocket,
        clock: BaseClock,
        codec: BaseServerCodec,
    ) -> None:
        super().__init__("ownership", clock)
        self.serving = serving
        self.peers = peers
        self.decider = decider
        self.codec = codec
        self.deciding = False
        self.began_at = 0.0
        self.hold_seconds = min(HOLD_SECONDS, serving.settings.bounds.hold_max_seconds)
        self.services: dict[str, KeyedService] = {}
        self.grants: dict[ServerIncarnation, GrantTask] = {}
        self.next_tick = 0.0

    def next_wake(self) -> float:
        return self.next_tick

    def wake(self) -> None:
        now = self.clock.now()
        self.next_tick = now + TICK_SECONDS
        if not self.deciding:
            return
        for name in self._keyed_services():
            self._advance(name, self._service(name), now)

    def receive(self, message: object) -> object:
        if isinstance(message, TableChanged):
            self._note_table(message)
        elif isinstance(message, TableRefused):
            service = self._service(message.table.service)
            service.unacknowledged_tables = [
                table for table in service.unacknowledged_tables if table is not message.table
            ]
        elif isinstance(message, CommandEnded):
            self._note_ended(message)
        elif isinstance(message, ReportReceived):
            self._note_report(message.report)
        elif isinstance(message, DeciderChanged):
            self.decider.post(message)
        elif isinstance(message, DeciderWon):
            self._begin(message.asked_at)
        elif isinstance(message, DeciderLost):
            self._end()
        elif isinstance(message, ServersChanged):
            self._note_servers()
        if self.clock.now() >= self.next_tick:
            self.wake()
        return None

    def _begin(self, began_at: float) -> None:
        self.deciding = True
        self.began_at = began_at
        for name, service in self.services.items():
            service.grants = GrantTracker(began_at, self.hold_seconds)
            service.commit_sent_at = None
            service.consecutive_failures = {}
            service.load = KeyLoad(name, began_at)
            service.unacknowledged_tables = []
            service.next_plan_at = 0.0
        self._note_servers()
        self.next_tick = 0.0

    def _end(self) -> None:
        self.deciding = False
        for service in self.services.values():
            service.grants = None
        for task in self.grants.values():
            task.close()
        self.grants = {}

    def _service(self, name: str) -> KeyedService:
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = KeyedService(name, self.clock.now())
        if self.deciding and service.grants is None:
            service.grants = GrantTracker(self.clock.now(), self.hold_seconds)
        return service

    def _keyed_services(self) -> list[str]:
        routes = self.serving.routes
        if routes is None:
            return []
        return [service.name for service in routes.services.values() if service.keyed]

    def _note_table(self, message: TableChanged) -> None:
        service = self._service(message.table.service)
        if (
            self.deciding
            and message.revision > service.revision
            and message.table not in service.unacknowledged_tables
        ):
            # Another decider wrote it, and what it granted is not known here.
            self._yield("another decider wrote a table")
        if message.first and service.grants is not None:
            service.grants.mark_no_former_decider()
        if message.revision <= service.revision:
            return
        service.table = message.table
        service.revision = message.revision
        service.commit_sent_at = None
        service.unacknowledged_tables = []
        service.table_first_seen_at = self.clock.now()
        if service.grants is not None:
            service.grants.set_table(message.table)

    def _advance(self, name: str, service: KeyedService, now: float) -> None:
        if service.grants is not None and self.decider.election.may_grant(now):
            for command in service.grants.due_commands(now, service.suspended_ranges()):
                self._send(name, service.grants, command, now)
        if now >= service.next_plan_at:
            service.next_plan_at = now + PLAN_SECONDS
            self._plan(name, service, now)

    def _plan(self, name: str, service: KeyedService, now: float) -> None:
        if service.commit_sent_at is not None:
            if now < service.commit_sent_at + COMMIT_PATIENCE_SECONDS:
                return
            service.commit_sent_at = None
        service.load.decay(now)
        candidates = self._candidates(name, service, now)
        if service.grants is None or not (candidates or service.table):
            return
        joined = [entry.joined_at for entry in self.serving.directory.eligible_servers(name)]
        wanted = service.next_table(candidates, max(joined, default=now), now)
        if wanted is not None:
            self._log_plan(service, wanted, candidates)
            alone = service.revision == ABSENT_REVISION or now >= former_deciders_expire_at(
                self.began_at
            )
            marked = wanted.replace(written_by_sole_decider=alone)
            service.commit_sent_at = now
            service.unacknowledged_tables.append(marked)
            self.decider.post(CommitTable(marked, service.revision))

    def _log_plan(
        self, service: KeyedService, wanted: OwnershipTable, candidates: list[Candidate]
    ) -> None:
        """Writes which keys change hands, and whether because their owner may not go on."""
        incarnations = frozenset(candidate.incarnation for candidate in candidates)
        present = service.table if service.table is not None else wanted
        changes = changes_between(present, wanted, incarnations)
        log_event(
            "ownership-planned",
            service=service.name,
            fence=wanted.fence,
            ranges=len(wanted.assignments),
            candidates=len(candidates),
            requests_per_second=service.requests_per_second,
            lost_keys=changes.lost_keys,
            moved_keys=changes.moved_keys,
            joined=changes.joined,
        )

    def _yield(self, reason: str) -> None:
        """Stops to decide: what was granted meanwhile is not known to this daemon."""
        log_problem("decider-superseded", reason=reason)
        self._end()
        self.decider.post(Superseded(reason))

    def _candidates(self, name: str, service: KeyedService, now: float) -> list[Candidate]:
        entries = self.serving.directory.eligible_servers(name)
        found = []
        for entry in entries:
            server = entry.server
            if service.is_reachable(server.incarnation):
                capacity = self._capacity(service, server, now)
                found.append(Candidate(server.incarnation, capacity, server.data_centre))
        return found

    def _capacity(self, service: KeyedService, server: BackendServer, now: float) -> float:
        """Returns how many requests a second a server can run."""
        tracker = self.serving.trackers.get(server.incarnation)
        cold = tracker is not None and tracker.cold_limiter.is_cold(now)
        return service.service_times.capacity(server.server_id, server.slots, cold)

    def _send(self, name: str, grants: GrantTracker, command: object, now: float) -> None:
        if isinstance(command, ReleaseCommand):
            server = self._server_of(command.server)
            if server is None:
                grants.record_failed(command, now)
                return
            spawn_release(server, self.clock, self.codec, name, command, self)
        elif isinstance(command, GrantCommand):
            task = self._grant_task(command.server)
            if task is None:
                grants.record_failed(command, now)
                return
            grants.record_sent(command, now)
            task.post(CommandDue(name, command))

    def _server_of(self, incarnation: ServerIncarnation) -> BackendServer | None:
        tracker = self.serving.trackers.get(incarnation)
        return None if tracker is None else tracker.server

    def _grant_task(self, incarnation: ServerIncarnation) -> GrantTask | None:
        task = self.grants.get(incarnation)
        if task is None:
            server = self._server_of(incarnation)
            if server is None:
                return None
            task = GrantTask(server, self.clock, self.codec, self, self.hold_seconds)
            task.start()
            self.grants[incarnation] = task
        return task

    def _note_ended(self, message: CommandEnded) -> None:
        service = self._service(message.service)
        grants = service.grants
        if grants is None:
            return
        now = self.clock.now()
        command = message.command
        if message.error is not None:
            self._note_failed(service, grants, message, message.error, now)
        elif isinstance(command, GrantCommand):
            service.record_answer(command.server)
            grants.record_granted(command, now)
            if not command.renewal:
                self.peers.notify(GrantNotice(message.service, command.keys, command.fence))
                log_event(
                    "keys-granted",
                    service=message.service,
                    server=command.server,
                    keys=command.keys,
                    fence=command.fence,
                )
        elif isinstance(command, ReleaseCommand):
            grants.record_released(command, message.handover, now)
            log_event(
                "keys-released",
                service=message.service,
                server=command.server,
                keys=command.keys,
                fence=command.fence,
                handover=bool(message.handover),
            )
        self.next_tick = 0.0

    def _note_failed(
        self,
        service: KeyedService,
        grants: GrantTracker,
        message: CommandEnded,
        error: CommandError,
        now: float,
    ) -> None:
        command = message.command
        if isinstance(command, GrantCommand) and not error.sent:
            grants.record_not_sent(command)
        grants.record_failed(command, now)
        if isinstance(error, ServerMismatchError):
            grants.record_incarnation_ended(command.server)
        if isinstance(error, StaleFenceError):
            if isinstance(command, GrantCommand) and grants.is_current(command):
                # Only another decider can have used a higher fence: it has taken over.
                self._yield("a server has seen a higher fence")
        else:
            service.record_no_answer(command.server)
        log_problem(
            "command-failed",
            service=message.service,
            kind=type(command).__name__,
            server=command.server,
            problem=error,
            sent=error.sent,
        )

    def _note_servers(self) -> None:
        """Forgets what was granted to lives of servers that certainly ended."""
        entries = self.serving.directory.entries.values()
        present = {entry.server.server_id: entry.server.incarnation for entry in entries}
        for incarnation in list(self.grants):
            if (
                present.get(incarnation.server_id) != incarnation
                and incarnation not in self.serving.trackers
            ):
                self.grants.pop(incarnation).close()
        for service in self.services.values():
            if service.grants is None or service.table is None:
                continue
            for assignment in service.table.assignments:
                for incarnation in (assignment.owner, *assignment.previous_holders):
                    now_present = present.get(incarnation.server_id, incarnation)
                    if now_present.started_ms > incarnation.started_ms > 0:
                        service.grants.record_incarnation_ended(incarnation)

    def _note_report(self, report: LoadReport) -> None:
        if not self.deciding or not report.keys:
            return
        service = self._service(report.service)
        for service_times in report.service_times:
            seconds = service_times.total_ms / MILLISECONDS_PER_SECOND
            service.service_times.add(service_times.server_id, service_times.answers, seconds)
        load = service.load
        each = report.requests / len(report.keys)
        for key in report.keys:
            load.add(key, each)
