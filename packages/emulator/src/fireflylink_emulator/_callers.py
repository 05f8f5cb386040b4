"""Callers: they ask, wait, come back after a refusal, and leave at their deadline."""

import random

from fireflylink_core import BaseReply, CallerDisconnected, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._caller_attempt import CallerAttempt
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import ServiceProfile
from fireflylink_emulator._run_statistics import RunStatistics

NETWORK_SECONDS = 0.008
HONOURED_PART = 1.0 / 3.0
"""Callers wait as they are told for at most this part of the time that they have left."""

DEFAULT_RETRY_SECONDS = 0.1
IMPATIENT_REPEATS = 4
IMPATIENT_SECONDS = 0.02
LEAST_LEFT_SECONDS = 0.1
SERVER_ERROR = 500


class Callers:
    """All callers of a run.

    ``impatient_fraction`` is the fraction of callers that retry at once and often, whatever they
    are told; ``early_disconnect_fraction`` that of callers that disconnect before their deadline.
    """

    __slots__ = (
        "daemons",
        "early_disconnect_fraction",
        "impatient_fraction",
        "rng",
        "scheduler",
        "statistics",
    )

    def __init__(
        self, scheduler: EventScheduler, daemons: list[BaseEmulatedDaemon], rng: random.Random
    ) -> None:
        self.scheduler = scheduler
        self.daemons = daemons
        self.rng = rng
        self.statistics: dict[str, RunStatistics] = {}
        self.impatient_fraction = 0.0
        self.early_disconnect_fraction = 0.0

    def statistics_of(self, profile: ServiceProfile) -> RunStatistics:
        """Returns the counts of one kind of requests."""
        return self.statistics.setdefault(profile.kind, RunStatistics())

    def send_request(self, profile: ServiceProfile, key: int) -> None:
        """Sends the first attempt of a request."""
        impatient = self.rng.random() < self.impatient_fraction
        repeats = IMPATIENT_REPEATS if impatient else profile.max_caller_retries
        attempt = self._order(profile, key, self.scheduler.clock.now(), repeats, impatient)
        self.statistics_of(profile).record_request(attempt)
        self._send(attempt)

    def check_guarantees(self) -> None:
        """Checks the guarantees about refused attempts after the last event."""
        for statistics in self.statistics.values():
            statistics.check_refused_attempts()

    def _order(
        self, profile: ServiceProfile, key: int, requested_at: float, repeats: int, impatient: bool
    ) -> CallerAttempt:
        received_at = self.scheduler.clock.now() + NETWORK_SECONDS
        return CallerAttempt(profile, key, requested_at, received_at, repeats, impatient)

    def _send(self, attempt: CallerAttempt) -> None:
        running = [daemon for daemon in self.daemons if daemon.running]
        daemon = self.rng.choice(running or self.daemons)
        ended = [False]

        def reply(found: BaseReply) -> None:
            self.scheduler.schedule_after(NETWORK_SECONDS, lambda: receive(found))

        def receive(found: BaseReply) -> None:
            if ended[0]:
                return
            ended[0] = True
            self._ended(attempt, found)

        def leave() -> None:
            if not ended[0]:
                ended[0] = True
                daemon.cancel(attempt)
                self._ended(attempt, CallerDisconnected())

        if daemon.running:
            self.scheduler.schedule_after(NETWORK_SECONDS, lambda: daemon.receive(attempt, reply))
        self.scheduler.schedule_at(self._leaves_at(attempt), leave)

    def _leaves_at(self, attempt: CallerAttempt) -> float:
        if self.rng.random() >= self.early_disconnect_fraction:
            return attempt.deadline
        now = self.scheduler.clock.now()
        return now + (attempt.deadline - now) * self.rng.random()

    def _ended(self, attempt: CallerAttempt, reply: BaseReply) -> None:
        now = self.scheduler.clock.now()
        statistics = self.statistics_of(attempt.profile)
        statistics.record_attempt(attempt, reply)
        # Work that goes on after the caller has its answer would be a second run.
        self.scheduler.schedule_at(
            attempt.deadline + 1.0, lambda: statistics.record_executions(attempt)
        )
        wait = self._wait(attempt, reply, attempt.deadline - now)
        if wait is None:
            statistics.record_outcome(attempt, reply, now)
            return
        self.scheduler.schedule_after(wait, lambda: self._again(attempt))

    def _again(self, attempt: CallerAttempt) -> None:
        again = self._order(
            attempt.profile,
            attempt.key,
            attempt.requested_at,
            attempt.retries_left - 1,
            attempt.impatient,
        )
        self._send(again)

    def _wait(self, attempt: CallerAttempt, reply: BaseReply, left: float) -> float | None:
        """Returns after how long the caller asks again, None if it does not."""
        if (
            attempt.retries_left <= 0
            or left < LEAST_LEFT_SECONDS
            or not _asks_again(attempt, reply)
        ):
            return None
        if attempt.impatient:
            return IMPATIENT_SECONDS
        stated = reply.retry_after if isinstance(reply, NotRun) else None
        if stated is None:
            stated = DEFAULT_RETRY_SECONDS
        return min(stated, left * HONOURED_PART)


def _asks_again(attempt: CallerAttempt, reply: BaseReply) -> bool:
    if isinstance(reply, NotRun):
        return True
    if not attempt.profile.idempotent:
        return False
    if isinstance(reply, ServerAnswer):
        return reply.status >= SERVER_ERROR
    return isinstance(reply, OutcomeUnknown)
