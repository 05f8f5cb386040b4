"""Requests of callers and the three outcomes that a caller is told."""

import enum

from fireflylink_core._value import BaseValue

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
MAX_REQUEST_BYTES = 1 << 20
MAX_ANSWER_BYTES = 4 << 20


class Outcome(enum.Enum):
    """What the system knows about a request when it answers the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class CallerRequest(BaseValue):
    """A request as it was accepted at an entry daemon.

    ``deadline`` is in seconds on the clock of the daemon that holds the request. ``key`` is empty
    for a pooled service. ``request_id`` is the caller's UUIDv7, empty when an idempotent request
    has none.
    """

    __slots__ = (
        "body",
        "content_type",
        "deadline",
        "key",
        "method",
        "query",
        "request_id",
        "service",
        "tenant",
    )

    def __init__(
        self,
        service: str,
        key: str,
        method: str,
        body: bytes,
        deadline: float,
        tenant: str = "default",
        request_id: str = "",
        content_type: str = "",
        query: str = "",
    ) -> None:
        self.service = service
        self.key = key
        self.method = method
        self.body = body
        self.deadline = deadline
        self.tenant = tenant
        self.request_id = request_id
        self.content_type = content_type
        self.query = query

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once without harm."""
        return self.method in IDEMPOTENT_METHODS


class BaseReply(BaseValue):
    """What a caller is told: one of the three outcomes."""

    __slots__ = ()

    outcome: Outcome


class BackendAnswer(BaseReply):
    """The backend server's own answer, whole."""

    __slots__ = ("body", "content_type", "server_id", "status")

    outcome = Outcome.ANSWERED

    def __init__(self, status: int, body: bytes, content_type: str, server_id: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.server_id = server_id


class NotRun(BaseReply):
    """The request certainly was not run.

    ``reason`` is a stable word for programs, ``detail`` a sentence for people. ``status`` is the
    HTTP status. ``retry_after_ms`` is 0 when sending the request again unchanged cannot help.
    """

    __slots__ = ("detail", "reason", "retry_after_ms", "status")

    outcome = Outcome.NOT_RUN

    def __init__(
        self, reason: str, detail: str, status: int = 503, retry_after_ms: int = 0
    ) -> None:
        self.reason = reason
        self.detail = detail
        self.status = status
        self.retry_after_ms = retry_after_ms


class OutcomeUnknown(BaseReply):
    """The request may or may not have run, and the system does not run it again."""

    __slots__ = ("detail", "reason")

    outcome = Outcome.UNKNOWN

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        self.detail = detail
