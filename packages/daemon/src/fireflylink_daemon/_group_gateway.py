"""The gateway of one server group: its servers, admission and waiting requests."""

import gevent
from gevent.event import AsyncResult, Event

from fireflylink_backend_client import (
    Answered,
    BaseCallResult,
    CallHeaders,
    Lost,
    LostReason,
    NotRunByServer,
    NotSent,
    NotSentReason,
)
from fireflylink_core import (
    BackendAnswer,
    BackendServer,
    BaseClock,
    BaseReply,
    CallerRequest,
    NotRun,
    ServerReport,
    ServerStatus,
    Service,
    ServiceKind,
)
from fireflylink_daemon._load_meter import LoadMeter
from fireflylink_daemon._server_link import ServerLink
from fireflylink_decisions.activation import ShardView
from fireflylink_decisions.admission import (
    Admitted,
    CallOutcome,
    CallResult,
    Delegated,
    GatewayAdmission,
    PoisonDetector,
    Queued,
    Rejected,
)
from fireflylink_decisions.retries import classify

MOVED = NotRun("moved", "The gateway does not own this shard.", 503, retry_after_ms=20)
NO_AUTHORITY = NotRun(
    "no-authority", "The gateway could not renew its authority.", 503, retry_after_ms=100
)
DEADLINE = NotRun("deadline", "The deadline passed before the request was sent.", 503)

MILLISECONDS_PER_SECOND = 1000.0

LOST_OUTCOMES = {
    LostReason.DEADLINE: CallOutcome.DEADLINE_PASSED,
    LostReason.CANCELLED: CallOutcome.CANCELLED,
    LostReason.TRUNCATED: CallOutcome.TRUNCATED,
}


