"""The task that owns the gateways of a daemon."""

from collections.abc import Callable

import gevent
from returns.pipeline import is_successful

from fireflylink_backend_client import GrantCommand, GrantRefused, RevokeCommand, ServerStatus
from fireflylink_core import (
    BaseClock,
    BaseReply,
    BaseValue,
    CallerRequest,
    HandoverRequest,
    Member,
    ServerGroup,
)
from fireflylink_daemon._control_messages import GatewayReport, HandoverAsked
from fireflylink_daemon._crash_reports import crash_reports, merge_crash_reports
from fireflylink_daemon._group_gateway import (
    MOVED,
    NO_AUTHORITY,
    BasePermission,
    GroupGateway,
)
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._releases import RELEASE_LIFETIME, PendingRelease
from fireflylink_daemon._server_link import GRANT_TIMEOUT, ServerLink
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view import View
from fireflylink_decisions.activation import (
    ShardActivation,
    ShardPhase,
    ShardView,
    view_of_shards,
)
from fireflylink_decisions.admission import Handover, PoisonDetector, ShardHandover
from fireflylink_decisions.authority import RENEWAL_PERIOD
from fireflylink_decisions.limits import ReportedState
from fireflylink_decisions.ownership import Route

EXPIRY_PERIOD = 0.01
"""Seconds between looks for queued requests that can no longer finish in time."""

RELEASE_PERIOD = 0.01
"""Seconds between looks whether the requests in flight of a released shard have ended."""


class ViewChanged(BaseValue):
    """The control task has a newer view."""

    __slots__ = ("view",)

    def __init__(self, view: View) -> None:
        self.view = view


class GrantAnswered(BaseValue):
    """A server confirmed or refused a grant, or did not answer (``status`` is None)."""

    __slots__ = ("granted", "group_id", "problem", "server_id", "status")

    def __init__(
        self,
        group_id: str,
        server_id: str,
        status: ServerStatus | None,
        granted: tuple[ShardView, ...],
        problem: str = "",
    ) -> None:
        self.group_id = group_id
        self.server_id = server_id
        self.status = status
        self.granted = granted
        self.problem = problem


class RevokeAnswered(BaseValue):
    """A server took shards out of its grant; ``running`` of their requests still run there."""

    __slots__ = ("identity", "running")

    def __init__(self, identity: tuple[tuple[str, int], bool], running: int) -> None:
        self.identity = identity
        self.running = running


class HandoverAnswered(BaseValue):
    """A new gateway took a released shard, or did not answer."""

    __slots__ = ("accepted", "identity")

    def __init__(self, identity: tuple[tuple[str, int], bool], accepted: bool) -> None:
        self.identity = identity
        self.accepted = accepted


SendHandover = Callable[[Member, HandoverRequest], bool]


