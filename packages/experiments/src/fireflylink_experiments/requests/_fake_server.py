"""Backend server of the simulation: slots, cold start, crashes and drains."""

import math
import random
from collections import deque
from collections.abc import Callable

from fireflylink_core import BaseValue, CallerRequest
from fireflylink_experiments.requests._event_loop import EventLoop
from fireflylink_experiments.requests._ledger import Ledger, RequestRecord

SERVICE_SIGMA = 0.5
"""Shape of the log-normal service time: its p99 is 2.8 times its mean."""

COLD_SECONDS = 2.0
COLD_SLOTS = 1
COLD_FACTOR = 2.0
RESTART_SECONDS = 0.2
POISON_SECONDS = 0.002
POISON_BODY = b"poison"

ReplyAction = Callable[["ServerReply"], None]


class ServerReply(BaseValue):
    """What arrives at the gateway: ``answer``, ``not-run``, ``refused`` or ``reset``."""

    __slots__ = ("generation", "kind", "reason")

    def __init__(self, kind: str, generation: str = "", reason: str = "") -> None:
        self.kind = kind
        self.generation = generation
        self.reason = reason


class ServerCall:
    """A request at the server."""

    __slots__ = ("closed", "record", "reply", "request")

    def __init__(self, request: CallerRequest, record: RequestRecord, reply: ReplyAction) -> None:
        self.request = request
        self.record = record
        self.reply = reply
        self.closed = False


class FakeServer:
    """Runs up to ``slots`` requests at a time and keeps others waiting in order of arrival.

    In cold start it can handle ``COLD_SLOTS`` requests at a time; more make all of them slower.
    """

    __slots__ = (
        "cold_until",
        "data_centre",
        "down",
        "draining",
        "factor",
        "generation_number",
        "hop_seconds",
        "ledger",
        "loop",
        "mean_seconds",
        "out_of_service",
        "process",
        "random_source",
        "running",
        "server_id",
        "slots",
        "waiting",
    )

    def __init__(
        self,
        loop: EventLoop,
        ledger: Ledger,
        random_source: random.Random,
        server_id: str,
        data_centre: int,
        slots: int,
        mean_seconds: float,
        hop_seconds: float,
    ) -> None:
        self.loop = loop
        self.ledger = ledger
        self.random_source = random_source
        self.server_id = server_id
        self.data_centre = data_centre
        self.slots = slots
        self.mean_seconds = mean_seconds
        self.hop_seconds = hop_seconds
        self.process = 1
        self.generation_number = 1
        self.factor = 1.0
        self.cold_until = 0.0
        self.down = False
        self.draining = False
        self.out_of_service = False
        self.running: dict[ServerCall, None] = {}
        self.waiting: deque[ServerCall] = deque()

    @property
    def generation(self) -> str:
        """Changes with each cold start."""
        return f"{self.server_id}/{self.generation_number}"

    @property
    def cold(self) -> bool:
        """Whether the server is in cold start."""
        return self.loop.now < self.cold_until

    @property
    def load(self) -> int:
        """Requests that run or wait at the server."""
        return len(self.running) + len(self.waiting)

    def receive(self, call: ServerCall, process: int) -> None:
        """Takes a request that arrives over a connection to a process of the server."""
        if process != self.process or self.down:
            self.send(call, ServerReply("refused" if self.down else "reset"))
        elif self.draining:
            self.send(call, ServerReply("not-run", self.generation, "draining"))
        elif call.request.deadline <= self.loop.now:
            self.send(call, ServerReply("not-run", self.generation, "deadline"))
        else:
            self.accept(call)

    def accept(self, call: ServerCall) -> None:
        """Starts a request or lets it wait for a slot."""
        if len(self.running) < self.slots:
            self.start(call)
        else:
            self.waiting.append(call)
        if self.cold:
            self.ledger.highest_cold_load = max(self.ledger.highest_cold_load, self.load)

    def start(self, call: ServerCall) -> None:
        """Runs a request."""
        self.running[call] = None
        call.record.runs += 1
        if self.out_of_service:
            self.ledger.late_work += 1
        if call.request.body == POISON_BODY:
            self.loop.after(POISON_SECONDS, self.crash_if, self.process)
            return
        mean = self.mean_seconds * self.factor
        if self.cold:
            mean *= COLD_FACTOR * max(1.0, self.load / COLD_SLOTS)
        location = math.log(mean) - SERVICE_SIGMA * SERVICE_SIGMA / 2.0
        duration = self.random_source.lognormvariate(location, SERVICE_SIGMA)
        self.loop.after(duration, self.complete, call, self.process)

    def complete(self, call: ServerCall, process: int) -> None:
        """Answers a request unless the server crashed or stopped it in the meantime."""
        if process != self.process or call not in self.running:
            return
        del self.running[call]
        self.send(call, ServerReply("answer", self.generation))
        self.start_waiting()

    def close(self, call: ServerCall) -> None:
        """Stops the work of a connection that the gateway has closed."""
        call.closed = True
        if call in self.running:
            del self.running[call]
            self.start_waiting()

    def start_waiting(self) -> None:
        """Starts the next request that is still wanted."""
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting.popleft()
            if call.closed:
                continue
            if call.request.deadline <= self.loop.now:
                self.send(call, ServerReply("not-run", self.generation, "deadline"))
                continue
            self.start(call)

    def crash_if(self, process: int) -> None:
        """Crashes if the process is still the one that a poison request began in."""
        if process == self.process and not self.down:
            self.crash()

    def crash(self) -> None:
        """Ends the process by a fault."""
        self.ledger.crashes += 1
        self.restart(RESTART_SECONDS)

    def restart(self, restart_seconds: float) -> None:
        """Ends the process: its connections are reset, and it comes back cold."""
        ended = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.down = True
        self.process += 1
        for call in ended:
            self.send(call, ServerReply("reset"))
        self.loop.after(restart_seconds, self.come_back)

    def come_back(self) -> None:
        """Begins a new process, in cold start."""
        self.down = False
        self.generation_number += 1
        self.cold_until = self.loop.now + COLD_SECONDS

    def turn_cold(self) -> None:
        """Begins a cold start without a restart: connections and running requests stay."""
        self.generation_number += 1
        self.cold_until = self.loop.now + COLD_SECONDS

    def send(self, call: ServerCall, reply: ServerReply) -> None:
        """Sends a reply to the gateway."""
        if not call.closed:
            self.loop.after(self.hop_seconds, call.reply, reply)
