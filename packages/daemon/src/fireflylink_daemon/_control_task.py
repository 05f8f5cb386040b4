"""The task that owns membership, documents and authority of a daemon."""

from collections.abc import Callable

from returns.pipeline import is_successful

from fireflylink_core import (
    BaseClock,
    DocumentKind,
    EndorseRequest,
    Isolation,
    MemberState,
    OwnershipTable,
    ServerStatus,
    data_centre_of_table,
    table_id_of,
)
from fireflylink_daemon._control_messages import (
    EndorseAnswered,
    EndorseAsked,
    GatewayReport,
    InstancesRead,
    Leave,
    PlatformFailed,
    PlatformRead,
    SyncAnswered,
    SyncAsked,
    SyncFailed,
    SyncNow,
    TableWritesEnded,
    TableWritten,
)
from fireflylink_daemon._control_state import ControlState
from fireflylink_daemon._crash_reports import crash_reports
from fireflylink_daemon._distant_centres import DistantCentres
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._peer_calls import PeerCalls
from fireflylink_daemon._peers import PeerDirectory
from fireflylink_daemon._planning import PlanningDesk
from fireflylink_daemon._platform_task import (
    CONFIGURATION_KEY,
    OWNERSHIP_PREFIX,
    ReadAll,
    SetWatching,
)
from fireflylink_daemon._route_keeper import RouteKeeper
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view import View
from fireflylink_decisions.authority import RENEWAL_PERIOD, EndorsementRound
from fireflylink_platform_client import Entry

DISTANT_SYNC_PERIOD = 1.0
FORGET_MEMBER_AFTER = 60.0


