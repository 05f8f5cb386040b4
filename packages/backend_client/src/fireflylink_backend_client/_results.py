"""What a call to a backend server came to."""

import enum

from fireflylink_core import BaseValue


class NotSentReason(enum.Enum):
    """Why no byte of a request was sent."""

    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    CONNECT_REFUSED = "connect-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_CLOSED = "connection-closed"
    MALFORMED_REQUEST = "malformed-request"
    POOL_CLOSED = "pool-closed"


class LostReason(enum.Enum):
    """Why the outcome of a request that was sent, at least in part, is not known.

    ``STALLED``: no byte came for ``PROGRESS_TIMEOUT`` within the answer, or none could be sent.
    """

    DEADLINE = "deadline"
    STALLED = "stalled"
    CANCELLED = "cancelled"
    RESET = "reset"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    MISMATCHED = "mismatched"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"


class CallHeaders(BaseValue):
    """Headers of one attempt. ``deadline_ms`` is in milliseconds on the server's own clock."""

    __slots__ = ("call_id", "deadline_ms", "epoch", "gateway_epoch", "shard")

    def __init__(
        self, call_id: str, deadline_ms: int, gateway_epoch: int, shard: int, epoch: int
    ) -> None:
        self.call_id = call_id
        self.deadline_ms = deadline_ms
        self.gateway_epoch = gateway_epoch
        self.shard = shard
        self.epoch = epoch


class BaseCallResult(BaseValue):
    """Result of a call: ``Answered``, ``NotRunByServer``, ``NotSent`` or ``Lost``."""

    __slots__ = ()


class Answered(BaseCallResult):
    """The server's own answer, whole.

    ``sent_at`` and ``received_at`` are in seconds on the local clock, ``clock_ms`` is the server's
    clock when it answered.
    """

    __slots__ = (
        "body",
        "clock_ms",
        "content_type",
        "generation",
        "received_at",
        "sent_at",
        "server_id",
        "status",
    )

    def __init__(
        self,
        status: int,
        body: bytes,
        content_type: str,
        server_id: str,
        generation: str,
        clock_ms: int,
        sent_at: float,
        received_at: float,
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.server_id = server_id
        self.generation = generation
        self.clock_ms = clock_ms
        self.sent_at = sent_at
        self.received_at = received_at


class NotRunByServer(BaseCallResult):
    """The server's contract says that it did not run the request.

    ``reason`` is the server's word: busy, draining, stale-grant or deadline.
    """

    __slots__ = ("clock_ms", "generation", "reason", "sent_at", "server_id")

    def __init__(
        self, reason: str, server_id: str, generation: str, clock_ms: int, sent_at: float
    ) -> None:
        self.reason = reason
        self.server_id = server_id
        self.generation = generation
        self.clock_ms = clock_ms
        self.sent_at = sent_at


class NotSent(BaseCallResult):
    """No byte of the request was sent, so it certainly was not run."""

    __slots__ = ("detail", "reason")

    def __init__(self, reason: NotSentReason, detail: str = "") -> None:
        self.reason = reason
        self.detail = detail


class Lost(BaseCallResult):
    """At least one byte was sent and no whole answer to this call came back."""

    __slots__ = ("detail", "reason")

    def __init__(self, reason: LostReason, detail: str = "") -> None:
        self.reason = reason
        self.detail = detail
