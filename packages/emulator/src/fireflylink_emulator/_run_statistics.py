"""Outcomes and latencies of the requests of a run."""

from hdrh.histogram import HdrHistogram

from fireflylink_core import BaseReply, CallerDisconnected, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator._caller_attempt import CallerAttempt

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_FIGURES = 3
MIN_SERVER_ERROR_STATUS = 500
PERCENT = 100.0


class RunStatistics:
    """Counts over one run. A request is the first attempt of a caller with its retries.

    Each request counts by the reply to its last attempt: ``in_time`` and ``late`` if it was
    answered within or after the target latency, ``refused`` if that attempt was not run, ``failed``
    if it failed, its outcome is unknown, or the caller disconnected.

    Three counts are violations of guarantees. ``duplicate_executions``: an attempt ran more than
    once although its request is not idempotent. ``answers_without_execution``: an attempt was
    answered but never ran. ``refused_but_executed``: an attempt was refused but ran.
    """

    __slots__ = (
        "answers_without_execution",
        "duplicate_executions",
        "earned_value",
        "failed",
        "in_time",
        "late",
        "latency",
        "possible_value",
        "refused",
        "refused_attempts",
        "refused_but_executed",
        "requests",
    )

    def __init__(self) -> None:
        self.requests = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.failed = 0
        self.possible_value = 0.0
        self.earned_value = 0.0
        self.duplicate_executions = 0
        self.answers_without_execution = 0
        self.refused_but_executed = 0
        self.latency = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_FIGURES)
        self.refused_attempts: list[CallerAttempt] = []

    @property
    def earned_fraction(self) -> float:
        """The fraction of the possible value that was earned."""
        return self.earned_value / self.possible_value if self.possible_value else 1.0

    @property
    def guarantee_violations(self) -> int:
        """Number of violations; call ``count_refused_but_executed`` first."""
        return (
            self.duplicate_executions + self.answers_without_execution + self.refused_but_executed
        )

    def percentile(self, fraction: float) -> float:
        """Returns the latency in seconds at a fraction between 0 and 1 of the answered requests."""
        value = self.latency.get_value_at_percentile(fraction * PERCENT)
        return float(value) / MICROSECONDS_PER_SECOND

    def record_request(self, attempt: CallerAttempt) -> None:
        """Records the first attempt of a request."""
        self.requests += 1
        self.possible_value += attempt.profile.value

    def record_attempt(self, attempt: CallerAttempt, reply: BaseReply) -> None:
        """Records the reply to one attempt, to check the guarantees."""
        if isinstance(reply, ServerAnswer) and attempt.executions == 0:
            self.answers_without_execution += 1
        if isinstance(reply, NotRun):
            if attempt.executions:
                self.refused_but_executed += 1
            else:
                self.refused_attempts.append(attempt)

    def record_executions(self, attempt: CallerAttempt) -> None:
        """Counts an ended attempt that ran more often than allowed."""
        if attempt.executions > 1 and not attempt.profile.idempotent:
            self.duplicate_executions += 1

    def record_outcome(self, attempt: CallerAttempt, reply: BaseReply, now: float) -> None:
        """Records the outcome of a request: the reply to its last attempt."""
        if isinstance(reply, ServerAnswer) and reply.status < MIN_SERVER_ERROR_STATUS:
            self._record_answered(attempt, now)
        elif isinstance(reply, NotRun):
            self.refused += 1
        elif isinstance(reply, ServerAnswer | OutcomeUnknown | CallerDisconnected):
            self.failed += 1

    def count_refused_but_executed(self) -> None:
        """Counts the refused attempts that ran after the refusal."""
        self.refused_but_executed += sum(
            1 for attempt in self.refused_attempts if attempt.executions
        )
        self.refused_attempts = []

    def _record_answered(self, attempt: CallerAttempt, now: float) -> None:
        seconds = now - attempt.requested_at
        self.latency.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        if seconds <= attempt.profile.objective_seconds:
            self.in_time += 1
            self.earned_value += attempt.profile.value
        else:
            self.late += 1
            self.earned_value += attempt.profile.late_value
