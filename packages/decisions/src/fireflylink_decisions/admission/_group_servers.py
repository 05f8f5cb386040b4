"""The servers of a group with the requests that run on them."""

from collections.abc import Iterable

from fireflylink_core import BackendServer, Service
from fireflylink_decisions.admission._admission_values import Admitted, ServerHandover
from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._poison_detector import PoisonDetector
from fireflylink_decisions.admission._server_report import ServerReport
from fireflylink_decisions.limits import ServerLimiter, ServiceTime
from fireflylink_decisions.retries import CallOutcome, CallResult
from fireflylink_decisions.routing import BasePicker

NEVER = float("-inf")
ARRIVAL_SECONDS = 0.05
"""A call that was sent this long before a grant has reached the server before it."""


class GroupServers:
    """Starts and ends requests on the servers of a group and learns from how they end."""

    __slots__ = (
        "blocked",
        "calls",
        "limiters",
        "limiters_by_id",
        "picker",
        "poison",
        "service_time",
    )

    def __init__(
        self,
        service: Service,
        servers: Iterable[BackendServer],
        picker: BasePicker,
        poison: PoisonDetector,
    ) -> None:
        self.limiters = tuple(_limiter_of(service, server) for server in servers)
        self.limiters_by_id = {limiter.server_id: limiter for limiter in self.limiters}
        self.picker = picker
        self.poison = poison
        self.service_time = ServiceTime()
        self.calls: dict[str, Call] = {}
        self.blocked: list[ServerLimiter] = []

    def take_servers(
        self, service: Service, servers: Iterable[BackendServer], withheld: frozenset[str]
    ) -> None:
        """Takes a changed list of servers and keeps what is known of those that stay.

        ``withheld`` ones get no new request. A server that is not listed any more is only kept for
        the ends of its calls.
        """
        current = []
        listed = {limiter.server_id for limiter in self.limiters}
        for server in servers:
            limiter = self.limiters_by_id.get(server.server_id)
            if limiter is None or server.server_id not in listed:
                limiter = _limiter_of(service, server)
            limiter.withhold(server.server_id in withheld)
            current.append(limiter)
        self.limiters = tuple(current)
        self.limiters_by_id.update((limiter.server_id, limiter) for limiter in current)

    def capacity(self, now: float) -> int:
        """Returns how many requests the group may run at once at present."""
        return sum(self.picker.usable(limiter, now) for limiter in self.limiters)

    @property
    def all_draining(self) -> bool:
        """Whether no server takes new requests."""
        return all(limiter.draining or limiter.withheld for limiter in self.limiters)

    def pick(self, now: float) -> ServerLimiter | None:
        """Returns the server for the next request, or None when none is free."""
        if self.blocked:
            self.blocked = [limiter for limiter in self.blocked if not limiter.retry(now)]
        return self.picker.pick(self.limiters, now)

    def start(self, call: Call, server: ServerLimiter, now: float) -> Admitted:
        """Counts a request on a server."""
        generation = server.start()
        call_id = call.call_id
        server_id = server.server_id
        call.server_id = server_id
        call.started_at = now
        self.calls[call_id] = call
        self.picker.started(server_id, call_id, now)
        return Admitted(call_id, call.request, server_id, call.shard_index, generation, call.alone)

    def end(self, call_id: str, result: CallResult, now: float) -> Call:
        """Takes the end of a call into account."""
        call = self.calls.pop(call_id)
        server = self.limiters_by_id[call.server_id]
        answered = result.outcome is CallOutcome.ANSWERED
        self.picker.ended(call.server_id, call_id, result.latency, answered, now)
        server.in_flight -= 1
        if answered:
            self.note_answer(call, server, result, now)
        else:
            self.note_failure(call, server, result, now)
        return call

    def note_answer(
        self, call: Call, server: ServerLimiter, result: CallResult, now: float
    ) -> None:
        """Learns from an answer."""
        before = server.generation
        self.service_time.add(result.latency)
        server.answered(result.generation, call.started_at)
        if self.poison.records or self.poison.cases:
            self.poison.answered(server.server_id, result.generation, call.started_at)
            if call.alone:
                self.poison.ran_alone(fingerprint_of(call.request))
        if server.generation != before:
            self.note_restart(server, before, now)

    def note_failure(
        self, call: Call, server: ServerLimiter, result: CallResult, now: float
    ) -> None:
        """Learns from a call that was not answered: lowers the limit, collects crash evidence."""
        outcome = result.outcome
        if outcome in (CallOutcome.CONNECTION_LOST, CallOutcome.TRUNCATED):
            self.note_lost_connection(call, server, now)
        before = server.generation
        if result.generation:
            server.saw_generation(result.generation, call.started_at)
        self.note_restart(server, before, now)
        if result.refused:
            self.poison.restarted(server.server_id, now)
        if outcome is CallOutcome.NOT_RUN:
            if result.not_run_reason == "draining":
                server.drain()
            elif result.not_run_reason == "busy":
                server.busy()
        elif outcome is CallOutcome.NOT_SENT and not result.generation:
            server.block(now)
            self.blocked.append(server)
        elif outcome is not CallOutcome.CANCELLED:
            server.doubt(now)

    def note_lost_connection(self, call: Call, server: ServerLimiter, now: float) -> None:
        """Makes suspects of everything that was in flight on a server."""
        others = [
            other.request for other in self.calls.values() if other.server_id == server.server_id
        ]
        fingerprints = [fingerprint_of(request) for request in (call.request, *others)]
        self.poison.connection_lost(
            server.server_id, server.generation, fingerprints, call.started_at, now
        )

    def note_restart(self, server: ServerLimiter, before: str, now: float) -> None:
        """Tells the poison detector when a server has a new generation."""
        if before and server.generation != before:
            self.picker.restarted(server.server_id)
            self.poison.restarted(server.server_id, now)

    def observe(self, report: ServerReport, now: float) -> None:
        """Takes the reply to a grant into account."""
        server = self.limiters_by_id[report.server_id]
        before = server.generation
        sent_at = NEVER if report.sent_at is None else report.sent_at
        others = max(0, report.in_flight - self.certainly_at(report.server_id, sent_at))
        server.reported(report.generation, report.state, sent_at, report.slots, others)
        self.note_restart(server, before, now)

    def certainly_at(self, server_id: str, sent_at: float) -> int:
        """Counts the calls that had reached a server when it answered a grant."""
        started_by = sent_at - ARRIVAL_SECONDS
        calls = self.calls.values()
        return sum(1 for c in calls if c.server_id == server_id and c.started_at <= started_by)

    def export(self) -> tuple[ServerHandover, ...]:
        """Returns the limits that the servers have reached."""
        return tuple(
            ServerHandover(limiter.server_id, limiter.generation, limiter.ramped_limit)
            for limiter in self.limiters
            if limiter.confirmed
        )

    def adopt(self, servers: tuple[ServerHandover, ...], now: float) -> None:
        """Takes over the limits that servers of this group had at the former gateway."""
        for server in servers:
            limiter = self.limiters_by_id.get(server.server_id)
            if limiter is not None:
                limiter.adopt(server.generation, server.limit, now)


def _limiter_of(service: Service, server: BackendServer) -> ServerLimiter:
    return ServerLimiter(server.server_id, server.slots, service.cold_slots, server.connections)
