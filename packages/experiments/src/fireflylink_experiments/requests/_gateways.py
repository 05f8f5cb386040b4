"""Gateways of the simulation: the policy of the project and the baselines."""

import abc
from collections.abc import Callable, Iterable, Mapping

from fireflylink_core import (
    BackendAnswer,
    BackendServer,
    BaseReply,
    CallerRequest,
    Outcome,
    Service,
)
from fireflylink_decisions.admission import (
    Admitted,
    CallOutcome,
    CallResult,
    CrashReport,
    Delegated,
    Delegation,
    GatewayAdmission,
    Handover,
    Rejected,
)
from fireflylink_decisions.limits import ReportedState, ServerLimiter
from fireflylink_decisions.retries import classify
from fireflylink_decisions.routing import BasePicker, GroupReport
from fireflylink_experiments.requests._event_loop import EventLoop
from fireflylink_experiments.requests._fake_pool import FakeConnection, FakePool
from fireflylink_experiments.requests._fake_server import ServerCall, ServerReply
from fireflylink_experiments.requests._ledger import RequestRecord

OPEN_SECONDS = 0.001
PROBE_IDLE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.05
GRANT_PERIOD_SECONDS = 0.4
EXPIRY_PERIOD_SECONDS = 0.005
WALL_OFFSET_MS = 1_700_000_000_000
ANSWER = BackendAnswer(200, b"ok", "text/plain", "")
UNLIMITED = 1 << 30
DELEGATED_OUTCOMES = {
    Outcome.ANSWERED: CallOutcome.ANSWERED,
    Outcome.NOT_RUN: CallOutcome.NOT_RUN,
    Outcome.UNKNOWN: CallOutcome.CONNECTION_LOST,
}

ReplyAction = Callable[[BaseReply], None]


def wall_ms_at(now: float) -> int:
    """Returns the wall clock of the simulation."""
    return WALL_OFFSET_MS + int(now * 1000.0)


class Attempt:
    """A request that an entry daemon has sent to a gateway."""

    __slots__ = ("call_id", "delegated", "record", "reply", "request", "shard_index")

    def __init__(
        self,
        call_id: str,
        request: CallerRequest,
        record: RequestRecord,
        shard_index: int,
        reply: ReplyAction,
        delegated: bool = False,
    ) -> None:
        self.delegated = delegated
        self.call_id = call_id
        self.request = request
        self.record = record
        self.shard_index = shard_index
        self.reply = reply


class OpenCall:
    """A call to a server that has not ended."""

    __slots__ = ("attempt", "connection", "needed_generation", "pool", "server_call", "started_at")

    def __init__(
        self, attempt: Attempt, pool: FakePool, needed_generation: str, started_at: float
    ) -> None:
        self.attempt = attempt
        self.pool = pool
        self.needed_generation = needed_generation
        self.started_at = started_at
        self.connection: FakeConnection | None = None
        self.server_call: ServerCall | None = None


