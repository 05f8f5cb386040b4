"""State of one server, measured from this daemon's requests and reported with the answers."""

import math

from fireflylink_core import BackendServer, SendWindow, ServerLoad
from fireflylink_decisions.limits import ColdServerLimiter, FleetPosition
from fireflylink_decisions.servers._pause_limiter import PauseLimiter, offset_fraction

DEFAULT_IDLE_SERVICE_SECONDS = 0.12
"""Service time assumed before the first answer."""

IDLE_SERVICE_WEIGHT = 0.15
"""Weight of an answer in ``idle_service_seconds``, which is a moving average."""

INITIAL_ANSWER_COUNT = 4
INITIAL_IDLE_SERVICE_WEIGHT = 0.5
"""Weight of each of the first ``INITIAL_ANSWER_COUNT`` answers."""

MAX_UNQUEUED_FACTOR = 1.4
"""Queueing factor up to which a request is assumed to have found a free slot at once."""

FAILURE_RATE_WEIGHT = 0.15
TIMEOUT_IDLE_SERVICE_WEIGHT = 0.5
REPORT_DECAY_SERVICE_TIMES = 2.0
"""A reported load decays within about this many service times, because the reported requests end
meanwhile."""

MIN_REPORT_DECAY_SECONDS = 0.1
LASTING_SLOWDOWN_FRACTION = 0.4
"""Fraction of the present slowdown that is expected to last over a wait: a machine that is slow now
usually recovers before a queue is processed."""

CONTENTION_FACTOR = 2.0
"""Of the slots that become free, the other daemons together are assumed to take as many as this one
does, whatever their number."""

SLOWDOWN_DECAY_SECONDS = 0.5
FAILURE_DECAY_SECONDS = 3.0
OCCUPANCY_INCREASE = 0.3
"""Relative increase of the service time when all slots of a server are occupied."""


