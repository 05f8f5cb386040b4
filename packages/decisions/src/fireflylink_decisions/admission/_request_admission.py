"""Decisions about the single requests of a server group."""

from collections.abc import Iterable

from fireflylink_core import (
    IDEMPOTENT_METHODS,
    BackendServer,
    BaseReply,
    CallerRequest,
    Service,
    ServiceKind,
    shard_of,
)
from fireflylink_decisions.admission import _replies as replies
from fireflylink_decisions.admission._admission_values import (
    Admitted,
    Delegated,
    Queued,
    Rejected,
)
from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.admission._delegation import Delegation
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._group_servers import GroupServers
from fireflylink_decisions.admission._id_gate import IdGate
from fireflylink_decisions.admission._poison_detector import PoisonDetector, Suspicion
from fireflylink_decisions.admission._request_id_memory import RequestIdMemory
from fireflylink_decisions.admission._server_report import ServerReport
from fireflylink_decisions.admission._shard_control import ShardControl
from fireflylink_decisions.admission._waiting_requests import Reply, WaitingRequests
from fireflylink_decisions.limits import ReportedState, ServerLimiter
from fireflylink_decisions.retries import CallResult
from fireflylink_decisions.routing import BasePicker, LatencyAwarePicker

NO_SHARD = -1
"""An idempotent request of a pooled service belongs to no shard: any group may run it."""

Started = Admitted | Delegated
Decision = Admitted | Delegated | Queued | Rejected


