"""Generated callers: they issue ids, send requests and repeat them through other daemons."""

import random

from fireflylink_core import BaseReply, CallerRequest, Outcome, shard_of
from fireflylink_decisions.admission import issue_request_id
from fireflylink_experiments.request_faults._history import RequestHistory
from fireflylink_experiments.request_faults._world import SHARD_COUNT, CallerAttempt, World

POST_SHARE = 0.7
REPEAT_WHILE_RUNNING_SHARE = 0.02
REPEAT_AFTER_ANSWER_SHARE = 0.02
REPEAT_LATE_SHARE = 0.001
MAX_REPEATS = 3
OWN_CLOCK_SHARE = 0.05
"""Callers that make their ids themselves, with clocks that are further off than allowed."""

OWN_CLOCK_MS = 3_000
TIMEOUT_SECONDS = 1.0
TENANTS = ("a", "b", "c")


class Callers:
    """Sends a number of requests at random times and repeats some of them."""

    __slots__ = ("random_source", "rate", "remaining", "repeats", "world")

    def __init__(self, world: World, requests: int, rate: float, seed: int) -> None:
        self.world = world
        self.remaining = requests
        self.rate = rate
        self.random_source = random.Random(seed)
        self.repeats: dict[RequestHistory, int] = {}
        world.on_reply = self.replied

    def run(self) -> None:
        """Sends a request and schedules the next."""
        if self.remaining == 0:
            return
        self.remaining -= 1
        source = self.random_source
        idempotent = source.random() >= POST_SHARE
        self.world.violations.requests += 1
        issued_ms = self.world.wall_ms(source.choice(self.world.entries))
        if source.random() < OWN_CLOCK_SHARE:
            issued_ms += source.randint(-OWN_CLOCK_MS, OWN_CLOCK_MS)
        request_id = issue_request_id(issued_ms, source)
        history = RequestHistory(idempotent)
        self.send(history, request_id)
        if source.random() < REPEAT_WHILE_RUNNING_SHARE:
            self.repeat(history, request_id, source.uniform(0.0, 0.1))
        self.world.loop.after(source.expovariate(self.rate), self.run)

    def send(self, history: RequestHistory, request_id: str) -> None:
        """Sends one attempt through any entry daemon."""
        source = self.random_source
        entry = source.choice(self.world.entries)
        request = CallerRequest(
            self.world.service.name,
            "",
            "GET" if history.idempotent else "POST",
            request_id.encode(),
            self.world.loop.now + TIMEOUT_SECONDS,
            source.choice(TENANTS) if history.idempotent else TENANTS[0],
            request_id,
        )
        self.world.violations.attempts += 1
        self.world.violations.open_attempts += 1
        shard = shard_of(request_id, SHARD_COUNT)
        self.world.send(CallerAttempt(entry, request, shard, history))

    def repeat(self, history: RequestHistory, request_id: str, delay: float) -> None:
        """Schedules another attempt with the same id, up to a number of times."""
        made = self.repeats.get(history, 0)
        if made < MAX_REPEATS:
            self.repeats[history] = made + 1
            self.world.loop.after(delay, self.send, history, request_id)

    def replied(self, attempt: CallerAttempt, reply: BaseReply) -> None:
        """Repeats what was not answered, and some of what was."""
        source = self.random_source
        history = attempt.history
        request_id = attempt.request.request_id
        if source.random() < REPEAT_LATE_SHARE:
            self.repeat(history, request_id, source.uniform(1.0, 1500.0))
        elif reply.outcome is not Outcome.ANSWERED:
            self.repeat(history, request_id, source.expovariate(2.0))
        elif source.random() < REPEAT_AFTER_ANSWER_SHARE:
            self.repeat(history, request_id, source.expovariate(0.5))
        else:
            self.repeats.pop(history, None)
