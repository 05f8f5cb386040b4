"""What happened to every simulated request, and what its caller was told."""

from collections.abc import Callable

from fireflylink_core import Outcome

NEVER = float("inf")


class RequestRecord:
    """The history of one request; times in seconds."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "ended_at",
        "follow_up",
        "idempotent",
        "outcome",
        "reason",
        "runs",
    )

    def __init__(self, arrived_at: float, idempotent: bool) -> None:
        self.arrived_at = arrived_at
        self.idempotent = idempotent
        self.attempts = 0
        self.runs = 0
        self.ended_at = NEVER
        self.outcome: Outcome | None = None
        self.reason = ""
        self.follow_up: Callable[[RequestRecord], None] | None = None

    def answered_within(self, first: float, last: float) -> bool:
        """Tells whether the caller got an answer in a period."""
        return self.outcome is Outcome.ANSWERED and first <= self.ended_at < last


class Ledger:
    """Collects the records of a run and counts violations of the guarantees."""

    __slots__ = ("crashes", "highest_cold_load", "late_work", "records")

    def __init__(self) -> None:
        self.records: list[RequestRecord] = []
        self.highest_cold_load = 0
        self.crashes = 0
        self.late_work = 0

    @property
    def doubled(self) -> int:
        """Non-idempotent requests that ran more than once."""
        return sum(1 for record in self.records if record.runs > 1 and not record.idempotent)

    @property
    def lost(self) -> int:
        """Requests whose caller was told nothing."""
        return sum(1 for record in self.records if record.outcome is None)

    @property
    def wrongly_not_run(self) -> int:
        """Requests that ran although their caller was told that they did not."""
        return sum(1 for r in self.records if r.runs and r.outcome is Outcome.NOT_RUN)
