"""A daemon that is the gateway of a group until it hands over or is lost."""

from collections.abc import Callable, Mapping

from fireflylink_core import (
    BackendServer,
    BaseReply,
    CallerRequest,
    NotRun,
    OutcomeUnknown,
    Service,
)
from fireflylink_decisions.admission import (
    Admitted,
    CallResult,
    Delegated,
    GatewayAdmission,
    Handover,
    Rejected,
)
from fireflylink_decisions.retries import classify
from fireflylink_experiments.request_faults._faulty_server import FaultyServer
from fireflylink_experiments.requests._event_loop import EventLoop

EXPIRY_SECONDS = 0.02
ASK_AGAIN_SECONDS = 0.02
WALL_START_MS = 1_700_000_000_000
SLOTS = 4
CONNECTIONS = 110

UNREACHABLE = NotRun("gateway-unreachable", "The gateway does not answer.", 503, 100)
GATEWAY_LOST = OutcomeUnknown("gateway-lost", "The connection to the gateway was lost.")

ReplyAction = Callable[[BaseReply], None]
RunAction = Callable[[], None]


class ForwardedRequest:
    """A request that an entry daemon has sent to the gateway."""

    __slots__ = ("reply", "request", "run", "shard_index")

    def __init__(
        self, request: CallerRequest, shard_index: int, run: RunAction, reply: ReplyAction
    ) -> None:
        self.request = request
        self.shard_index = shard_index
        self.run = run
        self.reply = reply


class FaultyGateway:
    """Drives ``GatewayAdmission`` and stops without notice when its daemon is lost."""

    __slots__ = (
        "admission",
        "calls",
        "expiry_scheduled",
        "gateway_id",
        "loop",
        "lost",
        "next_call",
        "servers",
        "wall_offset_ms",
    )

    def __init__(
        self,
        loop: EventLoop,
        gateway_id: str,
        service: Service,
        servers: Mapping[str, FaultyServer],
        wall_offset_ms: int,
    ) -> None:
        self.loop = loop
        self.gateway_id = gateway_id
        self.servers = servers
        self.wall_offset_ms = wall_offset_ms
        backends = [
            BackendServer(server_id, service.name, "a", "127.0.0.1", 0, SLOTS, CONNECTIONS)
            for server_id in servers
        ]
        self.admission = GatewayAdmission(service, backends)
        self.calls: dict[str, ForwardedRequest] = {}
        self.next_call = 0
        self.lost = False
        self.expiry_scheduled = False

    @property
    def wall_ms(self) -> int:
        """The wall clock of the daemon."""
        return WALL_START_MS + int(self.loop.now * 1000.0) + self.wall_offset_ms

    def receive(self, forwarded: ForwardedRequest) -> None:
        """Takes a request of an entry daemon."""
        if self.lost:
            forwarded.reply(UNREACHABLE)
            return
        self.next_call += 1
        call_id = f"{self.gateway_id}-{self.next_call}"
        decision = self.admission.offer(
            forwarded.request, call_id, self.loop.now, self.wall_ms, forwarded.shard_index
        )
        if isinstance(decision, Rejected):
            forwarded.reply(decision.reply)
            return
        self.calls[call_id] = forwarded
        if isinstance(decision, Admitted | Delegated):
            self.start(decision)
        self.schedule_expiry()

    def start(self, admitted: Admitted | Delegated) -> None:
        """Sends an admitted request to its server."""
        assert isinstance(admitted, Admitted)
        forwarded = self.calls[admitted.call_id]

        def end(result: CallResult) -> None:
            self.ended(admitted.call_id, result)

        server = self.servers[admitted.server_id]
        server.submit(admitted.generation, forwarded.run, end)

    def ended(self, call_id: str, result: CallResult) -> None:
        """Takes the end of a call."""
        if self.lost:
            return
        forwarded = self.calls.pop(call_id)
        for admitted in self.admission.finish(call_id, result, self.loop.now):
            self.start(admitted)
        forwarded.reply(classify(result, forwarded.request.idempotent).reply)
        self.schedule_expiry()

    def observe_servers(self) -> None:
        """Takes the replies of all servers to grants."""
        for server_id in self.servers:
            self.observe(server_id)

    def observe(self, server_id: str) -> None:
        """Takes the reply of a server to a grant, and asks again while it runs other requests."""
        server = self.servers[server_id]
        if self.lost or server.down:
            return
        now = self.loop.now
        started = self.admission.observe(
            server_id,
            server.generation,
            server.state,
            now,
            now - 0.001,
            in_flight=len(server.running),
        )
        for admitted in started:
            self.start(admitted)
        if server_id in self.admission.awaits_former:
            self.loop.after(ASK_AGAIN_SECONDS, self.observe, server_id)

    def schedule_expiry(self) -> None:
        """Calls ``expire`` soon while anything waits."""
        if self.admission.needs_expiry and not self.expiry_scheduled:
            self.expiry_scheduled = True
            self.loop.after(EXPIRY_SECONDS, self.expire)

    def expire(self) -> None:
        """Starts what may start and returns the replies of what will not."""
        self.expiry_scheduled = False
        if self.lost:
            return
        for admitted in self.admission.start_waiting(self.loop.now):
            self.start(admitted)
        self.reply_all(self.admission.expire(self.loop.now))
        self.schedule_expiry()

    def reply_all(self, replies: tuple[tuple[str, BaseReply], ...]) -> None:
        """Sends the replies of requests that waited."""
        for call_id, reply in replies:
            self.calls.pop(call_id).reply(reply)

    def import_handover(self, handover: Handover) -> None:
        """Takes over shards from another gateway."""
        if self.lost:
            return
        for admitted in self.admission.import_handover(handover, self.loop.now, self.wall_ms):
            self.start(admitted)
        self.schedule_expiry()

    def take_over(self, shard_indexes: tuple[int, ...], whole_group: bool) -> None:
        """Takes over without a handover: learns first what the servers still run."""
        self.observe_servers()
        self.start_term(shard_indexes, whole_group)

    def start_term(self, shard_indexes: tuple[int, ...], whole_group: bool = False) -> None:
        """Takes over shards without a handover."""
        if self.lost:
            return
        now = self.loop.now
        for admitted in self.admission.start_term(shard_indexes, now, self.wall_ms, whole_group):
            self.start(admitted)
        self.schedule_expiry()

    def lose(self) -> None:
        """Ends the daemon: its requests go on at the servers, and nobody learns how they end."""
        self.lost = True
        for forwarded in self.calls.values():
            forwarded.reply(GATEWAY_LOST)
        self.calls.clear()
