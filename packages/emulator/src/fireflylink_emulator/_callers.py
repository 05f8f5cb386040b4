"""Callers, which send requests, retry after refusals and disconnect at their deadline."""

import random

from fireflylink_core import BaseReply, CallerDisconnected, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._caller_attempt import CallerAttempt
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import ServiceProfile
from fireflylink_emulator._run_statistics import RunStatistics

CALLER_TO_DAEMON_LATENCY_SECONDS = 0.008
"""One-way latency between callers and daemons, for requests and for replies."""

MAX_DELAY_FRACTION = 1.0 / 3.0
"""Callers wait no longer than this fraction of the remaining time, whatever a reply asks for."""

DEFAULT_RETRY_DELAY_SECONDS = 0.1
"""Delay before a retry if the reply asks for none."""

IMPATIENT_MAX_RETRIES = 4
IMPATIENT_RETRY_DELAY_SECONDS = 0.02
MIN_RETRY_TIME_SECONDS = 0.1
"""Callers do not retry with less time left before the deadline."""

MIN_SERVER_ERROR_STATUS = 500


class Callers:
    """All callers of a run.

    ``impatient_fraction`` is the fraction of callers that retry often and almost at once, whatever
    delay a reply asks for; ``early_disconnect_fraction`` that of attempts whose caller disconnects
    before the deadline.
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
        """Returns the statistics of one type of requests."""
        return self.statistics.setdefault(profile.request_type, RunStatistics())

    def send_request(self, profile: ServiceProfile, key: int) -> None:
        """Sends the first attempt of a request."""
        impatient = self.rng.random() < self.impatient_fraction
        retries = IMPATIENT_MAX_RETRIES if impatient else profile.max_caller_retries
        attempt = self._create_attempt(profile, key, self.scheduler.clock.now(), retries, impatient)
        self.statistics_of(profile).record_request(attempt)
        self._send(attempt)

    def count_refused_but_executed(self) -> None:
        """Counts the refused attempts that ran; call it after the last event of the run."""
        for statistics in self.statistics.values():
            statistics.count_refused_but_executed()

    def _create_attempt(
        self, profile: ServiceProfile, key: int, requested_at: float, retries: int, impatient: bool
    ) -> CallerAttempt:
        received_at = self.scheduler.clock.now() + CALLER_TO_DAEMON_LATENCY_SECONDS
        return CallerAttempt(profile, key, requested_at, received_at, retries, impatient)

    def _send(self, attempt: CallerAttempt) -> None:
        running = [daemon for daemon in self.daemons if daemon.running]
        daemon = self.rng.choice(running or self.daemons)
        ended = [False]

        def on_reply(reply: BaseReply) -> None:
            self.scheduler.schedule_after(CALLER_TO_DAEMON_LATENCY_SECONDS, lambda: receive(reply))

        def receive(reply: BaseReply) -> None:
            if ended[0]:
                return
            ended[0] = True
            self._on_attempt_ended(attempt, reply)

        def disconnect() -> None:
            if not ended[0]:
                ended[0] = True
                daemon.cancel(attempt)
                self._on_attempt_ended(attempt, CallerDisconnected())

        if daemon.running:
            self.scheduler.schedule_after(
                CALLER_TO_DAEMON_LATENCY_SECONDS, lambda: daemon.receive(attempt, on_reply)
            )
        self.scheduler.schedule_at(self._disconnect_time(attempt), disconnect)

    def _disconnect_time(self, attempt: CallerAttempt) -> float:
        if self.rng.random() >= self.early_disconnect_fraction:
            return attempt.deadline
        now = self.scheduler.clock.now()
        return now + (attempt.deadline - now) * self.rng.random()

    def _on_attempt_ended(self, attempt: CallerAttempt, reply: BaseReply) -> None:
        now = self.scheduler.clock.now()
        statistics = self.statistics_of(attempt.profile)
        statistics.record_attempt(attempt, reply)
        # Executions are counted one second after the deadline, when all requests have arrived at
        # their servers, to include executions that start after the reply.
        self.scheduler.schedule_at(
            attempt.deadline + 1.0, lambda: statistics.record_executions(attempt)
        )
        delay = self._retry_delay(attempt, reply, attempt.deadline - now)
        if delay is None:
            statistics.record_outcome(attempt, reply, now)
            return
        self.scheduler.schedule_after(delay, lambda: self._retry(attempt))

    def _retry(self, attempt: CallerAttempt) -> None:
        retry = self._create_attempt(
            attempt.profile,
            attempt.key,
            attempt.requested_at,
            attempt.retries_left - 1,
            attempt.impatient,
        )
        self._send(retry)

    def _retry_delay(
        self, attempt: CallerAttempt, reply: BaseReply, remaining_seconds: float
    ) -> float | None:
        """Returns the delay in seconds before the caller retries, or None if it does not."""
        if (
            attempt.retries_left <= 0
            or remaining_seconds < MIN_RETRY_TIME_SECONDS
            or not _should_retry(attempt, reply)
        ):
            return None
        if attempt.impatient:
            return IMPATIENT_RETRY_DELAY_SECONDS
        delay = reply.retry_after if isinstance(reply, NotRun) else None
        if delay is None:
            delay = DEFAULT_RETRY_DELAY_SECONDS
        return min(delay, remaining_seconds * MAX_DELAY_FRACTION)


def _should_retry(attempt: CallerAttempt, reply: BaseReply) -> bool:
    if isinstance(reply, NotRun):
        return True
    if not attempt.profile.idempotent:
        return False
    if isinstance(reply, ServerAnswer):
        return reply.status >= MIN_SERVER_ERROR_STATUS
    return isinstance(reply, OutcomeUnknown)
