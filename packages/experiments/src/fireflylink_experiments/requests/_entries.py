"""Entry daemons of the simulation."""

import random

from fireflylink_core import BaseReply, CallerRequest, NotRun, ServiceKind
from fireflylink_decisions.retries import RequestAttempts, RetryAt, RetryBudget, RetryPolicy
from fireflylink_decisions.routing import GroupChoice, GroupReport
from fireflylink_experiments.requests._event_loop import EventLoop
from fireflylink_experiments.requests._gateways import Attempt, BaseGateway
from fireflylink_experiments.requests._ledger import RequestRecord
from fireflylink_experiments.requests._sizes import LOCAL_HOP_SECONDS, ServiceSize

STALE_TABLE_REASONS = ("moved", "not-held")


class PendingRequest:
    """A request whose caller waits at an entry daemon."""

    __slots__ = ("attempts", "record", "request", "shard_index")

    def __init__(self, request: CallerRequest, record: RequestRecord, shard_index: int) -> None:
        self.request = request
        self.record = record
        self.shard_index = shard_index
        self.attempts = RequestAttempts(request.idempotent, request.deadline)


class SimulatedEntry:
    """Forwards requests to gateways and, with the policy, retries them."""

    __slots__ = (
        "choice",
        "data_centre",
        "loop",
        "name",
        "next_call",
        "random_source",
        "retry_policy",
        "shared_table",
        "size",
        "table",
    )

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        data_centre: int,
        random_source: random.Random,
        size: ServiceSize,
        table: dict[int, BaseGateway],
        retries: bool,
    ) -> None:
        self.loop = loop
        self.name = name
        self.data_centre = data_centre
        self.random_source = random_source
        self.size = size
        self.shared_table = table
        self.table = dict(table)
        self.next_call = 0
        self.retry_policy = RetryPolicy(RetryBudget(0.0), random_source) if retries else None
        hops = {gateway.group_id: 2.0 * self.hop(gateway) for gateway in table.values()}
        self.choice = GroupChoice(hops)

    def hop(self, gateway: BaseGateway) -> float:
        """Returns the one-way latency to a gateway."""
        if gateway.data_centre == self.data_centre:
            return LOCAL_HOP_SECONDS
        return self.size.hop_seconds

    def learn_table(self) -> None:
        """Learns the newest table."""
        self.table = dict(self.shared_table)

    def arrive(self, request: CallerRequest, record: RequestRecord, shard_index: int) -> None:
        """Takes a request of a caller."""
        self.forward(PendingRequest(request, record, shard_index))

    def forward(self, pending: PendingRequest) -> None:
        """Sends a request to its gateway."""
        pending.record.attempts += 1
        self.next_call += 1
        gateway = self.gateway_of(pending)
        hop = self.hop(gateway)
        if self.is_free_choice(pending):
            self.choice.sent(gateway.group_id, self.loop.now)

        def reply(answer: BaseReply) -> None:
            self.loop.after(hop, self.replied, pending, answer, gateway.report())

        call_id = f"{self.name}-{self.next_call}"
        attempt = Attempt(call_id, pending.request, pending.record, pending.shard_index, reply)
        self.loop.after(hop, gateway.receive, attempt)

    def is_free_choice(self, pending: PendingRequest) -> bool:
        """Tells whether any group may run a request."""
        if self.retry_policy is None or self.size.kind is not ServiceKind.POOLED:
            return False
        return pending.request.idempotent

    def gateway_of(self, pending: PendingRequest) -> BaseGateway:
        """Returns the gateway for a request."""
        if not self.is_free_choice(pending):
            return self.table[pending.shard_index]
        gateways = {gateway.group_id: gateway for gateway in self.table.values()}
        return gateways[self.choice.choose(tuple(gateways), self.loop.now)]

    def replied(
        self,
        pending: PendingRequest,
        reply: BaseReply,
        report: GroupReport | None,
    ) -> None:
        """Takes a gateway's reply: tells the caller or sends the request again."""
        if report is not None:
            self.choice.report(report.replace(received_at=self.loop.now))
        if self.retry_policy is not None:
            if isinstance(reply, NotRun) and reply.reason in STALE_TABLE_REASONS:
                self.learn_table()
            decision = self.retry_policy.decide(pending.attempts, reply, self.loop.now)
            if isinstance(decision, RetryAt):
                self.loop.after(decision.at - self.loop.now, self.forward, pending)
                return
            reply = decision
        record = pending.record
        record.outcome = reply.outcome
        record.ended_at = self.loop.now
        record.reason = reply.reason if isinstance(reply, NotRun) else reply.outcome.value
        if record.follow_up is not None:
            record.follow_up(record)