class GatewayTask(BaseTask, BasePermission):
    """Acts as gateway for the groups that the tables give to this daemon.

    It renews the grants of their servers, starts shards once nothing of a former owner can be left,
    and releases those that move away. Greenlets of requests call ``serve``.
    """

    __slots__ = (
        "_renew_at",
        "_sending",
        "activation",
        "control",
        "groups",
        "poison",
        "releases",
        "send_handover",
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
        self.send_handover = send_handover
        self.poison = PoisonDetector()
        self.groups: dict[str, GroupGateway] = {}
        self.releases: dict[tuple[tuple[str, int], bool], PendingRelease] = {}
        self.activation = ShardActivation(instance_id, clock.now(), self._all_check_grants)
        self._renew_at = clock.now()
        self._sending: set[tuple[tuple[str, int], bool]] = set()

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
            if group is None or shard is None:
                return MOVED
            if self.activation.phase(identity) is ShardPhase.SERVING and self._granted(
                group, shard
            ):
                break
            remaining = request.deadline - self.clock.now()
            if remaining <= 0 or not group.changed.wait(timeout=remaining):
                return NO_AUTHORITY
        if self.deadline(shard) <= self.clock.now():
            return NO_AUTHORITY
        group.meter.count(shard.shard, shard.exception, hashed_key)
        return group.run(request, shard, self)

    def _granted(self, group: GroupGateway, shard: ShardView) -> bool:
        links = group.links.values()
        return any(link.clock.known and link.has_grant(shard) for link in links)

    def deadline(self, view: ShardView) -> float:
        identity = view.identity
        if identity in self.releases or self.activation.phase(identity) is not ShardPhase.SERVING:
            return 0.0
        current = self.activation.view(identity)
        if current is None or current.term != view.term:
            return 0.0
        return self.view.book.deadline(view.table_id, view.fence_version)

    # Task

    def next_wake(self) -> float:
        now = self.clock.now()
        wake = self._renew_at
        if self.releases:
            wake = min(wake, now + RELEASE_PERIOD)
        if any(group.admission.needs_expiry for group in self.groups.values()):
            wake = min(wake, now + EXPIRY_PERIOD)
        return wake

    def wake(self) -> None:
        now = self.clock.now()
        for group in self.groups.values():
            if group.admission.needs_expiry:
                group.resolve(group.admission.expire(now))
        self._progress_releases(now)
        self._activate(now)
        if now >= self._renew_at:
            self._renew_at = now + RENEWAL_PERIOD
            self._renew_grants(now)
            self._report(now)

    def receive(self, message: object) -> object:
        if isinstance(message, ViewChanged):
            self._take_view(message.view)
        elif isinstance(message, GrantAnswered):
            self._take_grant_answer(message)
        elif isinstance(message, HandoverAsked):
            self._take_handover(message.request)
        elif isinstance(message, RevokeAnswered):
            self._take_revoke_answer(message)
        elif isinstance(message, HandoverAnswered):
            self._take_handover_answer(message)
        return None

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
            table = view.tables.get(shard.table_id)
            version = table.version if table is not None else shard.fence_version
            self._begin_release(PendingRelease(shard, version, now + RELEASE_LIFETIME))
        self._release_single_keys(former, view, now)
        self._close_groups()
        for group in self.groups.values():
            group.wake_waiting()

    def _release_single_keys(self, former: View, view: View, now: float) -> None:
        """Releases keys that have become exceptions and were served here with their shard."""
        for (service, hashed_key), route in view.routes.exceptions.items():
            key = (service, hashed_key)
            if key in former.routes.exceptions:
                continue
            parent = former.routes.find_hash(service, hashed_key)
            if parent is None or parent.group.gateway != self.activation.instance_id:
                continue
            shard = self.activation.view(((service, parent.index), False))
            served = shard is not None and self.activation.phase(shard.identity)
            if shard is not None and served is ShardPhase.SERVING:
                release = PendingRelease(
                    shard, route.record.changed_version, now + RELEASE_LIFETIME, hashed_key
                )
                self._begin_release(release)

    def _open_groups(self, views: dict[tuple[tuple[str, int], bool], ShardView]) -> None:
        configuration = self.view.configuration
        for shard in views.values():
            group = shard.group
            service = configuration.services.get(group.service)
            servers = tuple(
                configuration.servers[server_id]
                for server_id in group.server_ids
                if server_id in configuration.servers
            )
            if service is None or not servers:
                continue
            held = self.groups.get(group.group_id)
            if held is not None and _same_servers(held, servers, group):
                held.service = service
                continue
            if held is not None:
                held.close()
            opened = GroupGateway(group.group_id, service, servers, self.poison, self.clock)
            self.groups[group.group_id] = opened
            log_event("gateway-opened", group=group.group_id, epoch=group.gateway_epoch)
            self._renew_at = self.clock.now()

    def _close_groups(self) -> None:
        needed = {shard.group.group_id for shard in self.activation.views()}
        needed.update(release.former.group.group_id for release in self.releases.values())
        for group_id in set(self.groups) - needed:
            if self.groups[group_id].admission.idle:
                self.groups.pop(group_id).close()
                log_event("gateway-closed", group=group_id)

    # Activation

    def _activate(self, now: float) -> None:
        activated = self.activation.activate(self.view.book, self.view.settled, now)
        if not activated:
            return
        wall_ms = self.clock.wall_ms()
        for shard in activated:
            group = self.groups.get(shard.group.group_id)
            if group is not None and not self.activation.is_handed_over(shard):
                group.admission.start_term((shard.shard[1],), wall_ms)
        log_event("shards-started", count=len(activated))
        for group_id in {shard.group.group_id for shard in activated}:
            group = self.groups.get(group_id)
            if group is not None:
                self._renew_group(group, now)
                group.wake_waiting()

    def _take_handover(self, request: HandoverRequest) -> None:
        self.activation.handovers.take(request)
        for released in request.shards:
            route = self._route_of(released.shard, released.exception)
            group = self.groups.get(route.group.group_id) if route is not None else None
            if group is None:
                # The table that makes this daemon the gateway has not arrived; the release is
                # refused so that the former gateway repeats it.
                continue
            shard = ShardHandover(released.shard[1], released.floor_ms, released.request_ids)
            group.admission.import_handover(Handover(released.shard[0], (shard,)))
        self._activate(self.clock.now())

    def accepts_handover(self, request: HandoverRequest) -> bool:
        """Tells whether this daemon already knows that it is the new gateway."""
        for released in request.shards:
            route = self._route_of(released.shard, released.exception)
            if route is None or route.group.group_id not in self.groups:
                return False
            if (route.record.epoch, route.group.gateway_epoch) != (
                released.epoch,
                released.gateway_epoch,
            ):
                return False
        return True

    def _route_of(self, shard: tuple[str, int], exception: bool) -> Route | None:
        routes = self.view.routes.exceptions if exception else self.view.routes.shards
        return routes.get(shard)

    # Releases

    def _begin_release(self, release: PendingRelease) -> None:
        self.releases[release.identity] = release
        group = self.groups.get(release.former.group.group_id)
        if group is None or release.single_key is not None:
            return
        index = release.former.shard[1]
        group.resolve(group.admission.stop_admitting("moved", (index,)))

    def _progress_releases(self, now: float) -> None:
        for identity, release in list(self.releases.items()):
            if now >= release.deadline:
                self._drop_release(identity)
            elif release.handover is None:
                self._export(release, now)
            elif identity not in self._sending:
                self._send_release(release)

    def _export(self, release: PendingRelease, now: float) -> None:
        """Completes a release once nothing of the former term is left.

        A majority has to stand behind the change before it is released: otherwise this instance
        could restart, be told the former version by a stale peer, and act on it again.
        """
        former = release.former
        group = self.groups.get(former.group.group_id)
        if group is None:
            self._drop_release(release.identity)
            return
        if not self._drained(group, release):
            return
        authority = self.view.book.deadline(former.table_id, release.version, by_majority=True)
        if authority <= now or not self._fenced_at_servers(group, release, now):
            return
        index = former.shard[1]
        if release.single_key is not None:
            known = group.admission.export_single_key(index)
        else:
            known = group.admission.export_handover((index,)).unwrap().shards
        empty = ShardHandover(index, self.clock.wall_ms(), ())
        release.handover = known[0] if known else empty
        self.activation.finish_release(release.identity)

    def _drained(self, group: GroupGateway, release: PendingRelease) -> bool:
        if release.single_key is None:
            return group.admission.idle_for((release.former.shard[1],))
        return group.admission.idle_for_key(release.single_key)

    def _fenced_at_servers(
        self, group: GroupGateway, release: PendingRelease, now: float
    ) -> bool:
        """Whether no server of the former group can take the shard for its own any more."""
        former = release.former
        route = self._route_of(*release.identity)
        same_server = route is not None and route.group.group_id == former.group.group_id
        if release.single_key is not None or same_server or release.revoked:
            return True
        checking = [link for link in group.links.values() if link.server.checks_grants]
        if all(link.grant_end <= now for link in checking):
            return True
        for link in checking:
            gevent.spawn(self._revoke, link, former)
        return False

    def _revoke(self, link: ServerLink, former: ShardView) -> None:
        index = former.shard[1]
        shards = () if former.exception else (index,)
        exceptions = (index,) if former.exception else ()
        command = RevokeCommand(former.group.gateway_epoch, shards, exceptions)
        result = link.control.revoke(command, self.clock.now() + GRANT_TIMEOUT)
        if is_successful(result):
            self.post(RevokeAnswered(former.identity, result.unwrap()))

    def _take_revoke_answer(self, message: RevokeAnswered) -> None:
        release = self.releases.get(message.identity)
        if release is not None and message.running == 0:
            release.revoked = True

    def _send_release(self, release: PendingRelease) -> None:
        target = release.successor(self.view)
        if target is None:
            return
        member, request = target
        self._sending.add(release.identity)
        gevent.spawn(self._hand_over, release.identity, member, request)

    def _hand_over(
        self, identity: tuple[tuple[str, int], bool], member: Member, request: HandoverRequest
    ) -> None:
        if member.instance_id == self.activation.instance_id:
            accepted = self.accepts_handover(request)
            if accepted:
                self.post(HandoverAsked(request))
        else:
            accepted = self.send_handover(member, request)
        self.post(HandoverAnswered(identity, accepted))

    def _take_handover_answer(self, message: HandoverAnswered) -> None:
        self._sending.discard(message.identity)
        if message.accepted:
            self._drop_release(message.identity)

    def _drop_release(self, identity: tuple[tuple[str, int], bool]) -> None:
        self.releases.pop(identity, None)
        self.activation.finish_release(identity)
        self._close_groups()

    # Grants and reports

    def _renew_grants(self, now: float) -> None:
        for group in self.groups.values():
            self._renew_group(group, now)

    def _renew_group(self, group: GroupGateway, now: float) -> None:
        shards = [
            shard
            for shard in self.activation.views()
            if shard.group.group_id == group.group_id
            and self.activation.phase(shard.identity) is ShardPhase.SERVING
        ]
        for link in group.links.values():
            gevent.spawn(self._grant, group.group_id, link, tuple(shards), now)

    def _grant(
        self, group_id: str, link: ServerLink, shards: tuple[ShardView, ...], now: float
    ) -> None:
        ends = [self.deadline(shard) for shard in shards]
        end = min((deadline for deadline in ends if deadline > now), default=0.0)
        current = tuple(shard for shard, deadline in zip(shards, ends, strict=True) if deadline > now)
        gateway_epoch = max((shard.group.gateway_epoch for shard in shards), default=0)
        command = GrantCommand(
            gateway=self.activation.instance_id,
            gateway_epoch=gateway_epoch,
            deadline_ms=link.clock.deadline_ms(end) if end else 0,
            shards=_epochs(current, exception=False),
            exceptions=_epochs(current, exception=True),
        )
        # The grant may take effect although its reply is lost.
        link.grant_end = max(link.grant_end, end)
        result = link.control.grant(command, self.clock.now() + GRANT_TIMEOUT)
        if is_successful(result):
            confirmed = current if command.deadline_ms else ()
            self.post(GrantAnswered(group_id, link.server.server_id, result.unwrap(), confirmed))
            return
        failure = result.failure()
        refused = isinstance(failure, GrantRefused)
        problem = f"refused: {failure}" if refused else str(failure)
        self.post(GrantAnswered(group_id, link.server.server_id, None, (), problem))

    def _take_grant_answer(self, message: GrantAnswered) -> None:
        now = self.clock.now()
        group = self.groups.get(message.group_id)
        link = group.links.get(message.server_id) if group is not None else None
        if group is None or link is None:
            return
        if message.status is None:
            if not link.failed:
                log_problem("grant-failed", server=message.server_id, problem=message.problem)
            link.failed = True
            if link.is_lost(now):
                self._report(now)
            return
        first_reading = not link.clock.known
        link.take_status(message.status)
        link.granted = {
            shard.identity: (shard.record.epoch, shard.group.gateway_epoch)
            for shard in message.granted
        }
        status = message.status
        started = group.admission.observe(
            message.server_id,
            status.generation,
            ReportedState(status.state.value),
            now,
            status.sent_at,
        )
        group.start_admitted(started)
        if first_reading:
            self._renew_group(group, now)
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


def _same_servers(
    held: GroupGateway, servers: tuple[object, ...], group: ServerGroup
) -> bool:
    return tuple(link.server for link in held.links.values()) == servers and (
        held.service.name == group.service
    )


def _epochs(shards: tuple[ShardView, ...], exception: bool) -> tuple[tuple[int, int], ...]:
    return tuple(
        (shard.shard[1], shard.record.epoch) for shard in shards if shard.exception is exception
    )
