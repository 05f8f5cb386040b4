"""Admission of the requests of one server group, as its gateway task uses it."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from fireflylink_core import (
    IDEMPOTENT_METHODS,
    BackendServer,
    BaseFireflylinkError,
    BaseReply,
    CallerRequest,
    NotRun,
    Service,
    ServiceKind,
    shard_of,
)
from fireflylink_decisions.admission import _replies as replies
from fireflylink_decisions.admission._admission_values import (
    Admitted,
    Handover,
    Queued,
    Rejected,
    ShardHandover,
)
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._group_servers import GroupServers
from fireflylink_decisions.admission._id_gate import IdGate
from fireflylink_decisions.admission._isolation import Isolation
from fireflylink_decisions.admission._poison_detector import PoisonDetector, Suspicion
from fireflylink_decisions.admission._request_id_memory import RequestIdMemory
from fireflylink_decisions.limits import (
    QUANTUM,
    FairQueue,
    QueueEntry,
    ReportedState,
    ServerLimiter,
)
from fireflylink_decisions.retries import CallResult
from fireflylink_decisions.routing import BasePicker, LatencyAwarePicker

NO_SHARD = -1
BODY_COST_BYTES = float(1 << 20)

Reply = tuple[str, BaseReply]
"""Call id and what its caller is told."""


class StillRunningError(BaseFireflylinkError):
    """Shards cannot be handed over while requests for them are in flight."""


class GatewayAdmission:
    """Decides for one server group which request starts when and on which server.

    The gateway task offers each request, starts what is admitted and reports every end. Requests
    that were queued are admitted by ``finish`` and ``observe``; ``expire``, which the task calls
    every few milliseconds while ``needs_expiry``, returns the replies of those that are not.

    Example::

        decision = admission.offer(request, call_id, now, wall_ms)
        if isinstance(decision, Admitted):
            ...  # send it to decision.server_id
        for admitted in admission.finish(call_id, result, now):
            ...
    """

    __slots__ = (
        "counters",
        "id_gate",
        "isolation",
        "poison",
        "queue",
        "servers",
        "service",
        "stopped",
        "stopped_shards",
        "unsent",
    )

    def __init__(
        self,
        service: Service,
        servers: Iterable[BackendServer],
        poison: PoisonDetector | None = None,
        picker: BasePicker | None = None,
        ids: RequestIdMemory | None = None,
    ) -> None:
        self.service = service
        self.poison = poison if poison is not None else PoisonDetector()
        self.servers = GroupServers(
            service, servers, picker if picker is not None else LatencyAwarePicker(), self.poison
        )
        self.id_gate = IdGate(ids if ids is not None else RequestIdMemory())
        self.queue = FairQueue(service.queue_limit)
        self.isolation = Isolation()
        self.unsent: list[Reply] = []
        self.stopped = ""
        self.stopped_shards: set[int] = set()
        self.counters: dict[str, int] = {"admitted": 0}

    @property
    def idle(self) -> bool:
        """Whether no request is in flight or waits."""
        return not (
            self.servers.calls or self.queue.entries or self.isolation.waiting or self.unsent
        )

    @property
    def needs_expiry(self) -> bool:
        """Whether ``expire`` has to be called soon."""
        return bool(self.queue.entries or self.isolation.waiting or self.unsent)

    def offer(
        self,
        request: CallerRequest,
        call_id: str,
        now: float,
        wall_ms: int,
        shard_index: int | None = None,
    ) -> Admitted | Queued | Rejected:
        """Decides about a new request. ``shard_index`` names its shard or exception if known."""
        index = self.shard_index_of(request) if shard_index is None else shard_index
        number = 0
        if request.method not in IDEMPOTENT_METHODS:
            checked = self.id_gate.check(request, index, wall_ms)
            if not isinstance(checked, int):
                return self.reject(checked)
            number = checked
        if self.stopped or index in self.stopped_shards or request.deadline <= now:
            return self.reject(self.refusal(index))
        if self.poison.active:
            suspicion = self.poison.suspicion(fingerprint_of(request), now)
            if suspicion is Suspicion.BLOCKED:
                return self.reject(replies.POISON)
            if suspicion is Suspicion.SUSPECT:
                return self.offer_suspect(request, call_id, index, number, now)
        if not self.queue.entries:
            server = self.servers.pick(now)
            if server is not None:
                if number:
                    self.id_gate.memory.remember(index, number)
                return self.start(request, call_id, index, number, server, now)
        return self.enqueue(request, call_id, index, number, now)

    def finish(self, call_id: str, result: CallResult, now: float) -> tuple[Admitted, ...]:
        """Takes the end of a call into account and returns the requests that start now."""
        call = self.servers.end(call_id, result, now)
        if call.request_number:
            self.id_gate.settle(call.request, call.shard_index, call.request_number, result)
        if call.alone:
            self.isolation.ended(call_id)
        if self.queue.entries or self.isolation.waiting:
            return self.start_waiting(now)
        return ()

    def expire(self, now: float) -> tuple[Reply, ...]:
        """Returns the replies of queued requests that will not start."""
        for entry in self.queue.expire(now):
            self.give_up(entry, replies.OVERLOADED)
        for entry in tuple(self.isolation.waiting.values()):
            if entry.latest_start <= now:
                self.isolation.remove(entry.call_id)
                self.give_up(entry, replies.DEADLINE)
        self.poison.expire(now)
        unsent = tuple(self.unsent)
        self.unsent.clear()
        return unsent

    def cancel(self, call_id: str, now: float) -> bool:
        """Drops a request that waits, and tells whether there was one.

        A request that runs ends with ``finish`` once its connection is closed.
        """
        entry = self.take_out(call_id)
        if entry is None:
            return False
        self.id_gate.forget(entry.shard_index, entry.request_number)
        self.count("cancelled")
        return True

    def observe(
        self,
        server_id: str,
        generation: str,
        state: ReportedState,
        now: float,
        sent_at: float | None = None,
        stated_slots: int = 0,
    ) -> tuple[Admitted, ...]:
        """Takes the reply to a grant into account and returns the requests that start now.

        ``sent_at`` is when the grant was sent. Without it the reply does not confirm a generation
        that is in doubt.
        """
        self.servers.observe(server_id, generation, state, now, sent_at, stated_slots)
        return self.start_waiting(now)

    def stop_admitting(
        self, reason: str, shard_indexes: Iterable[int] | None = None
    ) -> tuple[Reply, ...]:
        """Admits nothing more, or nothing for some shards, and returns replies for what waits.

        ``reason`` is ``moved`` for a handover and ``leaving`` for a drain.
        """
        if shard_indexes is None:
            self.stopped = reason
        else:
            self.stopped_shards.update(shard_indexes)
        waiting = (*self.queue.entries.values(), *self.isolation.waiting.values())
        for entry in waiting:
            if self.stopped or entry.shard_index in self.stopped_shards:
                self.take_out(entry.call_id)
                self.give_up(entry, replies.STOP_REPLIES[reason])
        return self.expire(float("-inf"))

    def idle_for(self, shard_indexes: Iterable[int]) -> bool:
        """Tells whether no request of some shards is in flight."""
        indexes = frozenset(shard_indexes)
        return all(call.shard_index not in indexes for call in self.servers.calls.values())

    def requests(self) -> tuple[CallerRequest, ...]:
        """Returns the requests that are in flight or wait."""
        waiting = (*self.queue.entries.values(), *self.isolation.waiting.values())
        running = (call.request for call in self.servers.calls.values())
        return (*running, *(entry.request for entry in waiting))

    def fold_exception(self, exception_index: int, shard_index: int) -> None:
        """Takes the request ids of an ended single-key exception back into its shard."""
        memory = self.id_gate.memory
        for known in memory.export_shards((exception_index,)):
            memory.import_shard(ShardHandover(shard_index, known.floor_ms, known.request_ids))
        memory.drop_shards((exception_index,))

    def export_handover(self, shard_indexes: Iterable[int]) -> Result[Handover, StillRunningError]:
        """Returns what the next gateway of some shards has to know, and holds them no longer."""
        indexes = tuple(shard_indexes)
        if not self.idle_for(indexes):
            return Failure(StillRunningError("requests of the shards are still in flight"))
        shards = self.id_gate.export(indexes, self.service.shard_count)
        self.stopped_shards.update(indexes)
        self.id_gate.memory.drop_shards(indexes)
        return Success(Handover(self.service.name, shards))

    def import_handover(self, handover: Handover) -> None:
        """Takes over shards from the gateway that has released them."""
        for shard in handover.shards:
            self.id_gate.memory.import_shard(shard)
            self.stopped_shards.discard(shard.shard_index)

    def start_term(self, shard_indexes: Iterable[int], wall_ms: int) -> None:
        """Takes over shards without a handover. Required whenever a shard is gained that way."""
        indexes = tuple(shard_indexes)
        self.id_gate.memory.start_term(indexes, wall_ms)
        self.stopped_shards.difference_update(indexes)

    def start_waiting(self, now: float) -> tuple[Admitted, ...]:
        """Starts as many waiting requests as the servers may run."""
        started = []
        suspect = self.isolation.next(self.servers.limiters)
        if suspect is not None:
            started.append(self.start_entry(suspect[0], suspect[1], now, alone=True))
        while self.queue.entries:
            server = self.servers.pick(now)
            if server is None:
                break
            entry = self.queue.pop()
            if entry is None:
                break
            if entry.latest_start < now:
                self.give_up(entry, replies.OVERLOADED)
                continue
            started.append(self.start_entry(entry, server, now, alone=False))
        return tuple(started)

    def start(
        self,
        request: CallerRequest,
        call_id: str,
        index: int,
        number: int,
        server: ServerLimiter,
        now: float,
        alone: bool = False,
    ) -> Admitted:
        """Counts a request on a server."""
        self.counters["admitted"] += 1
        return self.servers.start(request, call_id, index, number, server, now, alone)

    def start_entry(
        self, entry: QueueEntry, server: ServerLimiter, now: float, alone: bool
    ) -> Admitted:
        """Starts a request that has waited; its id is remembered already."""
        return self.start(
            entry.request,
            entry.call_id,
            entry.shard_index,
            entry.request_number,
            server,
            now,
            alone,
        )

    def enqueue(
        self, request: CallerRequest, call_id: str, index: int, number: int, now: float
    ) -> Queued | Rejected:
        """Lets a request wait if it can be expected to finish in time."""
        entry = self.entry_of(request, call_id, index, number)
        capacity = self.servers.capacity
        if capacity <= 0 and self.servers.all_draining:
            return self.reject(replies.DRAINING)
        ahead = self.queue.requests_ahead(request.tenant) + 1
        wait = ahead * self.servers.service_time.mean / max(1, capacity)
        if now + wait > entry.latest_start:
            return self.reject(replies.OVERLOADED)
        displaced = self.queue.push(entry)
        if displaced is entry:
            return self.reject(replies.QUEUE_FULL)
        if displaced is not None:
            self.give_up(displaced, replies.QUEUE_FULL)
        if number:
            self.id_gate.memory.remember(index, number)
        self.count("queued")
        return Queued(call_id)

    def offer_suspect(
        self, request: CallerRequest, call_id: str, index: int, number: int, now: float
    ) -> Admitted | Queued | Rejected:
        """Starts a suspect if a server is free for it alone, or lets it wait for one."""
        if not self.isolation.add(self.entry_of(request, call_id, index, number)):
            return self.reject(replies.QUEUE_FULL)
        if number:
            self.id_gate.memory.remember(index, number)
        self.count("suspect")
        suspect = self.isolation.next(self.servers.limiters)
        if suspect is None:
            return Queued(call_id)
        return self.start_entry(suspect[0], suspect[1], now, alone=True)

    def entry_of(self, request: CallerRequest, call_id: str, index: int, number: int) -> QueueEntry:
        """Describes a request that may have to wait."""
        expected = self.servers.service_time.mean + self.servers.service_time.deviation
        cost = 1.0 + len(request.body) / BODY_COST_BYTES
        return QueueEntry(
            call_id, request, request.deadline - expected, index, min(cost, QUANTUM), number
        )

    def take_out(self, call_id: str) -> QueueEntry | None:
        """Takes a waiting request out of where it waits."""
        return self.queue.remove(call_id) or self.isolation.remove(call_id)

    def give_up(self, entry: QueueEntry, reply: NotRun) -> None:
        """Notes the reply of a waiting request that will not start."""
        self.id_gate.forget(entry.shard_index, entry.request_number)
        self.count(reply.reason)
        self.unsent.append((entry.call_id, reply))

    def refusal(self, index: int) -> BaseReply:
        """Returns why nothing is admitted now."""
        if self.stopped:
            return replies.STOP_REPLIES[self.stopped]
        if index in self.stopped_shards:
            return replies.MOVED
        return replies.DEADLINE

    def reject(self, reply: BaseReply) -> Rejected:
        """Counts a reply by its reason and returns the decision."""
        self.count(getattr(reply, "reason", "replayed"))
        return Rejected(reply)

    def count(self, reason: str) -> None:
        """Counts a decision by its reason."""
        self.counters[reason] = self.counters.get(reason, 0) + 1

    def shard_index_of(self, request: CallerRequest) -> int:
        """Returns the shard of a request."""
        name = request.key if self.service.kind is ServiceKind.KEYED else request.request_id
        return shard_of(name, self.service.shard_count) if name else NO_SHARD