class BaseGateway(abc.ABC):
    """Sends requests to the servers of a group; subclasses decide when and to which."""

    __slots__ = ("attempts", "data_centre", "group_id", "loop", "open_calls", "pools")

    def __init__(
        self, loop: EventLoop, group_id: str, data_centre: int, pools: Mapping[str, FakePool]
    ) -> None:
        self.loop = loop
        self.group_id = group_id
        self.data_centre = data_centre
        self.pools = pools
        self.open_calls: dict[str, OpenCall] = {}

    @abc.abstractmethod
    def receive(self, attempt: Attempt) -> None:
        """Takes a request of an entry daemon."""

    @abc.abstractmethod
    def ended(self, attempt: Attempt, server_id: str, result: CallResult) -> None:
        """Takes the end of a call."""

    def report(self) -> GroupReport | None:
        """Returns the load that replies carry, if the policy reports it."""
        return None

    def probes(self, call: OpenCall, connection: FakeConnection) -> bool:
        """Tells whether a connection has to answer a probe before the request is sent."""
        return False

    def send(self, attempt: Attempt, server_id: str, generation: str) -> None:
        """Sends a request to a server."""
        pool = self.pools[server_id]
        call = OpenCall(attempt, pool, generation, self.loop.now)
        self.open_calls[attempt.call_id] = call
        remaining = attempt.request.deadline - self.loop.now
        self.loop.after(max(0.0, remaining), self.pass_deadline, attempt.call_id)
        self.connect(call)

    def connect(self, call: OpenCall) -> None:
        """Gets a connection for a call."""
        connection = call.pool.take()
        if connection is not None:
            self.use(call, connection)
            return
        self.loop.after(OPEN_SECONDS, self.opened, call)

    def opened(self, call: OpenCall) -> None:
        """Uses a connection that was opened for a call."""
        if call.attempt.call_id not in self.open_calls:
            return
        connection = call.pool.open()
        if connection is None:
            refused = call.pool.server.down
            self.end(call, CallOutcome.NOT_SENT, refused=refused)
            return
        self.use(call, connection)

    def use(self, call: OpenCall, connection: FakeConnection) -> None:
        """Sends a call over a connection, after a probe if that is needed."""
        call.connection = connection
        if self.probes(call, connection):
            if connection.silent:
                self.loop.after(PROBE_TIMEOUT_SECONDS, self.probe_failed, call, connection)
            else:
                self.loop.after(2.0 * call.pool.server.hop_seconds, self.probed, call, connection)
            return
        self.transmit(call, connection)

    def probe_failed(self, call: OpenCall, connection: FakeConnection) -> None:
        """Gives up a connection whose probe was not answered and takes another."""
        call.pool.close(connection)
        call.connection = None
        if call.attempt.call_id in self.open_calls:
            self.connect(call)

    def probed(self, call: OpenCall, connection: FakeConnection) -> None:
        """Sends the request if the probe shows the generation that it needs."""
        if call.attempt.call_id not in self.open_calls:
            call.pool.close(connection)
            return
        server = call.pool.server
        if connection.process != server.process:
            self.probe_failed(call, connection)
            return
        connection.generation = server.generation
        if call.needed_generation and call.needed_generation != server.generation:
            self.end(call, CallOutcome.NOT_SENT, generation=server.generation)
            return
        self.transmit(call, connection)

    def transmit(self, call: OpenCall, connection: FakeConnection) -> None:
        """Puts the bytes of a request on a connection."""
        if connection.silent:
            return
        server = call.pool.server

        def reply(answer: ServerReply) -> None:
            self.replied(call, answer)

        call.server_call = ServerCall(call.attempt.request, call.attempt.record, reply)
        self.loop.after(server.hop_seconds, server.receive, call.server_call, connection.process)

    def replied(self, call: OpenCall, reply: ServerReply) -> None:
        """Takes what a server sent back."""
        if call.attempt.call_id not in self.open_calls:
            return
        if call.connection is not None:
            call.connection.generation = reply.generation
        if reply.kind == "answer":
            self.end(call, CallOutcome.ANSWERED, reply.generation)
        elif reply.kind == "not-run":
            self.end(call, CallOutcome.NOT_RUN, reply.generation, reply.reason)
        else:
            self.end(call, CallOutcome.CONNECTION_LOST)

    def pass_deadline(self, call_id: str) -> None:
        """Ends a call that was not answered in time and closes its connection."""
        call = self.open_calls.get(call_id)
        if call is not None:
            self.end(call, CallOutcome.DEADLINE_PASSED)

    def end(
        self,
        call: OpenCall,
        outcome: CallOutcome,
        generation: str = "",
        reason: str = "",
        refused: bool = False,
    ) -> None:
        """Ends a call and keeps or closes its connection."""
        del self.open_calls[call.attempt.call_id]
        server = call.pool.server
        if call.connection is not None:
            if outcome in (CallOutcome.ANSWERED, CallOutcome.NOT_RUN) or generation:
                call.pool.give_back(call.connection, self.loop.now)
            else:
                call.pool.close(call.connection)
                if call.server_call is not None:
                    self.loop.after(server.hop_seconds, server.close, call.server_call)
        answer = ANSWER if outcome is CallOutcome.ANSWERED else None
        latency = self.loop.now - call.started_at
        result = CallResult(outcome, latency, generation, answer, reason, refused)
        self.ended(call.attempt, server.server_id, result)


