"""The stages of the shutdown of a daemon."""

from fireflylink_core import BaseValue

ACCEPTING_SECONDS = 2.5
"""How long a daemon that shuts down answers readiness checks with not ready, but still accepts
connections. The load balancer checks twice within this time, and then sends no new connections."""

HANDLING_SECONDS = 3.0
"""How long it handles new requests. A caller that is already connected can still send one for half
a second after the daemon has stopped accepting connections."""

MAX_ACCEPTING_FRACTION = 0.5
MAX_HANDLING_FRACTION = 0.6
"""Parts of the time until the last answer that these stages may take when the grace is short: the
rest is for requests in progress."""

ANSWER_MARGIN_SECONDS = 0.15
"""Time for the last answers to be written, before the connections are closed."""

END_MARGIN_SECONDS = 0.4
"""Reserved for the end of the process."""

SERVICE_TIME_FACTOR = 3.0
"""Few requests take more than this many times as long as expected."""


class ShutdownPlan(BaseValue):
    """The times of the stages, in seconds on the daemon's clock.

    New connections are accepted until ``accepts_until``, and new requests are handled until
    ``handles_until``. At ``answers_until`` every request that is still in progress gets an answer,
    and at ``ends_at`` the connections are closed.
    """

    __slots__ = ("accepts_until", "answers_until", "ends_at", "handles_until")

    def __init__(
        self, accepts_until: float, handles_until: float, answers_until: float, ends_at: float
    ) -> None:
        self.accepts_until = accepts_until
        self.handles_until = handles_until
        self.answers_until = answers_until
        self.ends_at = ends_at

    @classmethod
    def of(cls, started_at: float, leave_seconds: float) -> "ShutdownPlan":
        """Returns the plan of a shutdown that may take ``leave_seconds``."""
        ends_after = max(0.0, leave_seconds - END_MARGIN_SECONDS)
        answers_after = max(0.0, ends_after - ANSWER_MARGIN_SECONDS)
        return cls(
            started_at + min(ACCEPTING_SECONDS, answers_after * MAX_ACCEPTING_FRACTION),
            started_at + min(HANDLING_SECONDS, answers_after * MAX_HANDLING_FRACTION),
            started_at + answers_after,
            started_at + ends_after,
        )

    def may_pass_on(self, expected_seconds: float, deadline: float, now: float) -> bool:
        """Whether a request that a server is expected to run for so long can end in time.

        It also can if its own deadline comes before that of the last answers.

        A request that is passed on and then cut may have run, and its caller must not repeat it.
        One that is refused can be sent to another daemon.
        """
        ends_by = now + expected_seconds * SERVICE_TIME_FACTOR
        return deadline < self.answers_until or ends_by <= self.answers_until

    def bounded_deadline(self, deadline: float) -> float:
        """Returns the time until which a request in progress may be answered."""
        return min(deadline, self.answers_until)