class ServerTracker:
    """In-flight requests, reported load, speed and failures of one incarnation of a server.

    ``idle_service_seconds`` is the service time while the server is idle and at its normal speed.
    ``failure_rate`` is a moving average of the fraction of requests that failed, as of
    ``failure_rate_at``. ``send_window`` is when the server may get new requests.
    ``logged_problems`` are the kinds of unusable announcements of the server that have been logged.
    Reported values decay exponentially with their age.
    """

    __slots__ = (
        "announced_leaving",
        "answers",
        "cold_limiter",
        "consecutive_no_responses",
        "failure_rate",
        "failure_rate_at",
        "idle_service_seconds",
        "in_flight",
        "logged_problems",
        "own_in_flight_at_report",
        "pause_limiter",
        "pause_logged_at",
        "queued",
        "reported_at",
        "reported_load",
        "send_window",
        "server",
    )

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.cold_limiter = ColdServerLimiter()
        self.in_flight = 0
        self.answers = 0
        self.idle_service_seconds = DEFAULT_IDLE_SERVICE_SECONDS
        self.failure_rate = 0.0
        self.failure_rate_at = 0.0
        self.reported_load: ServerLoad | None = None
        self.reported_at = 0.0
        self.own_in_flight_at_report = 0
        self.consecutive_no_responses = 0
        self.queued = 0
        self.send_window = SendWindow()
        self.pause_limiter = PauseLimiter(self.send_window)
        self.pause_logged_at = float("-inf")
        self.announced_leaving = False
        self.logged_problems: set[str] = set()

    def record_sent(self, now: float) -> None:
        """Counts a request that is about to be sent."""
        self.in_flight += 1
        self.cold_limiter.record_sent(now)
        if now < self.send_window.restricted_until:
            self.pause_limiter.record_sent(now)

    def record_completed(self) -> None:
        """Counts a request as ended, whatever its result."""
        self.in_flight -= 1

    def record_load(self, load: ServerLoad, now: float) -> None:
        """Records the load that the server reported with an answer.

        The answered request must have been counted as ended before; the load does not include it.
        """
        self.reported_load = load
        self.reported_at = now
        self.own_in_flight_at_report = self.in_flight

    def record_answer(self, seconds: float, queueing_factor: float, now: float) -> bool:
        """Records an answer, its time, and the queueing factor expected when it was sent.

        Returns whether the time reflects the server's speed. With a queue at the server it reflects
        mostly the queue, and dividing it by the expected queueing factor would make overloaded
        servers look fast.
        """
        self.answers += 1
        self.consecutive_no_responses = 0
        self._update_failure_rate(0.0, now)
        if queueing_factor > MAX_UNQUEUED_FACTOR:
            self.idle_service_seconds = min(self.idle_service_seconds, seconds)
            return False
        weight = (
            IDLE_SERVICE_WEIGHT
            if self.answers > INITIAL_ANSWER_COUNT
            else INITIAL_IDLE_SERVICE_WEIGHT
        )
        self.idle_service_seconds += weight * (
            seconds / self.slowdown_factor(now) - self.idle_service_seconds
        )
        return True

    def record_timeout(self, seconds: float, queueing_factor: float, now: float) -> float:
        """Records a request that timed out at the server, which would take at least that long.

        Returns a lower bound of the service time, without the expected effect of queueing.
        """
        unqueued_seconds = seconds / max(1.0, queueing_factor)
        base = unqueued_seconds / self.slowdown_factor(now)
        self.idle_service_seconds += TIMEOUT_IDLE_SERVICE_WEIGHT * max(
            0.0, base - self.idle_service_seconds
        )
        self.record_no_response(now)
        return unqueued_seconds

    def record_failure(self, now: float) -> None:
        """Records a request that failed, or was declined for another reason than its key."""
        self._update_failure_rate(1.0, now)

    def record_no_response(self, now: float) -> None:
        """Records that a connection could not be opened or that no answer came."""
        self.consecutive_no_responses += 1
        self._update_failure_rate(1.0, now)

    def record_pause(self, until: float, now: float, position: FleetPosition) -> bool:
        """Records that the server wants no requests until a time; returns whether it was earlier.

        After it, this daemon's requests return at its share of the pace that the server sustains.
        """
        interval_seconds = self.idle_service_seconds / position.equal_share(self.server.slots)
        offset = offset_fraction(position.instance, self.server.server_id)
        return self.pause_limiter.start(until, now, interval_seconds, offset)

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the failure rate, which decays while the server gets no requests."""
        age = max(0.0, now - self.failure_rate_at)
        return self.failure_rate * math.exp(-age / FAILURE_DECAY_SECONDS)

    def slowdown_factor(self, now: float) -> float:
        """Returns the present service time relative to normal, 1 being normal."""
        if self.reported_load is None:
            return 1.0
        age = max(0.0, now - self.reported_at)
        return 1.0 + (self.reported_load.slowdown_factor - 1.0) * math.exp(
            -age / SLOWDOWN_DECAY_SECONDS
        )

    def expected_load(self, now: float) -> float:
        """Returns the expected number of requests at the server, from this and other daemons."""
        if self.reported_load is None:
            return float(self.in_flight)
        age = max(0.0, now - self.reported_at)
        others = (
            self.reported_load.running + self.reported_load.waiting - self.own_in_flight_at_report
        )
        decay = max(
            MIN_REPORT_DECAY_SECONDS, REPORT_DECAY_SERVICE_TIMES * self.idle_service_seconds
        )
        return self.in_flight + max(0, others) * math.exp(-age / decay)

    def queueing_factor(self, now: float) -> float:
        """Returns the factor by which the present load lengthens the time of one more request."""
        slots = self.server.slots
        load = self.expected_load(now)
        occupancy_factor = 1.0 + OCCUPANCY_INCREASE * min(1.0, load / slots)
        return occupancy_factor * (1.0 + max(0.0, load + 1.0 - slots) / slots)

    def expected_seconds(self, now: float) -> float:
        """Returns how long a request that is sent now is expected to take."""
        return self.idle_service_seconds * self.slowdown_factor(now) * self.queueing_factor(now)

    def expected_wait_seconds(self, now: float) -> float:
        """Returns how long one more request is expected to queue at this daemon for a full server.

        A full server completes as many requests per service time as it has slots. Other daemons
        queue for the same slots.
        """
        seconds = self.idle_service_seconds * self._lasting_slowdown_factor(now) / self.server.slots
        return (self.queued + 1) * seconds * CONTENTION_FACTOR

    def expected_seconds_after_wait(self, now: float) -> float:
        """Returns how long a request sent after ``expected_wait_seconds`` is expected to take."""
        return (
            self.idle_service_seconds
            * self._lasting_slowdown_factor(now)
            * self.queueing_factor(now)
        )

    def _lasting_slowdown_factor(self, now: float) -> float:
        return 1.0 + (self.slowdown_factor(now) - 1.0) * LASTING_SLOWDOWN_FRACTION

    def _update_failure_rate(self, failed: float, now: float) -> None:
        rate = self.decayed_failure_rate(now)
        self.failure_rate = rate + FAILURE_RATE_WEIGHT * (failed - rate)
        self.failure_rate_at = now
