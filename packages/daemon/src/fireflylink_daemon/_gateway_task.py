"""The task that owns the gateways of a daemon."""

from fireflylink_core import (
    BackendServer,
    BaseClock,
    BaseReply,
    CallerRequest,
    HandoverRequest,
    NotRun,
    Service,
    ServiceKind,
    ShardKey,
)
from fireflylink_daemon._control_messages import GatewayReport, HandoverAsked
from fireflylink_daemon._crash_reports import crash_reports, merge_crash_reports
from fireflylink_daemon._gateway_messages import GrantMissing, ViewChanged
from fireflylink_daemon._grant_desk import GrantAnswered, GrantDesk
from fireflylink_daemon._group_gateway import (
    MOVED,
    NO_AUTHORITY,
    BasePermission,
    GroupGateway,
)
from fireflylink_daemon._log import log_event
from fireflylink_daemon._release_desk import (
    HandoverAnswered,
    ReleaseDesk,
    RevokeAnswered,
    SendHandover,
)
from fireflylink_daemon._releases import RELEASE_LIFETIME, PendingRelease, ShardIdentity
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view import View
from fireflylink_decisions.activation import (
    ShardActivation,
    ShardPhase,
    ShardView,
    view_of_shards,
)
from fireflylink_decisions.admission import (
    CLOCK_SKEW_MS,
    Handover,
    PoisonDetector,
    ShardHandover,
)
from fireflylink_decisions.authority import RENEWAL_PERIOD
from fireflylink_decisions.ownership import Route

STALE_GRANT = "stale-grant"

EXPIRY_PERIOD = 0.01
"""Seconds between looks for queued requests that can no longer finish in time."""

FIRST_RENEWAL_PERIOD = 0.05
"""Seconds between grants to a server that is not ready for requests yet."""

RELEASE_PERIOD = 0.01
"""Seconds between looks whether the requests in flight of a released shard have ended."""


