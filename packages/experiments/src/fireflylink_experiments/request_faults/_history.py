"""What happened to the generated requests, and which guarantees were violated."""

from fireflylink_core import BaseReply, Outcome


class RequestHistory:
    """One request of a caller, with all repetitions under one request id."""

    __slots__ = ("first_run_at", "idempotent", "runs")

    def __init__(self, idempotent: bool) -> None:
        self.idempotent = idempotent
        self.runs = 0
        self.first_run_at = float("inf")

    def ran(self, now: float) -> None:
        """Notes that a server has started the request."""
        self.runs += 1
        self.first_run_at = min(self.first_run_at, now)


class Violations:
    """Counts of requests and of violated guarantees."""

    __slots__ = (
        "attempts",
        "doubled",
        "highest_cold_load",
        "open_attempts",
        "outcomes",
        "requests",
        "wrongly_not_run",
    )

    def __init__(self) -> None:
        self.requests = 0
        self.attempts = 0
        self.open_attempts = 0
        self.doubled = 0
        self.wrongly_not_run = 0
        self.highest_cold_load = 0
        self.outcomes: dict[str, int] = {}

    def ran(self, history: RequestHistory, now: float) -> None:
        """Notes a run; a second run of a non-idempotent request is a violation."""
        history.ran(now)
        if history.runs == 2 and not history.idempotent:
            self.doubled += 1

    def told(self, history: RequestHistory, reply: BaseReply, attempt_ran: bool) -> None:
        """Notes what a caller was told about one of its attempts.

        A non-idempotent request must not have run at all when its caller is told so, whichever
        attempt ran it; an idempotent one must not have run in this attempt.
        """
        self.open_attempts -= 1
        reason = getattr(reply, "reason", "")
        name = f"{reply.outcome.value} {reason}".strip()
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if reply.outcome is not Outcome.NOT_RUN:
            return
        if attempt_ran or (history.runs and not history.idempotent):
            self.wrongly_not_run += 1

    @property
    def total(self) -> int:
        """All violations: doubled, lost and wrongly reported requests."""
        return self.doubled + self.open_attempts + self.wrongly_not_run