class NaiveGateway(BaseGateway):
    """Sends each request at once to the server that a picker chooses, without limits."""

    __slots__ = ("limiters", "picker")

    def __init__(
        self,
        loop: EventLoop,
        group_id: str,
        data_centre: int,
        pools: Mapping[str, FakePool],
        picker: BasePicker,
    ) -> None:
        super().__init__(loop, group_id, data_centre, pools)
        self.picker = picker
        self.limiters = tuple(
            ServerLimiter(server_id, UNLIMITED, UNLIMITED, UNLIMITED) for server_id in pools
        )

    def receive(self, attempt: Attempt) -> None:
        limiter = self.picker.pick(self.limiters, self.loop.now)
        assert limiter is not None
        limiter.start()
        self.send(attempt, limiter.server_id, "")

    def ended(self, attempt: Attempt, server_id: str, result: CallResult) -> None:
        for limiter in self.limiters:
            if limiter.server_id == server_id:
                limiter.end()
        attempt.reply(classify(result, attempt.request.idempotent).reply)


class PolicyGateway(BaseGateway):
    """Sends requests as ``GatewayAdmission`` decides."""

    __slots__ = (
        "admission",
        "expiry_scheduled",
        "hop_seconds",
        "known_changes",
        "peers",
        "waiting",
    )

    def __init__(
        self,
        loop: EventLoop,
        group_id: str,
        data_centre: int,
        pools: Mapping[str, FakePool],
        service: Service,
        servers: tuple[BackendServer, ...],
        delegation: Delegation | None,
        hop_seconds: float,
    ) -> None:
        super().__init__(loop, group_id, data_centre, pools)
        self.admission = GatewayAdmission(service, servers, delegation=delegation)
        self.known_changes = 0
        self.peers: dict[str, PolicyGateway] = {}
        self.hop_seconds = hop_seconds
        self.waiting: dict[str, Attempt] = {}
        self.expiry_scheduled = False
        self.grant()

    def grant(self) -> None:
        """Renews the grants of the servers, whose replies tell their state."""
        for server_id, pool in self.pools.items():
            server = pool.server
            if server.down:
                continue
            state = ReportedState.COLD if server.cold else ReportedState.WARM
            if server.draining:
                state = ReportedState.DRAINING
            delay = 2.0 * server.hop_seconds
            self.loop.after(delay, self.granted, server_id, server.generation, state, self.loop.now)
        self.loop.after(GRANT_PERIOD_SECONDS, self.grant)

    def granted(
        self, server_id: str, generation: str, state: ReportedState, sent_at: float
    ) -> None:
        """Takes the reply to a grant."""
        now = self.loop.now
        self.start_all(self.admission.observe(server_id, generation, state, now, sent_at))

    def report(self) -> GroupReport | None:
        return self.admission.report(self.group_id, self.loop.now)

    def probes(self, call: OpenCall, connection: FakeConnection) -> bool:
        if call.needed_generation and connection.generation != call.needed_generation:
            return True
        idle = self.loop.now - connection.idle_since > PROBE_IDLE_SECONDS
        return idle and not call.attempt.request.idempotent

    def receive(self, attempt: Attempt) -> None:
        now = self.loop.now
        decision = self.admission.offer(
            attempt.request,
            attempt.call_id,
            now,
            wall_ms_at(now),
            attempt.shard_index,
            attempt.delegated,
        )
        if isinstance(decision, Rejected):
            attempt.reply(decision.reply)
            return
        self.waiting[attempt.call_id] = attempt
        if isinstance(decision, Admitted | Delegated):
            self.start(decision)
        self.schedule_expiry()

    def start(self, admitted: Admitted | Delegated) -> None:
        """Sends an admitted request."""
        attempt = self.waiting.pop(admitted.call_id)
        if isinstance(admitted, Delegated):
            self.delegate(attempt, self.peers[admitted.group_id])
            return
        self.send(attempt, admitted.server_id, admitted.generation)

    def delegate(self, attempt: Attempt, peer: "PolicyGateway") -> None:
        """Has the gateway of another group run a request."""
        started_at = self.loop.now

        def reply(answer: BaseReply) -> None:
            report = peer.report()
            self.loop.after(
                self.hop_seconds, self.delegate_replied, attempt, started_at, answer, report
            )

        sent = Attempt(
            f"{self.group_id}-{attempt.call_id}",
            attempt.request,
            attempt.record,
            attempt.shard_index,
            reply,
            delegated=True,
        )
        self.loop.after(self.hop_seconds, peer.receive, sent)

    def delegate_replied(
        self, attempt: Attempt, started_at: float, reply: BaseReply, report: GroupReport | None
    ) -> None:
        """Takes the reply of the gateway of another group."""
        if report is not None and self.admission.delegation is not None:
            self.admission.delegation.choice.report(report.replace(received_at=self.loop.now))
        outcome = DELEGATED_OUTCOMES[reply.outcome]
        answer = reply if isinstance(reply, BackendAnswer) else None
        result = CallResult(outcome, self.loop.now - started_at, answer=answer)
        self.start_all(self.admission.finish(attempt.call_id, result, self.loop.now))
        attempt.reply(reply)

    def start_all(self, admitted: Iterable[Admitted | Delegated]) -> None:
        """Sends admitted requests."""
        for each in admitted:
            self.start(each)

    def ended(self, attempt: Attempt, server_id: str, result: CallResult) -> None:
        self.start_all(self.admission.finish(attempt.call_id, result, self.loop.now))
        attempt.reply(classify(result, attempt.request.idempotent).reply)
        self.schedule_expiry()
        self.exchange_crashes()

    def schedule_expiry(self) -> None:
        """Calls ``expire`` soon while anything waits."""
        if self.admission.needs_expiry and not self.expiry_scheduled:
            self.expiry_scheduled = True
            self.loop.after(EXPIRY_PERIOD_SECONDS, self.expire)

    def expire(self) -> None:
        """Returns the replies of requests that will not start."""
        self.expiry_scheduled = False
        now = self.loop.now
        self.start_all(self.admission.start_waiting(now))
        self.reply_all(self.admission.expire(now))
        self.schedule_expiry()

    def reply_all(self, replies: tuple[tuple[str, BaseReply], ...]) -> None:
        """Sends the replies of requests that waited."""
        for call_id, reply in replies:
            self.waiting.pop(call_id).reply(reply)

    def import_handover(self, handover: Handover) -> None:
        """Takes over shards and starts the requests that waited for them."""
        now = self.loop.now
        self.start_all(self.admission.import_handover(handover, now, wall_ms_at(now)))
        self.schedule_expiry()

    def exchange_crashes(self) -> None:
        """Tells the other gateways at once what has changed about suspects."""
        poison = self.admission.poison
        if poison.changes == self.known_changes:
            return
        self.known_changes = poison.changes
        reports = poison.reports(self.loop.now)
        for peer in self.peers.values():
            if peer is not self:
                self.loop.after(self.hop_seconds, peer.merge_crashes, reports)

    def merge_crashes(self, reports: tuple[CrashReport, ...]) -> None:
        """Takes the crash reports of another gateway into account."""
        poison = self.admission.poison
        poison.merge(reports, self.loop.now)
        self.known_changes = poison.changes
