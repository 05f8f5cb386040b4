"""What became of the requests of a run."""

from hdrh.histogram import HdrHistogram

from fireflylink_core import BaseReply, CallerDisconnected, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator._order import CallerOrder

MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_FIGURES = 3
SERVER_ERROR = 500
PERCENT = 100.0


class Tally:
    """Counts over one run. A request is all attempts of a caller together.

    ``doubled``, ``lost`` and ``wrongly_refused`` are broken promises: an order that ran twice in
    one attempt, an answer of an order that never ran, and a refusal of one that ran.
    """

    __slots__ = (
        "asked",
        "doubled",
        "earned",
        "failed",
        "in_time",
        "late",
        "latency",
        "lost",
        "owed",
        "refused",
        "refused_orders",
        "wrongly_refused",
    )

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.failed = 0
        self.owed = 0.0
        self.earned = 0.0
        self.doubled = 0
        self.lost = 0
        self.wrongly_refused = 0
        self.latency = HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_FIGURES)
        self.refused_orders: list[CallerOrder] = []

    @property
    def worth(self) -> float:
        """The part of what was owed that was earned."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def broken_promises(self) -> int:
        """How many promises were broken; call ``close`` first."""
        return self.doubled + self.lost + self.wrongly_refused

    def percentile(self, part: float) -> float:
        """Returns the latency in seconds that a part of the answered requests kept to."""
        value = self.latency.get_value_at_percentile(part * PERCENT)
        return float(value) / MICROSECONDS_PER_SECOND

    def note_asked(self, order: CallerOrder) -> None:
        """Takes the first attempt of a request."""
        self.asked += 1
        self.owed += order.profile.worth

    def note_attempt(self, order: CallerOrder, reply: BaseReply) -> None:
        """Takes the end of one attempt, for the promises."""
        if isinstance(reply, ServerAnswer) and order.runs == 0:
            self.lost += 1
        if isinstance(reply, NotRun):
            if order.runs:
                self.wrongly_refused += 1
            else:
                self.refused_orders.append(order)

    def note_runs(self, order: CallerOrder) -> None:
        """Takes the runs of an attempt that is over."""
        if order.runs > 1 and not order.profile.repeatable:
            self.doubled += 1

    def note_end(self, order: CallerOrder, reply: BaseReply, now: float) -> None:
        """Takes the end of a request after its last attempt."""
        if isinstance(reply, ServerAnswer) and reply.status < SERVER_ERROR:
            self._note_served(order, now)
        elif isinstance(reply, NotRun):
            self.refused += 1
        elif isinstance(reply, ServerAnswer | OutcomeUnknown | CallerDisconnected):
            self.failed += 1

    def close(self) -> None:
        """Counts refusals of orders that ran after all."""
        self.wrongly_refused += sum(1 for order in self.refused_orders if order.runs)
        self.refused_orders = []

    def _note_served(self, order: CallerOrder, now: float) -> None:
        seconds = now - order.asked_at
        self.latency.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        if seconds <= order.profile.objective_seconds:
            self.in_time += 1
            self.earned += order.profile.worth
        else:
            self.late += 1
            self.earned += order.profile.late_worth