class GroupGateway:
    """Admits requests of one group and runs them on its servers.

    The gateway task owns it. A request's own greenlet calls ``run`` and waits there; every decision
    in between is made without a switch to another task.
    """

    __slots__ = (
        "admission",
        "calls",
        "changed",
        "clock",
        "group_id",
        "links",
        "lost_until",
        "meter",
        "service",
        "waiters",
    )

    def __init__(
        self,
        group_id: str,
        service: Service,
        servers: tuple[BackendServer, ...],
        poison: PoisonDetector,
        clock: BaseClock,
    ) -> None:
        self.group_id = group_id
        self.service = service
        self.clock = clock
        self.admission = GatewayAdmission(service, servers, poison)
        self.links = {server.server_id: ServerLink(server, clock) for server in servers}
        self.waiters: dict[str, AsyncResult] = {}
        self.changed = Event()
        self.meter = LoadMeter(clock.now())
        self.calls = 0
        self.lost_until: dict[int, float] = {}

    def take_servers(
        self, service: Service, servers: tuple[BackendServer, ...], withheld: frozenset[str]
    ) -> bool:
        """Takes a changed list of servers; False when a new gateway has to be opened for it.

        Connections, request ids and requests in flight of the servers that stay are kept.
        """
        held = {server_id: link.server for server_id, link in self.links.items()}
        if any(_moved(held.get(server.server_id, server), server) for server in servers):
            return False
        self.service = service
        self.admission.servers.take_servers(service, servers, withheld)
        links = {}
        for server in servers:
            link = self.links.pop(server.server_id) if server.server_id in self.links else None
            links[server.server_id] = link or ServerLink(server, self.clock)
            links[server.server_id].server = server
        for link in self.links.values():
            # Its last requests end by then.
            gevent.spawn_later(service.max_request_ms / MILLISECONDS_PER_SECOND, link.close)
        self.links = links
        return True

    @property
    def exclusive(self) -> bool:
        """Whether a shard of the group has exactly one owning server."""
        return self.service.kind is ServiceKind.KEYED

    def wake_waiting(self) -> None:
        """Lets requests that wait for a shard look again."""
        self.changed.set()
        self.changed = Event()

    def run(
        self, request: CallerRequest, view: ShardView, permission: "BasePermission"
    ) -> BaseReply:
        """Admits a request of a shard that is served here, and runs it."""
        now = self.clock.now()
        self.calls += 1
        call_id = f"{self.group_id}-{view.group.gateway_epoch}-{self.calls:x}"
        decision = self.admission.offer(request, call_id, now, self.clock.wall_ms(), view.shard[1])
        if isinstance(decision, Rejected):
            return decision.reply
        if isinstance(decision, Queued):
            waited = self._wait(call_id, request)
            if isinstance(waited, BaseReply):
                return waited
            decision = waited
        assert isinstance(decision, Admitted)
        return self._send(request, view, permission, decision)

    def _wait(self, call_id: str, request: CallerRequest) -> Admitted | BaseReply:
        waiter = AsyncResult()
        self.waiters[call_id] = waiter
        try:
            waiter.wait(timeout=max(0.0, request.deadline - self.clock.now()))
        finally:
            self.waiters.pop(call_id, None)
            if not waiter.ready():
                self.admission.cancel(call_id, self.clock.now())
        if waiter.ready():
            outcome: Admitted | BaseReply = waiter.get()
            return outcome
        return DEADLINE

    def _send(
        self,
        request: CallerRequest,
        view: ShardView,
        permission: "BasePermission",
        admitted: Admitted,
    ) -> BaseReply:
        """Sends an admitted request if the gateway may still act for its shard."""
        result = CallResult(CallOutcome.CANCELLED, 0.0)
        try:
            result = self._attempt(request, view, permission, admitted)
        finally:
            self._resolve(self.admission.finish(admitted.call_id, result, self.clock.now()))
        if result.outcome is CallOutcome.NOT_SENT and not permission.deadline(view):
            return MOVED
        return classify(result, request.idempotent).reply

    def _attempt(
        self,
        request: CallerRequest,
        view: ShardView,
        permission: "BasePermission",
        admitted: Admitted,
    ) -> CallResult:
        link = self.links[admitted.server_id]
        now = self.clock.now()
        limit = permission.deadline(view)
        if limit <= now or not link.is_ready(now):
            return CallResult(CallOutcome.NOT_SENT, 0.0)
        deadline = request.deadline
        # No request of an exclusive shard outlives the authority under which it was sent, so a
        # new owner never starts while the former one still works.
        if (self.exclusive or not link.server.checks_grants) and deadline > limit:
            deadline = limit
            request = request.replace(deadline=deadline)
        headers = CallHeaders(
            call_id=admitted.call_id,
            deadline_ms=link.clock.deadline_ms(deadline),
            gateway_epoch=view.group.gateway_epoch,
            shard=view.shard[1],
            epoch=view.record.epoch,
        )
        outcome = link.pool.call(request, headers)
        if isinstance(outcome, Lost):
            # The server may still work on the request until the deadline that it was sent.
            index = view.shard[1]
            self.lost_until[index] = max(self.lost_until.get(index, 0.0), deadline)
        return _call_result(outcome, self.clock.now() - now)

    def may_still_run(self, shard_index: int, now: float) -> bool:
        """Whether a server may still work on a request of a shard whose answer was lost."""
        return self.lost_until.get(shard_index, 0.0) > now

    def resolve(self, replies: tuple[tuple[str, BaseReply], ...]) -> None:
        """Answers requests that waited in the queue and will not start."""
        for call_id, reply in replies:
            waiter = self.waiters.get(call_id)
            if waiter is not None:
                waiter.set(reply)

    def _resolve(self, started: tuple[Admitted | Delegated, ...]) -> None:
        for admitted in started:
            waiter = self.waiters.get(admitted.call_id)
            if waiter is not None:
                waiter.set(admitted)
            else:
                unsent = CallResult(CallOutcome.NOT_SENT, 0.0)
                self._resolve(self.admission.finish(admitted.call_id, unsent, self.clock.now()))

    def start_admitted(self, started: tuple[Admitted | Delegated, ...]) -> None:
        """Lets queued requests run that the admission has started."""
        self._resolve(started)

    def server_reports(self, now: float) -> tuple[ServerReport, ...]:
        """Returns how the servers of the group look from here."""
        return tuple(
            ServerReport(server_id, self._status(link, now))
            for server_id, link in sorted(self.links.items())
        )

    def _status(self, link: ServerLink, now: float) -> ServerStatus:
        if link.is_lost(now):
            return ServerStatus.DOWN
        limiter = self.admission.servers.limiters_by_id[link.server.server_id]
        return ServerStatus.COLD if limiter.cold else ServerStatus.UP

    def close(self) -> None:
        """Closes the connections to the servers."""
        for link in self.links.values():
            link.close()
        self.wake_waiting()


class BasePermission:
    """Tells until when a gateway may act for a shard."""

    __slots__ = ()

    def deadline(self, view: ShardView) -> float:
        """Returns the deadline in seconds on the local clock, 0 when it may not act any more."""
        raise NotImplementedError


def _call_result(outcome: BaseCallResult, latency: float) -> CallResult:
    if isinstance(outcome, Answered):
        answer = BackendAnswer(
            outcome.status, outcome.body, outcome.content_type, outcome.server_id
        )
        return CallResult(CallOutcome.ANSWERED, latency, outcome.generation, answer)
    if isinstance(outcome, NotRunByServer):
        return CallResult(
            CallOutcome.NOT_RUN, latency, outcome.generation, not_run_reason=outcome.reason
        )
    if isinstance(outcome, NotSent):
        refused = outcome.reason is NotSentReason.CONNECT_REFUSED
        return CallResult(CallOutcome.NOT_SENT, latency, refused=refused)
    assert isinstance(outcome, Lost)
    return CallResult(LOST_OUTCOMES.get(outcome.reason, CallOutcome.CONNECTION_LOST), latency)


def _moved(held: BackendServer, server: BackendServer) -> bool:
    """Tells whether a server differs in more than its state."""
    return held.replace(state=server.state) != server
