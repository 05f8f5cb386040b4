"""Servers, gateways and entry daemons under generated faults."""

import random
from collections.abc import Callable

from fireflylink_core import (
    BaseReply,
    CallerRequest,
    NotRun,
    OutcomeUnknown,
    Service,
    ServiceKind,
)
from fireflylink_decisions.retries import RequestAttempts, RetryAt, RetryBudget, RetryPolicy
from fireflylink_experiments.request_faults._faulty_gateway import (
    WALL_START_MS,
    FaultyGateway,
    ForwardedRequest,
)
from fireflylink_experiments.request_faults._faulty_server import HOP_SECONDS, FaultyServer
from fireflylink_experiments.request_faults._history import RequestHistory, Violations
from fireflylink_experiments.requests._event_loop import EventLoop

GROUPS = 4
SERVERS_PER_GROUP = 2
ENTRIES = 4
SHARD_COUNT = 32
GRANT_SECONDS = 0.4
CLOCK_SPREAD_MS = 1_000
"""Highest distance of a wall clock from the true time; two clocks differ by twice as much."""

GOOD_CLOCK_SHARE = 0.8
GOOD_CLOCK_MS = 20
HOP_LOSS_SHARE = 0.002
HOP_LOST = OutcomeUnknown("connection-lost", "The connection to the gateway was lost.")


class Entry:
    """An entry daemon: its clock, its view of the table and its retries."""

    __slots__ = ("policy", "table", "wall_offset_ms")

    def __init__(self, policy: RetryPolicy, wall_offset_ms: int) -> None:
        self.policy = policy
        self.wall_offset_ms = wall_offset_ms
        self.table: dict[int, int] = {}


class CallerAttempt:
    """One attempt of a caller through one entry daemon."""

    __slots__ = ("attempts", "entry", "history", "ran", "request", "shard_index")

    def __init__(
        self, entry: Entry, request: CallerRequest, shard_index: int, history: RequestHistory
    ) -> None:
        self.entry = entry
        self.request = request
        self.shard_index = shard_index
        self.history = history
        self.attempts = RequestAttempts(request.idempotent, request.deadline)
        self.ran = False


class World:
    """All daemons and servers of a service. ``table`` maps shards to groups."""

    __slots__ = (
        "entries",
        "gateways",
        "gateways_made",
        "loop",
        "on_reply",
        "random_source",
        "servers",
        "service",
        "table",
        "violations",
    )

    def __init__(self, seed: int) -> None:
        self.loop = EventLoop()
        self.random_source = random.Random(seed)
        self.violations = Violations()
        self.on_reply: Callable[[CallerAttempt, BaseReply], None] | None = None
        self.service = Service("orders", ServiceKind.POOLED, ("a",), shard_count=SHARD_COUNT)
        self.servers = [self.make_servers(group) for group in range(GROUPS)]
        self.table = {shard: shard % GROUPS for shard in range(SHARD_COUNT)}
        self.gateways_made = 0
        self.gateways = [self.make_gateway(group) for group in range(GROUPS)]
        self.entries = [self.make_entry() for _ in range(ENTRIES)]
        for group, gateway in enumerate(self.gateways):
            gateway.start_term(self.shards_of(group))
        self.loop.after(GRANT_SECONDS, self.renew_grants)

    def make_servers(self, group: int) -> dict[str, FaultyServer]:
        """Returns the servers of a group."""
        servers = {}
        for index in range(SERVERS_PER_GROUP):
            server_id = f"s{group}.{index}"
            source = random.Random(self.random_source.random())
            servers[server_id] = FaultyServer(self.loop, source, self.violations, server_id)
        return servers

    def make_gateway(self, group: int) -> FaultyGateway:
        """Returns a new daemon as gateway of a group; it remembers nothing."""
        self.gateways_made += 1
        name = f"d{self.gateways_made}"
        offset = self.clock_offset()
        return FaultyGateway(self.loop, name, self.service, self.servers[group], offset)

    def make_entry(self) -> Entry:
        """Returns an entry daemon."""
        source = random.Random(self.random_source.random())
        entry = Entry(RetryPolicy(RetryBudget(0.0), source), self.clock_offset())
        entry.table = dict(self.table)
        return entry

    def clock_offset(self) -> int:
        """Draws how far a wall clock is from the true time: mostly little."""
        if self.random_source.random() < GOOD_CLOCK_SHARE:
            return self.random_source.randint(-GOOD_CLOCK_MS, GOOD_CLOCK_MS)
        return self.random_source.randint(-CLOCK_SPREAD_MS, CLOCK_SPREAD_MS)

    def wall_ms(self, entry: Entry) -> int:
        """Returns the wall clock of an entry daemon."""
        return WALL_START_MS + int(self.loop.now * 1000.0) + entry.wall_offset_ms

    def shards_of(self, group: int) -> tuple[int, ...]:
        """Returns the shards of a group."""
        return tuple(shard for shard, owner in self.table.items() if owner == group)

    def renew_grants(self) -> None:
        """Lets every gateway learn the state of its servers."""
        for gateway in self.gateways:
            gateway.observe_servers()
        self.loop.after(GRANT_SECONDS, self.renew_grants)

    def send(self, attempt: CallerAttempt) -> None:
        """Forwards an attempt to the gateway that its entry daemon knows."""

        def run() -> None:
            attempt.ran = True
            self.violations.ran(attempt.history, self.loop.now)

        def reply(answer: BaseReply) -> None:
            lost = self.random_source.random() < HOP_LOSS_SHARE
            told = HOP_LOST if lost else answer
            self.loop.after(HOP_SECONDS, self.replied, attempt, told)

        if self.random_source.random() < HOP_LOSS_SHARE:
            self.loop.after(HOP_SECONDS, self.replied, attempt, HOP_LOST)
            return
        gateway = self.gateways[attempt.entry.table[attempt.shard_index]]
        forwarded = ForwardedRequest(attempt.request, attempt.shard_index, run, reply)
        self.loop.after(HOP_SECONDS, gateway.receive, forwarded)

    def replied(self, attempt: CallerAttempt, reply: BaseReply) -> None:
        """Retries or tells the caller."""
        if isinstance(reply, NotRun) and reply.reason in ("moved", "not-held"):
            attempt.entry.table = dict(self.table)
        decision = attempt.entry.policy.decide(attempt.attempts, reply, self.loop.now)
        if isinstance(decision, RetryAt):
            self.loop.after(decision.at - self.loop.now, self.send, attempt)
            return
        self.violations.told(attempt.history, decision, attempt.ran)
        if self.on_reply is not None:
            self.on_reply(attempt, decision)
