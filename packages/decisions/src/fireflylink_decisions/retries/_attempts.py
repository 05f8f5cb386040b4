"""Decision whether a request is retried after an attempt, and the reply to its caller if not."""

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

MAX_CONNECT_FAILURES = 4
"""Number of attempts without a connection after which a request is refused."""

MAX_MISDIRECTIONS = 3
"""Number of attempts declined as misdirected after which a request is refused."""

MIN_ATTEMPT_SECONDS = 0.05
"""With less time left until the deadline, another attempt could not be answered in time."""

MIN_SERVER_ERROR_STATUS = 500
RETRY_AFTER_SECONDS = 0.25
"""Retry-after of a request that has not run and is not retried by the daemon."""


class BaseRetryDecision(BaseValue):
    """What to do after an attempt."""

    __slots__ = ()


class Retry(BaseRetryDecision):
    """Send the request again.

    ``reached_server`` is true if the last attempt reached a server, so that the retry counts
    towards the retry budget.
    """

    __slots__ = ("reached_server", "reason")

    def __init__(self, reason: str, reached_server: bool) -> None:
        self.reason = reason
        self.reached_server = reached_server


class ReturnReply(BaseRetryDecision):
    """Return a reply to the caller."""

    __slots__ = ("reply",)

    def __init__(self, reply: BaseReply) -> None:
        self.reply = reply


class Attempts:
    """The attempts of one request.

    A request that may have run is retried only if it is idempotent; one that certainly has not run
    is retried whether it is idempotent or not. Retries are limited by ``max_attempts``, the time
    left and the shared retry budget. Failed connections and misdirected attempts do not count
    towards ``max_attempts`` and have their own limits; a failed connection needs no budget either.
    An attempt that was not sent because its server wants no requests now is not limited: the next
    one waits for that server or goes to another one.
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
        """Records the server to which an attempt is sent."""
        self.tried_servers.append(server_id)

    def decide(
        self,
        result: BaseCallResult,
        seconds_left: float,
        budget_allows: bool,
        retry_after: float = RETRY_AFTER_SECONDS,
    ) -> BaseRetryDecision:
        """Returns whether to retry after an attempt that ended with ``result``.

        A caller whose request was declined and is not retried is told to return after
        ``retry_after`` seconds.
        """
        if isinstance(result, Answered):
            return self._after_answer(result, seconds_left, budget_allows)
        if isinstance(result, NotSent) and result.withheld:
            return self._after_withholding(seconds_left)
        if isinstance(result, NotSent):
            self.connect_failures += 1
            if self.connect_failures < MAX_CONNECT_FAILURES and seconds_left > MIN_ATTEMPT_SECONDS:
                return Retry("not-sent", reached_server=False)
            return ReturnReply(self.final_reply("unreachable", RETRY_AFTER_SECONDS))
        if isinstance(result, Declined):
            return self._after_decline(result, seconds_left, budget_allows, retry_after)
        if isinstance(result, Lost):
            return self._after_loss(result, seconds_left, budget_allows)
        raise TypeError(type(result).__name__)

    def final_reply(self, reason: str, retry_after: float) -> BaseReply:
        """Returns the reply when no further attempt is made.

        It is ``OutcomeUnknown`` if an attempt may have run the request, ``NotRun`` if none has.
        """
        if self.may_have_run:
            return OutcomeUnknown(reason)
        return NotRun(reason, retry_after=retry_after)

    def _after_withholding(self, seconds_left: float) -> BaseRetryDecision:
        if seconds_left > MIN_ATTEMPT_SECONDS:
            return Retry("withheld", reached_server=False)
        return ReturnReply(self.final_reply("no-room", RETRY_AFTER_SECONDS))

    def _after_answer(
        self, result: Answered, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        self.counted_attempts += 1
        self.may_have_run = True
        is_server_error = result.answer.status >= MIN_SERVER_ERROR_STATUS
        if is_server_error and self.idempotent and self._may_retry(seconds_left, budget_allows):
            return Retry(f"status-{result.answer.status}", reached_server=True)
        return ReturnReply(result.answer)

    def _after_decline(
        self, result: Declined, seconds_left: float, budget_allows: bool, retry_after: float
    ) -> BaseRetryDecision:
        if result.misdirected:
            self.misdirections += 1
            below_limit = self.misdirections < MAX_MISDIRECTIONS
            if below_limit and budget_allows and seconds_left > MIN_ATTEMPT_SECONDS:
                return Retry("misdirected", reached_server=True)
            return ReturnReply(self.final_reply("misdirected", RETRY_AFTER_SECONDS))
        self.counted_attempts += 1
        if self._may_retry(seconds_left, budget_allows):
            return Retry(f"declined-{result.status}", reached_server=True)
        return ReturnReply(self.final_reply("declined", retry_after))

    def _after_loss(
        self, result: Lost, seconds_left: float, budget_allows: bool
    ) -> BaseRetryDecision:
        self.counted_attempts += 1
        self.may_have_run = True
        if self.idempotent and self._may_retry(seconds_left, budget_allows):
            return Retry(f"lost-{result.reason.value}", reached_server=True)
        # The second argument is ``timed_out``: no answer came before the deadline.
        return ReturnReply(OutcomeUnknown(result.reason.value, result.reason is LostReason.LATE))

    def _may_retry(self, seconds_left: float, budget_allows: bool) -> bool:
        return (
            self.counted_attempts < self.max_attempts
            and budget_allows
            and seconds_left > MIN_ATTEMPT_SECONDS
        )
