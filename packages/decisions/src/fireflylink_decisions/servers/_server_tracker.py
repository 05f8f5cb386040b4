"""What this daemon knows of one server from its own requests and the server's answers."""

import math

from fireflylink_core import BackendServer, ServerLoad
from fireflylink_decisions.limits import ColdServerLimiter

DEFAULT_BASE_SECONDS = 0.12
"""Service time that is assumed before the first answer."""

BASE_WEIGHT = 0.15
FIRST_ANSWERS = 4
FIRST_WEIGHT = 0.5
UNQUEUED_FULLNESS = 1.4
"""Up to this, a request is taken to have found a free slot."""

FAILURE_WEIGHT = 0.15
LATE_WEIGHT = 0.5
REPORT_DECAY_WORK = 2.0
"""A reported queue fades within about so many service times: the server works it off."""

LEAST_REPORT_DECAY_SECONDS = 0.1
PACE_OUTLOOK = 0.4
"""A machine that is slow now is as usual again before a queue is worked off."""

CONTENTION = 2.0
"""Room that a server gets is taken by other daemons as often as by this one."""

PACE_DECAY_SECONDS = 0.5
FAILURE_DECAY_SECONDS = 3.0
FULLNESS_SLOWDOWN = 0.3
"""Servers slow down somewhat when their slots fill up."""


class ServerTracker:
    """In-flight requests, reported load, speed and failures of one incarnation of a server.

    ``base_seconds`` is the service time on an idle server at its usual speed, ``failure_rate`` the
    recent part of requests that failed. Reports count less as they age.
    """

    __slots__ = (
        "answers",
        "base_seconds",
        "cold_limiter",
        "consecutive_no_responses",
        "failure_rate",
        "failure_rate_at",
        "in_flight",
        "own_in_flight_at_report",
        "queued",
        "reported_at",
        "reported_load",
        "server",
    )

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.cold_limiter = ColdServerLimiter()
        self.in_flight = 0
        self.answers = 0
        self.base_seconds = DEFAULT_BASE_SECONDS
        self.failure_rate = 0.0
        self.failure_rate_at = 0.0
        self.reported_load: ServerLoad | None = None
        self.reported_at = 0.0
        self.own_in_flight_at_report = 0
        self.consecutive_no_responses = 0
        self.queued = 0

    def record_sent(self, now: float) -> None:
        """Counts a request that is about to be sent."""
        self.in_flight += 1
        self.cold_limiter.record_sent(now)

    def record_completed(self) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1

    def record_load(self, load: ServerLoad, now: float) -> None:
        """Takes the load that came with an answer."""
        self.reported_load = load
        self.reported_at = now
        self.own_in_flight_at_report = max(0, self.in_flight - 1)

    def record_answer(self, seconds: float, queueing_factor: float, now: float) -> bool:
        """Records a whole answer, its time, and how much the queue was expected to stretch it.

        Returns whether the time tells the server's speed: with a queue, the time tells more of the
        queue, and an estimate that divides by the expected queue makes overloaded servers look
        fast.
        """
        self.answers += 1
        self.consecutive_no_responses = 0
        self._note_outcome(0.0, now)
        if queueing_factor > UNQUEUED_FULLNESS:
            self.base_seconds = min(self.base_seconds, seconds)
            return False
        weight = BASE_WEIGHT if self.answers > FIRST_ANSWERS else FIRST_WEIGHT
        self.base_seconds += weight * (seconds / self.slowdown_factor(now) - self.base_seconds)
        return True

    def record_timeout(self, seconds: float, queueing_factor: float, now: float) -> float:
        """Records a request whose time ran out at the server: it takes at least that long.

        Returns the least service time that this tells, without the expected time in the queue.
        """
        unqueued = seconds / max(1.0, queueing_factor)
        base = unqueued / self.slowdown_factor(now)
        self.base_seconds += LATE_WEIGHT * max(0.0, base - self.base_seconds)
        self.record_no_response(now)
        return unqueued

    def record_failure(self, now: float) -> None:
        """Records a request that failed at the server or was declined without need."""
        self._note_outcome(1.0, now)

    def record_no_response(self, now: float) -> None:
        """Takes a connection that could not be opened or that brought no answer."""
        self.consecutive_no_responses += 1
        self._note_outcome(1.0, now)

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the recent part of failures; it fades while the server gets no requests."""
        age = max(0.0, now - self.failure_rate_at)
        return self.failure_rate * math.exp(-age / FAILURE_DECAY_SECONDS)

    def slowdown_factor(self, now: float) -> float:
        """Returns the present service time relative to the normal one, which is 1."""
        if self.reported_load is None:
            return 1.0
        age = max(0.0, now - self.reported_at)
        return 1.0 + (self.reported_load.slowdown_factor - 1.0) * math.exp(
            -age / PACE_DECAY_SECONDS
        )

    def expected_load(self, now: float) -> float:
        """Returns how many requests the server is expected to hold, those of others included."""
        if self.reported_load is None:
            return float(self.in_flight)
        age = max(0.0, now - self.reported_at)
        others = (
            self.reported_load.running + self.reported_load.waiting - self.own_in_flight_at_report
        )
        decay = max(LEAST_REPORT_DECAY_SECONDS, REPORT_DECAY_WORK * self.base_seconds)
        return self.in_flight + max(0, others) * math.exp(-age / decay)

    def queueing_factor(self, now: float) -> float:
        """Returns by how much one more request is stretched by those that the server holds."""
        slots = self.server.slots
        held = self.expected_load(now)
        slowdown = 1.0 + FULLNESS_SLOWDOWN * min(1.0, held / slots)
        return slowdown * (1.0 + max(0.0, held + 1.0 - slots) / slots)

    def expected_seconds(self, now: float) -> float:
        """Returns how long one more request is expected to take."""
        return self.base_seconds * self.slowdown_factor(now) * self.queueing_factor(now)

    def expected_wait_seconds(self, now: float) -> float:
        """Returns how long one more request waits at this daemon while the server has no room.

        A full server ends as many requests a service time as it has slots; other daemons wait for
        the same room.
        """
        seconds = self.base_seconds * self._outlook(now) / self.server.slots
        return (self.queued + 1) * seconds * CONTENTION

    def expected_seconds_after_wait(self, now: float) -> float:
        """Returns how long a request takes that is sent after a wait."""
        return self.base_seconds * self._outlook(now) * self.queueing_factor(now)

    def _outlook(self, now: float) -> float:
        return 1.0 + (self.slowdown_factor(now) - 1.0) * PACE_OUTLOOK

    def _note_outcome(self, outcome: float, now: float) -> None:
        rate = self.decayed_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (outcome - rate)
        self.failure_rate_at = now
