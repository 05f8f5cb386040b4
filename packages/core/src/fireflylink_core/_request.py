"""Requests of callers, and what a caller is told."""

from fireflylink_core._value import BaseValue

Headers = tuple[tuple[str, str], ...]

NO_KEY = -1
"""``key`` of a request that carries none."""


class CallerRequest(BaseValue):
    """One attempt of a caller, whole.

    ``target`` is the path with its query, as it was sent. ``deadline`` is in seconds on the
    daemon's clock; ``headers`` are those that are passed on unchanged. ``key`` is ``NO_KEY`` when
    the caller sent none.
    """

    __slots__ = (
        "body",
        "deadline",
        "headers",
        "host",
        "key",
        "method",
        "received_at",
        "request_id",
        "target",
    )

    def __init__(
        self,
        request_id: str,
        host: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_at: float,
        deadline: float,
        key: int = NO_KEY,
    ) -> None:
        self.request_id = request_id
        self.host = host
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self.deadline = deadline
        self.key = key

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class BaseReply(BaseValue):
    """What a caller is told."""

    __slots__ = ()


class ServerAnswer(BaseReply):
    """The whole answer of a backend server, unchanged."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class NotRun(BaseReply):
    """A promise: the request has not run and never will.

    ``reason`` is a stable word for programs and logs. ``retry_after`` is in seconds; None tells
    that sending the request again unchanged cannot help.
    """

    __slots__ = ("reason", "retry_after", "status")

    def __init__(self, reason: str, status: int = 503, retry_after: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after = retry_after


class OutcomeUnknown(BaseReply):
    """The request may have run; it is not sent again. ``timed_out`` tells that time ran out."""

    __slots__ = ("reason", "timed_out")

    def __init__(self, reason: str, timed_out: bool = False) -> None:
        self.reason = reason
        self.timed_out = timed_out


class CallerDisconnected(BaseReply):
    """The caller closed its connection: there is nobody to tell."""

    __slots__ = ()
