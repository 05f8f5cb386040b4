"""Whether a request is sent again after an attempt, and what its caller is told if not."""

from fireflylink_core import (
    Answered,
    BaseCallResult,
    BaseReply,
    BaseValue,
    Declined,
    Lost,
    LostReason,
    NotRun,
    NotSent,
    OutcomeUnknown,
)

MAX_UNSENT = 4
"""Connections that could not be opened, before a request is given up."""

MAX_MISDIRECTED = 3
MINIMUM_SECONDS = 0.05
"""With less time left, another attempt could not be answered."""

SERVER_ERROR = 500
SHORT_RETRY_SECONDS = 0.25


class BaseNext(BaseValue):
    """What follows an attempt."""

    __slots__ = ()


class TryAgain(BaseNext):
    """Send the request again. ``arrived`` tells that the last attempt counts as an arrival."""

    __slots__ = ("arrived", "reason")

    def __init__(self, reason: str, arrived: bool) -> None:
        self.reason = reason
        self.arrived = arrived


class GiveUp(BaseNext):
    """Answer the caller."""

    __slots__ = ("reply",)

    def __init__(self, reply: BaseReply) -> None:
        self.reply = reply


class Attempts:
    """The attempts of one request.

    A request that may have run is sent again only if it may run twice. A request that certainly
    has not run is sent again within ``max_servers``, the time left and the shared budget.
    """

    __slots__ = (
        "arrivals",
        "max_servers",
        "maybe_run",
        "misdirected",
        "repeatable",
        "tried",
        "unsent",
    )

    def __init__(self, repeatable: bool, max_servers: int) -> None:
        self.repeatable = repeatable
        self.max_servers = max_servers
        self.tried: list[str] = []
        self.arrivals = 0
        self.misdirected = 0
        self.unsent = 0
        self.maybe_run = False

    def note_sent(self, server_id: str) -> None:
        """Takes note of the server that an attempt goes to."""
        self.tried.append(server_id)

    def next(self, result: BaseCallResult, seconds_left: float, budget_allows: bool) -> BaseNext:
        """Returns what follows an attempt that ended with ``result``."""
        if isinstance(result, Answered):
            return self._after_answer(result, seconds_left, budget_allows)
        if isinstance(result, NotSent):
            self.unsent += 1
            if self.unsent < MAX_UNSENT and seconds_left > MINIMUM_SECONDS:
                return TryAgain("not-sent", arrived=False)
            return GiveUp(self.refusal("unreachable", SHORT_RETRY_SECONDS))
        if isinstance(result, Declined):
            return self._after_refusal(result, seconds_left, budget_allows)
        if isinstance(result, Lost):
            return self._after_loss(result, seconds_left, budget_allows)
        raise TypeError(type(result).__name__)

    def refusal(self, reason: str, retry_after: float) -> BaseReply:
        """Returns the reply to a request that is not sent (again)."""
        if self.maybe_run:
            return OutcomeUnknown(reason)
        return NotRun(reason, retry_after=retry_after)

    def _after_answer(self, result: Answered, seconds_left: float, budget_allows: bool) -> BaseNext:
        self.arrivals += 1
        self.maybe_run = True
        failed = result.answer.status >= SERVER_ERROR
        if failed and self.repeatable and self._may_repeat(seconds_left, budget_allows):
            return TryAgain(f"status-{result.answer.status}", arrived=True)
        return GiveUp(result.answer)

    def _after_refusal(
        self, result: Declined, seconds_left: float, budget_allows: bool
    ) -> BaseNext:
        if result.misdirected:
            self.misdirected += 1
            again = self.misdirected < MAX_MISDIRECTED
            if again and budget_allows and seconds_left > MINIMUM_SECONDS:
                return TryAgain("misdirected", arrived=True)
            return GiveUp(self.refusal("misdirected", SHORT_RETRY_SECONDS))
        self.arrivals += 1
        if self._may_repeat(seconds_left, budget_allows):
            return TryAgain(f"declined-{result.status}", arrived=True)
        return GiveUp(self.refusal("declined", SHORT_RETRY_SECONDS))

    def _after_loss(self, result: Lost, seconds_left: float, budget_allows: bool) -> BaseNext:
        self.arrivals += 1
        self.maybe_run = True
        if self.repeatable and self._may_repeat(seconds_left, budget_allows):
            return TryAgain(f"lost-{result.reason.value}", arrived=True)
        return GiveUp(OutcomeUnknown(result.reason.value, result.reason is LostReason.LATE))

    def _may_repeat(self, seconds_left: float, budget_allows: bool) -> bool:
        return self.arrivals < self.max_servers and budget_allows and seconds_left > MINIMUM_SECONDS
