"""How a call to a backend server ended."""

import enum

from fireflylink_core import BackendAnswer, BaseValue


class CallOutcome(enum.Enum):
    """The ways in which a call can end.

    ``NOT_RUN``: the server says by its contract that it did not run the request. ``NOT_SENT``: the
    call failed before any byte was sent. ``CONNECTION_LOST``: the connection ended after bytes were
    sent. ``DEADLINE_PASSED``: no answer in time. ``TRUNCATED``: the answer ended early.
    ``CANCELLED``: the caller went away and the connection was closed.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    NOT_SENT = "not-sent"
    CONNECTION_LOST = "connection-lost"
    DEADLINE_PASSED = "deadline-passed"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"


class CallResult(BaseValue):
    """The end of one call.

    ``latency`` is in seconds since the request was handed over. ``generation`` is that of the
    server if a reply named it. ``not_run_reason`` is the server's word for ``NOT_RUN``: ``busy``,
    ``draining``, ``stale-grant`` or ``deadline``. ``refused`` tells that the server refused the
    connection, which is evidence that its process has ended.
    """

    __slots__ = ("answer", "generation", "latency", "not_run_reason", "outcome", "refused")

    def __init__(
        self,
        outcome: CallOutcome,
        latency: float,
        generation: str = "",
        answer: BackendAnswer | None = None,
        not_run_reason: str = "",
        refused: bool = False,
    ) -> None:
        self.outcome = outcome
        self.latency = latency
        self.generation = generation
        self.answer = answer
        self.not_run_reason = not_run_reason
        self.refused = refused

    @property
    def certainly_not_run(self) -> bool:
        """Whether the request was certainly not run by this call."""
        return self.outcome in NOT_RUN_OUTCOMES


NOT_RUN_OUTCOMES = frozenset({CallOutcome.NOT_RUN, CallOutcome.NOT_SENT})
