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


class BaseRetryDecision(BaseValue):
    """What follows an attempt."""

    __slots__ = ()


class Retry(BaseRetryDecision):
    """Send the request again.

    ``reached_server`` tells that the last attempt reached a server.
    """

    __slots__ = ("reached_server", "reason")

    def __init__(self, reason: str, reached_server: bool) -> None:
        self.reason = reason
        self.reached_server = reached_server


class ReturnReply(BaseRetryDecision):
    """Answer the caller."""

    __slots__ = ("reply",)

    def __init__(self, reply: BaseReply) -> None:
        self.reply = reply


class Attempts:
    """The attempts of one request.

    A request that may have run is sent again only if it may run twice. A request that certainly
    has not run is sent again within ``max_attempts``, the time left and the shared budget.
    """

    __slots__ = (
        "connect_failures",
        "counted_attempts",
        "idempotent",
        "max_attempts",
        "may_have_run",
        "misdirections",
        "tried_servers",
    )

    def __init__(self, idempotent: bool, max_attempts: int) -> None:
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.tried_servers: list[str] = []
        self.counted_attempts = 0
        self.misdirections = 0
        self.connect_failures = 0
        self.may_have_run = False

    def record_sent(self, server_id: str) -> None:
        """Takes note of the server that an attempt goes to."""
        self.tried_servers.append(server_id)

    def decide(
        self, result: BaseCallResult, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        """Returns what follows an attempt that ended with ``result``."""
        if isinstance(result, Answered):
            return self._after_answer(result, seconds_left, budget_allows)
        if isinstance(result, NotSent):
            self.connect_failures += 1
            if self.connect_failures < MAX_UNSENT and seconds_left > MINIMUM_SECONDS:
                return Retry("not-sent", reached_server=False)
            return ReturnReply(self.refusal_reply("unreachable", SHORT_RETRY_SECONDS))
        if isinstance(result, Declined):
            return self._after_refusal(result, seconds_left, budget_allows)
        if isinstance(result, Lost):
            return self._after_loss(result, seconds_left, budget_allows)
        raise TypeError(type(result).__name__)

    def refusal_reply(self, reason: str, retry_after: float) -> BaseReply:
        """Returns the reply to a request that is not sent (again)."""
        if self.may_have_run:
            return OutcomeUnknown(reason)
        return NotRun(reason, retry_after=retry_after)

    def _after_answer(
        self, result: Answered, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        self.counted_attempts += 1
        self.may_have_run = True
        failed = result.answer.status >= SERVER_ERROR
        if failed and self.idempotent and self._may_repeat(seconds_left, budget_allows):
            return Retry(f"status-{result.answer.status}", reached_server=True)
        return ReturnReply(result.answer)

    def _after_refusal(
        self, result: Declined, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        if result.misdirected:
            self.misdirections += 1
            again = self.misdirections < MAX_MISDIRECTED
            if again and budget_allows and seconds_left > MINIMUM_SECONDS:
                return Retry("misdirected", reached_server=True)
            return ReturnReply(self.refusal_reply("misdirected", SHORT_RETRY_SECONDS))
        self.counted_attempts += 1
        if self._may_repeat(seconds_left, budget_allows):
            return Retry(f"declined-{result.status}", reached_server=True)
        return ReturnReply(self.refusal_reply("declined", SHORT_RETRY_SECONDS))

    def _after_loss(
        self, result: Lost, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        self.counted_attempts += 1
        self.may_have_run = True
        if self.idempotent and self._may_repeat(seconds_left, budget_allows):
            return Retry(f"lost-{result.reason.value}", reached_server=True)
        return ReturnReply(OutcomeUnknown(result.reason.value, result.reason is LostReason.LATE))

    def _may_repeat(self, seconds_left: float, budget_allows: bool) -> bool:
        return (
            self.counted_attempts < self.max_attempts
            and budget_allows
            and seconds_left > MINIMUM_SECONDS
        )
