"""Requests of callers and the replies to them."""

from fireflylink_core._value import BaseValue

Headers = tuple[tuple[str, str], ...]

NO_KEY = -1
"""``CallerRequest.key`` of a request without a key."""


class CallerRequest(BaseValue):
    """A complete request, body included, as the daemon received it from a caller.

    ``target`` is the path with its query, as it was sent. ``headers`` are those that are forwarded
    unchanged. ``received_at`` and ``deadline`` are in seconds on the daemon's clock. ``key`` is
    ``NO_KEY`` if the caller sent none.
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
    """The reply to a caller."""

    __slots__ = ()


class ServerAnswer(BaseReply):
    """The complete answer of a backend server: status, body and end-to-end headers, unchanged."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class NotRun(BaseReply):
    """Guarantees that the request has not run and will not run.

    ``reason`` is a stable identifier for programs and logs. ``retry_after`` is in seconds; None
    means that retrying the same request does not help.
    """

    __slots__ = ("reason", "retry_after", "status")

    def __init__(self, reason: str, status: int = 503, retry_after: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after = retry_after


class OutcomeUnknown(BaseReply):
    """The request may have run, and the daemon does not retry it.

    ``reason`` is a stable identifier for programs and logs. ``timed_out`` is true if no answer came
    before the deadline.
    """

    __slots__ = ("reason", "timed_out")

    def __init__(self, reason: str, timed_out: bool = False) -> None:
        self.reason = reason
        self.timed_out = timed_out


class CallerDisconnected(BaseReply):
    """The caller closed its connection, so no reply can be sent."""

    __slots__ = ()