class ControlTask(BaseTask):
    """Keeps this daemon's part of the control plane going.

    As a child it syncs with its parent each period. As the root of its data centre it collects
    endorsements, plans, writes through the platform task and syncs with the roots of the other data
    centres. It tells the other tasks what changed by a ``View``.
    """

    __slots__ = (
        "_distant_at",
        "_handlers",
        "_platform",
        "_publish",
        "_routes",
        "_wake_at",
        "calls",
        "desk",
        "distant",
        "peers",
        "platform_reachable",
        "state",
        "watching",
    )

    def __init__(
        self,
        clock: BaseClock,
        state: ControlState,
        desk: PlanningDesk,
        peers: PeerDirectory,
        publish: Callable[[View], None],
    ) -> None:
        super().__init__("control", clock)
        self.state = state
        self.desk = desk
        self.peers = peers
        self.calls = PeerCalls(clock, peers, self.post)
        self.distant = DistantCentres()
        self.platform_reachable = False
        self.watching = False
        self._platform: BaseTask | None = None
        self._publish = publish
        self._routes = RouteKeeper(state.cache)
        self._wake_at = clock.now()
        self._distant_at = clock.now()
        self._handlers: dict[type, Callable[..., object]] = {
            SyncAsked: self.on_sync_asked,
            EndorseAsked: self.on_endorse_asked,
            SyncAnswered: self.on_sync_answered,
            SyncFailed: self.on_sync_failed,
            EndorseAnswered: self.on_endorse_answered,
            PlatformRead: self.on_platform_read,
            PlatformFailed: self.on_platform_failed,
            InstancesRead: self.on_instances_read,
            TableWritten: self.on_table_written,
            TableWritesEnded: self.on_table_writes_ended,
            GatewayReport: self.on_gateway_report,
            SyncNow: self.on_sync_now,
            Leave: self.on_leave,
        }

    def connect(self, platform: BaseTask) -> None:
        """Tells the task whom to ask for reads and writes at the platform."""
        self._platform = platform

    def next_wake(self) -> float:
        return self._wake_at

    def wake(self) -> None:
        now = self.clock.now()
        self._wake_at = now + RENEWAL_PERIOD
        is_root = self.state.is_root(now)
        self._set_watching(is_root)
        if is_root:
            self._run_rounds(now)
            self._plan(now)
            if not self.state.has_majority_authority(now + 2 * RENEWAL_PERIOD):
                self._ask_platform(ReadAll())
        else:
            self._sync_with_parent(now)
        if now >= self._distant_at:
            self._distant_at = now + DISTANT_SYNC_PERIOD
            self._sync_with_distant_centres(is_root)
            self.state.directory.forget_unlisted(now, FORGET_MEMBER_AFTER)
        self._ask_other_voters()
        self._publish_view()

    def receive(self, message: object) -> object:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise TypeError(f"unexpected message {type(message).__name__}")
        return handler(message)

    # Messages of other daemons

    def on_sync_asked(self, message: SyncAsked) -> object:
        """Answers a child or a distant root."""
        now = self.clock.now()
        reply = self.state.answer_sync(message.request, now)
        down = any(report.status is ServerStatus.DOWN for report in message.request.servers)
        leaves = message.request.sender.state is MemberState.LEAVING
        if (down or leaves) and self.state.was_root:
            self._plan(now)
        return reply

    def on_endorse_asked(self, message: EndorseAsked) -> object:
        """Answers as a voter."""
        return self.state.answer_endorse(message.request)

    def on_sync_answered(self, message: SyncAnswered) -> None:
        """Takes what a parent or a distant root told."""
        self.calls.note_answer(message.peer)
        now = self.clock.now()
        if message.peer.data_centre != self.state.myself.data_centre:
            self.distant.note_answer(message.peer.data_centre, message.reply.root, now)
        self.state.take_sync_reply(message.peer, message.sent, message.reply, now)
        self._publish_view()

    def on_sync_failed(self, message: SyncFailed) -> None:
        """Notes that a peer is silent."""
        self.calls.note_failure(message.peer)

    def on_endorse_answered(self, message: EndorseAnswered) -> None:
        """Takes a voter's answer."""
        now = self.clock.now()
        if message.round is None:
            table = self.state.cache.tables.get(message.table_id)
            if table is not None:
                self.state.ledger.note_peer_answer(table, message.reply, message.asked)
            return
        self._record_endorsement(message.round, message, now)

    def _record_endorsement(
        self, endorsement_round: EndorsementRound, message: EndorseAnswered, now: float
    ) -> None:
        had_majority = endorsement_round.has_majority
        endorsement_round.record(message.reply, now)
        self.state.directory.hear_of(message.reply.voter, now)
        if endorsement_round.highest_known > endorsement_round.version:
            self._ask_platform(ReadAll())
        if not had_majority and self.state.close_round(endorsement_round, now):
            self._publish_view()

    # Messages of the platform task

    def on_platform_read(self, message: PlatformRead) -> None:
        """Takes entries that the platform returned."""
        now = self.clock.now()
        self._note_platform(True)
        versions = {}
        for entry in message.entries:
            if entry.key.startswith(OWNERSHIP_PREFIX):
                table = self._take_table(entry)
                if table is not None:
                    versions[table.table_id] = table.version
                    if data_centre_of_table(table.table_id) == self.state.myself.data_centre:
                        self.state.take_platform_word(table, message.started, now)
            elif entry.key == CONFIGURATION_KEY:
                self._take(DocumentKind.CONFIGURATION, "", entry)
        if message.complete:
            self.state.ledger.note_platform_read(versions)
        if self.state.was_root:
            self._run_rounds(now)
            self._plan(now)
        self._publish_view()

    def _take_table(self, entry: Entry) -> OwnershipTable | None:
        """Takes a table of the platform; returns it if the cache now holds this version."""
        table_id = entry.key.removeprefix(OWNERSHIP_PREFIX)
        version = self._take(DocumentKind.TABLE, table_id, entry)
        table = self.state.cache.tables.get(table_id)
        if table is None or table.version != version:
            return None
        self.desk.note_entry(entry, table.version)
        return table

    def _take(self, kind: DocumentKind, name: str, entry: Entry) -> int:
        """Takes a stored document; returns its version, 0 when it was refused."""
        before = self.state.cache.version(kind, name)
        result = self.state.cache.take_stored(kind, name, entry.value)
        if not is_successful(result):
            log_problem("document-refused", key=entry.key, problem=result.failure())
            return 0
        version = result.unwrap()
        if version > before:
            log_event("document-accepted", key=entry.key, version=version)
        return version

    def on_platform_failed(self, message: PlatformFailed) -> None:
        """Notes that the platform does not answer."""
        self._note_platform(False, message.problem)

    def _note_platform(self, reachable: bool, problem: str = "") -> None:
        if reachable != self.platform_reachable:
            self.platform_reachable = reachable
            if reachable:
                log_event("platform-reachable")
            else:
                log_problem("platform-unreachable", problem=problem)

    def on_instances_read(self, message: InstancesRead) -> None:
        """Takes the platform's list of instances."""
        self.state.directory.take_list(message.members, self.clock.now())
        self.peers.retain({member.instance_id for member in self.state.directory.members()})

    def on_table_written(self, message: TableWritten) -> None:
        """Takes a confirmed write and tells the voters at once."""
        table = message.table
        self.state.cache.take_stored(DocumentKind.TABLE, table.table_id, message.signed)
        self.desk.note_revision(table.table_id, table.version, message.revision)
        self._run_rounds(self.clock.now())
        self._publish_view()

    def on_table_writes_ended(self, message: TableWritesEnded) -> None:
        """Allows the next plan; a refused write means that the platform has something newer."""
        self.desk.note_writes_ended(message.table_id)
        if not message.confirmed:
            self._ask_platform(ReadAll())

    # Messages of this daemon

    def on_gateway_report(self, message: GatewayReport) -> None:
        """Takes what a gateway of this daemon saw."""
        now = self.clock.now()
        self.state.reports.take_servers(message.servers, now)
        self.state.reports.take_loads(message.loads, now)
        risen = self.state.take_crashes(message.crashes, now)
        down = any(report.status is ServerStatus.DOWN for report in message.servers)
        if self.state.was_root and down:
            self._plan(now)
        elif down or risen:
            self._sync_with_parent(now)
        if risen:
            self._publish_view()

    def on_sync_now(self, _message: SyncNow) -> None:
        """Asks the parent before the period has passed."""
        if not self.state.was_root:
            self._sync_with_parent(self.clock.now())

    def on_leave(self, _message: Leave) -> None:
        """Announces that this daemon leaves."""
        self.state.myself = self.state.myself.replace(state=MemberState.LEAVING)
        self.state.directory.hear(self.state.myself, self.clock.now())
        log_event("leave-announced", instance=self.state.myself.instance_id)
        self.wake()

    # Rounds, plans and syncs

    def _run_rounds(self, now: float) -> None:
        for table in (*self.state.own_tables(), *self._adopted_tables(now)):
            endorsement_round = self.state.begin_round(table, now)
            if self.state.close_round(endorsement_round, now):
                continue
            self._ask_voters(endorsement_round)

    def _ask_voters(self, endorsement_round: EndorsementRound) -> None:
        request = EndorseRequest(endorsement_round.table_id, endorsement_round.version)
        for voter in endorsement_round.electorate - {self.state.myself.instance_id}:
            member = self.state.directory.find(voter)
            if member is not None:
                self.calls.endorse(member, request, endorsement_round)

    def _ask_other_voters(self) -> None:
        if not self.state.ledger.may_ask_peers(self.clock.now()):
            return
        for table in self.state.recovering_tables():
            for voter in {*table.voters, *table.previous_voters}:
                member = self.state.directory.find(voter)
                if member is not None and voter != self.state.myself.instance_id:
                    request = EndorseRequest(table.table_id, 0)
                    self.calls.endorse(member, request, None)

    def _adopted_tables(self, now: float) -> tuple[OwnershipTable, ...]:
        """Returns the yield tables of cut-off data centres for which this root decides."""
        isolated = self._isolated_for_me(now)
        return tuple(
            table
            for table in self.state.yield_tables_elsewhere()
            if data_centre_of_table(table.table_id) in isolated
        )

    def _isolated_for_me(self, now: float) -> frozenset[str]:
        centres = set(self.state.cache.configuration.data_centres)
        return self.distant.isolated_for(self.state.myself.data_centre, centres, now)

    def _plan(self, now: float) -> None:
        if not self.platform_reachable or self.state.cache.configuration.version == 0:
            return
        isolated = self._isolated_for_me(now)
        home = self.state.myself.data_centre
        table_ids = [table_id_of(home, mode) for mode in Isolation]
        table_ids.extend(table.table_id for table in self._adopted_tables(now))
        for table_id in table_ids:
            writes = self.desk.plan(self.state, table_id, isolated, now, self.clock.wall_ms())
            if writes is not None:
                self._ask_platform(writes)

    def _sync_with_parent(self, now: float) -> None:
        parents = self.calls.ready(self.state.parents())
        if parents:
            # A request reports each load once, so it is made only when it is sent.
            self.calls.sync(parents, self.state.sync_request(now))

    def _sync_with_distant_centres(self, is_root: bool) -> None:
        if not is_root:
            return
        request = self.state.distant_sync_request(self.clock.now())
        for data_centre in self.state.cache.configuration.data_centres:
            if data_centre == self.state.myself.data_centre:
                continue
            target = self.distant.target(data_centre, self.state.directory.members(data_centre))
            if target is not None and self.calls.ready((target,)):
                self.calls.sync((target,), request)

    def _set_watching(self, enabled: bool) -> None:
        if enabled != self.watching:
            self.watching = enabled
            log_event("root-role", held=enabled)
            self._ask_platform(SetWatching(enabled))

    def _ask_platform(self, message: object) -> None:
        if self._platform is not None:
            self._platform.post(message)

    # Views

    def _publish_view(self) -> None:
        now = self.clock.now()
        state = self.state
        members = {member.instance_id: member for member in state.directory.members()}
        members[state.myself.instance_id] = state.myself
        self._publish(
            View(
                configuration=state.cache.configuration,
                tables=dict(state.cache.tables),
                routes=self._routes.refresh(),
                book=state.book.snapshot(),
                settled=state.settled_versions(now),
                members=members,
                crashes=crash_reports(state.poison, now),
                root=state.root,
                leaving=state.myself.state is MemberState.LEAVING,
            )
        )