class GatewayTask(BaseTask, BasePermission):
    """Acts as gateway for the groups that the tables give to this daemon.

    It renews the grants of their servers, starts shards once nothing of a former owner can be left,
    and releases those that move away. Greenlets of requests call ``serve``.
    """

    __slots__ = (
        "_first_term_ms",
        "_grants",
        "_renew_at",
        "activation",
        "control",
        "groups",
        "poison",
        "releases",
        "view",
    )

    def __init__(
        self,
        clock: BaseClock,
        instance_id: str,
        view: View,
        control: BaseTask,
        send_handover: SendHandover,
    ) -> None:
        super().__init__("gateway", clock)
        self.view = view
        self.control = control
        self.poison = PoisonDetector()
        self.groups: dict[str, GroupGateway] = {}
        self.activation = ShardActivation(instance_id, clock.now(), self._all_check_grants)
        self.releases = ReleaseDesk(instance_id, self.activation, clock, self.post, send_handover)
        self._grants = GrantDesk(instance_id, clock, self.post, self)
        self._renew_at = clock.now()
        self._first_term_ms = clock.wall_ms() + CLOCK_SKEW_MS

    def _all_check_grants(self, server_ids: tuple[str, ...]) -> bool:
        servers = self.view.configuration.servers
        return all(
            server_id in servers and servers[server_id].checks_grants for server_id in server_ids
        )

    # Requests

    def serve(self, request: CallerRequest, route: Route, hashed_key: int) -> BaseReply:
        """Runs a request whose route names this daemon as gateway.

        A request for a shard that is about to start here waits for it within its deadline, so that
        a planned move is not seen by callers.
        """
        identity = ((request.service, route.index), route.is_exception)
        while True:
            group = self.groups.get(route.group.group_id)
            shard = self.activation.view(identity)
            if group is None or shard is None or shard.group.group_id != group.group_id:
                return MOVED
            if self._ready(group, shard):
                break
            remaining = request.deadline - self.clock.now()
            if remaining <= 0 or not group.changed.wait(timeout=remaining):
                return NO_AUTHORITY
        if self.deadline(shard) <= self.clock.now():
            return NO_AUTHORITY
        group.meter.count(shard.shard, shard.exception, hashed_key)
        reply = group.run(request, shard, self)
        if isinstance(reply, NotRun) and reply.reason == STALE_GRANT:
            self.post(GrantMissing(group.group_id))
        return reply

    def _ready(self, group: GroupGateway, shard: ShardView) -> bool:
        if self.activation.phase(shard.identity) is not ShardPhase.SERVING:
            return False
        now = self.clock.now()
        usable = [link for link in group.links.values() if not link.is_lost(now)]
        return bool(usable) and all(link.is_ready(now) and link.has_grant(shard) for link in usable)

    def deadline(self, view: ShardView) -> float:
        identity = view.identity
        if identity in self.releases.pending:
            return 0.0
        if self.activation.phase(identity) is not ShardPhase.SERVING:
            return 0.0
        current = self.activation.view(identity)
        if current is None or current.term != view.term:
            return 0.0
        return self.view.deadline(view.table_id, view.fence_version)

    # Task

    def next_wake(self) -> float:
        now = self.clock.now()
        wake = self._renew_at
        if self.releases.pending:
            wake = min(wake, now + RELEASE_PERIOD)
        if any(group.admission.needs_expiry for group in self.groups.values()):
            wake = min(wake, now + EXPIRY_PERIOD)
        return wake

    def wake(self) -> None:
        now = self.clock.now()
        for group in self.groups.values():
            if group.admission.needs_expiry:
                group.resolve(group.admission.expire(now))
                group.start_admitted(group.admission.start_waiting(now))
        for identity in self.releases.progress(self.groups, self.view, now):
            self._drop_release(identity)
        self._activate(now)
        if now >= self._renew_at:
            self._renew_at = now + RENEWAL_PERIOD
            for group in self.groups.values():
                self._renew(group)
            self._report(now)

    def receive(self, message: object) -> object:
        if isinstance(message, ViewChanged):
            self._take_view(message.view)
        elif isinstance(message, GrantAnswered):
            self._take_grant_answer(message)
        elif isinstance(message, HandoverAsked):
            return self._take_handover(message.request)
        elif isinstance(message, GrantMissing):
            self._renew_at = self.clock.now()
        elif isinstance(message, RevokeAnswered):
            self.releases.take_revoke_answer(message)
        elif isinstance(message, HandoverAnswered):
            for identity in self.releases.take_handover_answer(message):
                self._drop_release(identity)
        return None

    @property
    def is_idle(self) -> bool:
        """Whether no shard is served here and nothing is left to release."""
        return not self.activation.views() and not self.releases.pending

    # Views

    def _take_view(self, view: View) -> None:
        now = self.clock.now()
        former = self.view
        self.view = view
        merge_crash_reports(self.poison, view.crashes, now)
        if former.routes is not view.routes:
            self._take_routes(former, view, now)
        self._activate(now)

    def _take_routes(self, former: View, view: View, now: float) -> None:
        views = view_of_shards(view.routes, self.activation.instance_id)
        self._open_groups(views)
        for shard in self.activation.take_views(views, now):
            if self._fold_exception(shard):
                self.activation.finish_release(shard.identity)
                continue
            table = view.tables.get(shard.table_id)
            version = table.version if table is not None else shard.fence_version
            release = PendingRelease(shard, version, now + RELEASE_LIFETIME)
            self.releases.begin(release, self.groups.get(shard.group.group_id))
        self._release_single_keys(former, view, now)
        self._close_groups()
        for group in self.groups.values():
            group.wake_waiting()

    def _fold_exception(self, former: ShardView) -> bool:
        """Takes an ended exception back into its shard, which the same group serves here."""
        if not former.exception or former.shard in self.view.routes.exceptions:
            return False
        route = self.view.routes.find_hash(*former.shard)
        group = self.groups.get(former.group.group_id)
        if route is None or group is None or route.group.group_id != group.group_id:
            return False
        group.admission.fold_exception(former.shard[1], route.index)
        return True

    def _release_single_keys(self, former: View, view: View, now: float) -> None:
        """Releases keys that have become exceptions and were served here with their shard."""
        for key, route in view.routes.exceptions.items():
            if key in former.routes.exceptions:
                continue
            parent = former.routes.find_hash(*key)
            if parent is None or parent.group.gateway != self.activation.instance_id:
                continue
            shard = self.activation.view(((key[0], parent.index), False))
            if shard is None or self.activation.phase(shard.identity) is not ShardPhase.SERVING:
                continue
            deadline = now + RELEASE_LIFETIME
            release = PendingRelease(shard, route.record.changed_version, deadline, key[1])
            self.releases.begin(release, self.groups.get(shard.group.group_id))

    def _open_groups(self, views: dict[tuple[ShardKey, bool], ShardView]) -> None:
        groups = {shard.group.group_id: shard.group for shard in views.values()}
        configuration = self.view.configuration
        for group in groups.values():
            service = configuration.services.get(group.service)
            servers = tuple(
                configuration.servers[server_id]
                for server_id in group.server_ids
                if server_id in configuration.servers
            )
            if service is None or not servers:
                continue
            held = self.groups.get(group.group_id)
            if held is not None and held.take_servers(
                service, servers, self._withheld(service, servers)
            ):
                continue
            if held is not None:
                held.close()
            opened = GroupGateway(group.group_id, service, servers, self.poison, self.clock)
            opened.take_servers(service, servers, self._withheld(service, servers))
            self.groups[group.group_id] = opened
            log_event("gateway-opened", group=group.group_id, epoch=group.gateway_epoch)
            self._renew_at = self.clock.now()

    def _withheld(self, service: Service, servers: tuple[BackendServer, ...]) -> frozenset[str]:
        """Returns the servers of a pooled group that operators take out while others stay.

        The shards of a group without any other server move, and are served until then.
        """
        leaving = frozenset(
            server.server_id
            for server in servers
            if not self.view.configuration.takes_new_work(server)
        )
        if service.kind is ServiceKind.KEYED or len(leaving) == len(servers):
            return frozenset()
        return leaving

    def _close_groups(self) -> None:
        needed = {shard.group.group_id for shard in self.activation.views()}
        for release in self.releases.pending.values():
            needed.add(release.former.group.group_id)
        for group_id in set(self.groups) - needed:
            if self.groups[group_id].admission.idle:
                self.groups.pop(group_id).close()
                log_event("gateway-closed", group=group_id)

    # Activation

    def _activate(self, now: float) -> None:
        view = self.view
        held_versions = {table_id: table.version for table_id, table in view.tables.items()}
        activated = self.activation.activate(view.book, view.settled, held_versions, now)
        if not activated:
            return
        wall_ms = self.clock.wall_ms()
        for shard in activated:
            group = self.groups.get(shard.group.group_id)
            if group is None or self.activation.is_handed_over(shard):
                continue
            if shard.never_served and shard.record.since_ms >= self._first_term_ms:
                # Nobody can have admitted a request of this shard before.
                known = ShardHandover(shard.shard[1], 0, ())
                handover = Handover(shard.shard[0], (known,))
                group.admission.import_handover(handover, now, wall_ms)
            else:
                group.admission.start_term((shard.shard[1],), now, wall_ms)
        log_event("shards-started", count=len(activated))
        for group_id in {shard.group.group_id for shard in activated}:
            group = self.groups.get(group_id)
            if group is not None:
                self._renew(group)
                group.wake_waiting()

    def _take_handover(self, request: HandoverRequest) -> bool:
        """Takes released shards if the table that gives them to this daemon has arrived.

        Otherwise the release is refused, and the former gateway repeats it.
        """
        groups = [self._group_of(released.shard, released.exception) for released in request.shards]
        if any(group is None for group in groups):
            return False
        for released, group in zip(request.shards, groups, strict=True):
            known = ShardHandover(released.shard[1], released.floor_ms, released.request_ids)
            if group is not None:
                handover = Handover(released.shard[0], (known,))
                group.admission.import_handover(handover, self.clock.now(), self.clock.wall_ms())
        self.activation.handovers.take(request)
        self._activate(self.clock.now())
        return True

    def _group_of(self, shard: ShardKey, exception: bool) -> GroupGateway | None:
        view = self.activation.view((shard, exception))
        return self.groups.get(view.group.group_id) if view is not None else None

    def _drop_release(self, identity: ShardIdentity) -> None:
        self.releases.drop(identity)
        self.activation.finish_release(identity)
        self._activate(self.clock.now())
        self._close_groups()

    # Grants and reports

    def _renew(self, group: GroupGateway) -> None:
        shards = tuple(
            shard
            for shard in self.activation.views()
            if shard.group.group_id == group.group_id
            and self.activation.phase(shard.identity) is ShardPhase.SERVING
        )
        self._grants.renew(group, shards)

    def _take_grant_answer(self, message: GrantAnswered) -> None:
        group = self.groups.get(message.group_id)
        link = group.links.get(message.server_id) if group is not None else None
        if group is None or link is None:
            return
        now = self.clock.now()
        if self._grants.take_answer(message, group, link) or not link.is_ready(now):
            self._renew_at = min(self._renew_at, now + FIRST_RENEWAL_PERIOD)
        if link.is_lost(now):
            self._report(now)
        group.wake_waiting()

    def _report(self, now: float) -> None:
        for group in self.groups.values():
            self.control.post(
                GatewayReport(
                    group.group_id,
                    group.server_reports(now),
                    group.meter.report(now),
                    crash_reports(self.poison, now),
                )
            )

    def stop(self) -> None:
        super().stop()
        for group in self.groups.values():
            group.close()