class RequestAdmission:
    """Decides which request of a server group starts when and on which server.

    ``GatewayAdmission`` adds what concerns shards as a whole.
    """

    __slots__ = (
        "counters",
        "delegation",
        "id_gate",
        "poison",
        "pooled",
        "servers",
        "service",
        "shards",
        "waiting",
    )

    def __init__(
        self,
        service: Service,
        servers: Iterable[BackendServer],
        poison: PoisonDetector | None = None,
        picker: BasePicker | None = None,
        ids: RequestIdMemory | None = None,
        delegation: Delegation | None = None,
    ) -> None:
        self.service = service
        self.pooled = service.kind is ServiceKind.POOLED
        self.poison = poison if poison is not None else PoisonDetector()
        self.servers = GroupServers(
            service, servers, picker if picker is not None else LatencyAwarePicker(), self.poison
        )
        self.counters: dict[str, int] = {"admitted": 0}
        self.id_gate = IdGate(ids if ids is not None else RequestIdMemory())
        self.shards = ShardControl(self.id_gate)
        self.waiting = WaitingRequests(service.queue_limit, self.id_gate, self.counters)
        self.delegation = delegation

    @property
    def needs_expiry(self) -> bool:
        """Whether ``expire`` and ``start_waiting`` have to be called soon."""
        return bool(len(self.waiting) or self.waiting.unsent)

    def offer(
        self,
        request: CallerRequest,
        call_id: str,
        now: float,
        wall_ms: int,
        shard_index: int | None = None,
        delegated: bool = False,
    ) -> Decision:
        """Decides about a new request. ``shard_index`` names its shard or exception if known.

        ``delegated`` marks a request that another gateway has sent here; that one keeps its id.
        """
        idempotent = request.method in IDEMPOTENT_METHODS
        if idempotent and self.pooled:
            index = NO_SHARD
        else:
            index = self.shard_index_of(request) if shard_index is None else shard_index
        call = Call(call_id, request, index, delegated)
        if not idempotent or self.shards.restricted or request.deadline <= now:
            refusal = self.refusal(call, now, wall_ms)
            if refusal is not None:
                return refusal
        if call.due_at:
            return self.hold_early(call)
        return self.admit(call, now)

    def finish(self, call_id: str, result: CallResult, now: float) -> tuple[Started, ...]:
        """Takes the end of a call into account and returns the requests that start now."""
        delegated = None if self.delegation is None else self.delegation.end(call_id)
        if delegated is not None:
            self.id_gate.settle(delegated, result)
            return ()
        call = self.servers.end(call_id, result, now)
        if call.request_number:
            self.id_gate.settle(call, result)
        if call.alone:
            self.waiting.isolation.ended(call_id)
        if self.waiting.any_startable:
            return self.start_waiting(now)
        return ()

    def expire(self, now: float) -> tuple[Reply, ...]:
        """Returns the replies of waiting requests that will not start."""
        self.waiting.expire(now)
        self.poison.expire(now)
        return self.waiting.take_unsent()

    def start_waiting(self, now: float) -> tuple[Started, ...]:
        """Starts as many waiting requests as the servers may run."""
        started: list[Started] = []
        if self.waiting.early:
            due = self.waiting.take_due(now)
            started.extend(self.started_of(self.admit_due(call, now) for call in due))
        if self.waiting.isolation.waiting:
            self.waiting.review_suspects(self.poison, now)
            suspect = self.waiting.isolation.next(self.servers.limiters, now)
            if suspect is not None:
                started.append(self.start_alone(suspect[0], suspect[1], now))
        while self.waiting.queue.entries:
            server = self.servers.pick(now)
            call = None if server is None else self.waiting.pop(now)
            if server is None or call is None:
                break
            started.append(self.start(call, server, now))
        return tuple(started)

    def cancel(self, call_id: str, now: float) -> bool:
        """Drops a request that waits, and tells whether there was one.

        A request that runs ends with ``finish`` once its connection is closed.
        """
        return self.waiting.remove(call_id)

    def observe(
        self,
        server_id: str,
        generation: str,
        state: ReportedState,
        now: float,
        sent_at: float | None = None,
        slots: int = 0,
        in_flight: int = 0,
    ) -> tuple[Started, ...]:
        """Takes the reply to a grant into account and returns the requests that start now.

        A new gateway observes each server before it offers requests; while ``awaits_former`` names
        servers, it asks them again every few milliseconds.
        """
        report = ServerReport(server_id, generation, state, sent_at, slots, in_flight)
        self.servers.observe(report, now)
        return self.start_waiting(now)

    def admit_due(self, call: Call, now: float) -> Decision:
        """Admits a request that waited for the time of its id, which ``admit`` remembers again."""
        self.id_gate.forget(call)
        return self.admit(call, now)

    def started_of(self, decisions: Iterable[Decision]) -> tuple[Started, ...]:
        """Returns the requests that start now, and keeps the replies of those that are rejected."""
        started: list[Started] = []
        for decision in decisions:
            if isinstance(decision, Admitted | Delegated):
                started.append(decision)
            elif isinstance(decision, Rejected):
                self.waiting.unsent.append((decision.call_id, decision.reply))
        return tuple(started)

    def refusal(self, call: Call, now: float, wall_ms: int) -> Queued | Rejected | None:
        """Returns why a request is not admitted now, or None when it may be.

        An id that may have run is recognised before any other reason is given, so that no reply
        says of such a request that it was not run.
        """
        if self.shards.restricted:
            decision = self.refusal_without_ids(call)
            if decision is not None:
                return decision
        request = call.request
        if request.method not in IDEMPOTENT_METHODS and not call.delegated:
            reply = self.id_gate.check(call, now, wall_ms)
            if reply is not None:
                return self.reject(call, reply)
        if request.deadline <= now:
            return self.reject(call, replies.DEADLINE)
        if self.shards.restricted:
            reply = self.shards.refusal(call.shard_index, call.delegated)
            return None if reply is None else self.reject(call, reply)
        return None

    def refusal_without_ids(self, call: Call) -> Queued | Rejected | None:
        """Decides about a request of a shard whose ids are not held here."""
        if call.delegated:
            return None
        if call.shard_index in self.shards.awaited:
            if not self.waiting.hold(call):
                return self.reject(call, replies.NOT_HELD)
            self.waiting.count("held")
            return Queued(call.call_id)
        return self.reject(call, replies.NOT_HELD) if self.shards.gone(call.shard_index) else None

    def hold_early(self, call: Call) -> Queued | Rejected:
        """Lets a request wait for the time of its id."""
        if not self.waiting.hold_early(call):
            return self.reject(call, replies.QUEUE_FULL)
        self.id_gate.remember(call)
        self.waiting.count("early")
        return Queued(call.call_id)

    def admit(self, call: Call, now: float) -> Decision:
        """Starts a request that nothing speaks against, or lets it wait."""
        if self.poison.records or self.poison.cases:
            suspicion = self.poison.suspicion(fingerprint_of(call.request), now)
            if suspicion is not Suspicion.NONE:
                return self.offer_suspect(call, suspicion, now)
        if not self.waiting.queue.entries:
            server = self.servers.pick(now)
            if server is not None:
                self.id_gate.remember(call)
                return self.start(call, server, now)
        return self.enqueue(call, now)

    def start(self, call: Call, server: ServerLimiter, now: float) -> Admitted:
        """Counts a request on a server."""
        self.counters["admitted"] += 1
        return self.servers.start(call, server, now)

    def start_alone(self, call: Call, server: ServerLimiter, now: float) -> Admitted:
        """Starts a suspect on the server that is kept free for it."""
        call.alone = True
        return self.start(call, server, now)

    def offer_suspect(
        self, call: Call, suspicion: Suspicion, now: float
    ) -> Admitted | Queued | Rejected:
        """Starts a suspect if a server is free for it alone, or lets it wait for one."""
        if suspicion is Suspicion.BLOCKED:
            return self.reject(call, replies.POISON)
        isolation = self.waiting.isolation
        call.fingerprint = fingerprint_of(call.request)
        call.estimate(self.servers.service_time)
        if not isolation.add(call):
            return self.reject(call, replies.QUEUE_FULL)
        self.id_gate.remember(call)
        self.waiting.count("suspect")
        suspect = (
            isolation.next(self.servers.limiters, now) if len(isolation.waiting) == 1 else None
        )
        return Queued(call.call_id) if suspect is None else self.start_alone(*suspect, now)

    def enqueue(self, call: Call, now: float) -> Delegated | Queued | Rejected:
        """Sends a request to a group that is free, or lets it wait if it can finish in time."""
        mean = self.servers.service_time.mean
        capacity = self.servers.capacity(now)
        ahead = self.waiting.queue.requests_ahead(call.request.tenant) + 1
        wait = ahead * mean / max(1, capacity)
        if self.delegation is not None and not call.delegated:
            target = self.delegation.target(wait + mean, now)
            if target:
                self.id_gate.remember(call)
                self.waiting.count("delegated")
                return self.delegation.start(call, target, now)
        if capacity <= 0 and self.servers.all_draining:
            return self.reject(call, replies.DRAINING)
        call.estimate(self.servers.service_time)
        overloaded = now + wait > call.latest_start
        reply = replies.OVERLOADED if overloaded else self.waiting.push(call)
        if reply is not None:
            return self.reject(call, reply)
        self.id_gate.remember(call)
        self.waiting.count("queued")
        return Queued(call.call_id)

    def reject(self, call: Call, reply: BaseReply) -> Rejected:
        """Counts a reply by its reason and returns the decision."""
        self.waiting.count(getattr(reply, "reason", "replayed"))
        return Rejected(call.call_id, reply)

    def shard_index_of(self, request: CallerRequest) -> int:
        """Returns the shard of a request."""
        name = request.request_id if self.pooled else request.key
        return shard_of(name, self.service.shard_count)
