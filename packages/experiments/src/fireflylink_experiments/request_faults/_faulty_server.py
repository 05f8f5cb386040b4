"""Backend server that crashes, refuses requests and loses answers."""

import random
from collections.abc import Callable

from fireflylink_core import BackendAnswer
from fireflylink_decisions.admission import CallOutcome, CallResult
from fireflylink_decisions.limits import ReportedState
from fireflylink_experiments.request_faults._history import Violations
from fireflylink_experiments.requests._event_loop import EventLoop

MEAN_SECONDS = 0.03
HOP_SECONDS = 0.001
COLD_SECONDS = 1.0
NOT_SENT_SHARE = 0.002
BUSY_SHARE = 0.002
LOST_SHARE = 0.004
TRUNCATED_SHARE = 0.001
HANGING_SHARE = 0.001
HANGING_SECONDS = 1.0

EndAction = Callable[[CallResult], None]
RunAction = Callable[[], None]


class FaultyServer:
    """Runs requests at once and ends each call in one of the ways a call can end."""

    __slots__ = (
        "cold_until",
        "down",
        "generation_number",
        "loop",
        "random_source",
        "running",
        "server_id",
        "violations",
    )

    def __init__(
        self,
        loop: EventLoop,
        random_source: random.Random,
        violations: Violations,
        server_id: str,
    ) -> None:
        self.loop = loop
        self.random_source = random_source
        self.violations = violations
        self.server_id = server_id
        self.generation_number = 1
        self.cold_until = 0.0
        self.down = False
        self.running: dict[object, EndAction] = {}

    @property
    def generation(self) -> str:
        """Changes with each restart."""
        return f"{self.server_id}/{self.generation_number}"

    @property
    def state(self) -> ReportedState:
        """What the server reports about itself."""
        return ReportedState.COLD if self.loop.now < self.cold_until else ReportedState.WARM

    def submit(self, needed_generation: str, run: RunAction, end: EndAction) -> None:
        """Takes a call that the gateway sends over a connection of the needed generation."""
        generation = "" if self.down else self.generation
        if self.down or self.random_source.random() < NOT_SENT_SHARE:
            result = CallResult(CallOutcome.NOT_SENT, HOP_SECONDS, refused=self.down)
            self.loop.after(HOP_SECONDS, end, result)
        elif needed_generation and needed_generation != generation:
            result = CallResult(CallOutcome.NOT_SENT, HOP_SECONDS, generation)
            self.loop.after(HOP_SECONDS, end, result)
        else:
            self.loop.after(HOP_SECONDS, self.receive, self.generation_number, run, end)

    def receive(self, generation_number: int, run: RunAction, end: EndAction) -> None:
        """Runs a request or refuses it."""
        if self.down or generation_number != self.generation_number:
            end(CallResult(CallOutcome.CONNECTION_LOST, HOP_SECONDS))
            return
        if self.random_source.random() < BUSY_SHARE:
            reason = "busy"
            result = CallResult(CallOutcome.NOT_RUN, 0.002, self.generation, None, reason)
            self.loop.after(HOP_SECONDS, end, result)
            return
        run()
        token = object()
        self.running[token] = end
        if self.state is ReportedState.COLD:
            load = len(self.running)
            self.violations.highest_cold_load = max(self.violations.highest_cold_load, load)
        seconds = self.random_source.expovariate(1.0 / MEAN_SECONDS)
        self.loop.after(seconds, self.complete, token, seconds)

    def complete(self, token: object, seconds: float) -> None:
        """Ends a call, mostly with an answer."""
        end = self.running.pop(token, None)
        if end is None:
            return
        draw = self.random_source.random()
        if draw < LOST_SHARE:
            end(CallResult(CallOutcome.CONNECTION_LOST, seconds))
        elif draw < LOST_SHARE + TRUNCATED_SHARE:
            end(CallResult(CallOutcome.TRUNCATED, seconds))
        elif draw < LOST_SHARE + TRUNCATED_SHARE + HANGING_SHARE:
            result = CallResult(CallOutcome.DEADLINE_PASSED, HANGING_SECONDS)
            self.loop.after(HANGING_SECONDS, end, result)
        else:
            answer = BackendAnswer(200, b"ok", "text/plain", self.server_id)
            end(CallResult(CallOutcome.ANSWERED, seconds, self.generation, answer))

    def crash(self, restart_seconds: float) -> None:
        """Ends the process with everything that it runs."""
        ended = list(self.running.values())
        self.running.clear()
        self.down = True
        for end in ended:
            self.loop.after(HOP_SECONDS, end, CallResult(CallOutcome.CONNECTION_LOST, 0.0))
        self.loop.after(restart_seconds, self.come_back)

    def vanish(self, restart_seconds: float) -> None:
        """Ends the process without closing its connections: the calls end at their deadlines."""
        ended = list(self.running.values())
        self.running.clear()
        self.down = True
        result = CallResult(CallOutcome.DEADLINE_PASSED, HANGING_SECONDS)
        for end in ended:
            self.loop.after(HANGING_SECONDS, end, result)
        self.loop.after(restart_seconds, self.come_back)

    def come_back(self) -> None:
        """Begins a new process, in cold start."""
        if self.down:
            self.down = False
            self.generation_number += 1
            self.cold_until = self.loop.now + COLD_SECONDS
