"""The servers of a group with the requests that run on them."""

from collections.abc import Iterable

from fireflylink_core import BackendServer, CallerRequest, Service
from fireflylink_decisions.admission._admission_values import Admitted
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._poison_detector import PoisonDetector
from fireflylink_decisions.limits import ReportedState, ServerLimiter, ServiceTime
from fireflylink_decisions.retries import CallOutcome, CallResult
from fireflylink_decisions.routing import BasePicker

NEVER = float("-inf")


class RunningCall:
    """A request that runs on a server."""

    __slots__ = ("alone", "request", "request_number", "server", "shard_index", "started_at")

    def __init__(
        self,
        request: CallerRequest,
        server: ServerLimiter,
        shard_index: int,
        started_at: float,
        request_number: int,
        alone: bool,
    ) -> None:
        self.request = request
        self.server = server
        self.shard_index = shard_index
        self.started_at = started_at
        self.request_number = request_number
        self.alone = alone


class GroupServers:
    """Starts and ends requests on the servers of a group and learns from how they end."""

    __slots__ = ("calls", "limiters", "limiters_by_id", "picker", "poison", "service_time")

    def __init__(
        self,
        service: Service,
        servers: Iterable[BackendServer],
        picker: BasePicker,
        poison: PoisonDetector,
    ) -> None:
        self.limiters = tuple(
            ServerLimiter(s.server_id, s.slots, service.cold_slots, s.connections) for s in servers
        )
        self.limiters_by_id = {limiter.server_id: limiter for limiter in self.limiters}
        self.picker = picker
        self.poison = poison
        self.service_time = ServiceTime()
        self.calls: dict[str, RunningCall] = {}

    @property
    def capacity(self) -> int:
        """How many requests the group may run at once."""
        return sum(limiter.limit for limiter in self.limiters)

    @property
    def all_draining(self) -> bool:
        """Whether no server takes new requests."""
        return all(limiter.draining for limiter in self.limiters)

    def pick(self, now: float) -> ServerLimiter | None:
        """Returns the server for the next request, or None when none is free."""
        return self.picker.pick(self.limiters, now)

    def start(
        self,
        request: CallerRequest,
        call_id: str,
        shard_index: int,
        request_number: int,
        server: ServerLimiter,
        now: float,
        alone: bool,
    ) -> Admitted:
        """Counts a request on a server."""
        generation = server.start()
        call = RunningCall(request, server, shard_index, now, request_number, alone)
        self.calls[call_id] = call
        self.picker.started(server.server_id, call_id, now)
        return Admitted(call_id, request, server.server_id, shard_index, generation, alone)

    def end(self, call_id: str, result: CallResult, now: float) -> RunningCall:
        """Takes the end of a call into account."""
        call = self.calls.pop(call_id)
        server = call.server
        answered = result.outcome is CallOutcome.ANSWERED
        self.picker.ended(server.server_id, call_id, result.latency, answered, now)
        server.in_flight -= 1
        if answered:
            self.note_answer(call, result, now)
        else:
            self.note_failure(call, result, now)
        return call

    def note_answer(self, call: RunningCall, result: CallResult, now: float) -> None:
        """Learns from an answer."""
        server = call.server
        before = server.generation
        self.service_time.add(result.latency)
        server.answered(result.generation, call.started_at)
        if self.poison.active:
            self.poison.answered(server.server_id, result.generation, call.started_at)
            if call.alone:
                self.poison.ran_alone(fingerprint_of(call.request))
        self.note_restart(server, before, now)

    def note_failure(self, call: RunningCall, result: CallResult, now: float) -> None:
        """Learns from a call that was not answered: lowers the limit, collects crash evidence."""
        server = call.server
        outcome = result.outcome
        if outcome in (CallOutcome.CONNECTION_LOST, CallOutcome.TRUNCATED):
            self.note_lost_connection(call, now)
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
        elif outcome is not CallOutcome.CANCELLED:
            server.doubt(now)

    def note_lost_connection(self, call: RunningCall, now: float) -> None:
        """Makes suspects of everything that was in flight on a server."""
        server = call.server
        others = [other.request for other in self.calls.values() if other.server is server]
        fingerprints = [fingerprint_of(request) for request in (call.request, *others)]
        self.poison.connection_lost(server.server_id, server.generation, fingerprints, now)

    def note_restart(self, server: ServerLimiter, before: str, now: float) -> None:
        """Tells the poison detector when a server has a new generation."""
        if before and server.generation != before:
            self.poison.restarted(server.server_id, now)

    def observe(
        self,
        server_id: str,
        generation: str,
        state: ReportedState,
        now: float,
        sent_at: float | None,
        stated_slots: int,
    ) -> None:
        """Takes the reply to a grant into account."""
        server = self.limiters_by_id[server_id]
        before = server.generation
        asked_at = NEVER if sent_at is None else sent_at
        server.reported(generation, state, asked_at, stated_slots)
        self.note_restart(server, before, now)
