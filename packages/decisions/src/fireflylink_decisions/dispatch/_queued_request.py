"""A request that is queued for a server, and the result of dispatching it."""

from fireflylink_core import NO_KEY, BaseValue
from fireflylink_decisions.servers import ServerTracker


class QueuedRequest:
    """The properties of a request that the dispatcher needs. Instances compare by identity.

    An answer after ``deadline`` is of no use. One after ``objective_at`` misses the objective of
    the route, which is its target latency. ``priority`` 0 is the most urgent. ``tried_servers`` are
    the ids of servers to which the request was sent before. ``awaited_owner`` is the tracker of the
    owner of its key, which counts the request as queued; None if there is none.
    """

    __slots__ = (
        "awaited_owner",
        "deadline",
        "enqueued_at",
        "key",
        "objective_at",
        "priority",
        "service",
        "tried_servers",
    )

    def __init__(
        self,
        service: str,
        priority: int,
        enqueued_at: float,
        deadline: float,
        key: int = NO_KEY,
        tried_servers: frozenset[str] = frozenset(),
        objective_at: float | None = None,
    ) -> None:
        self.awaited_owner: ServerTracker | None = None
        self.service = service
        self.priority = priority
        self.enqueued_at = enqueued_at
        self.deadline = deadline
        self.objective_at = deadline if objective_at is None else objective_at
        self.key = key
        self.tried_servers = tried_servers


class BaseDispatchResult(BaseValue):
    """Whether a request was dispatched to a server or refused."""

    __slots__ = ()


class Dispatched(BaseDispatchResult):
    """The request is to be sent to a server, whose tracker already counts it as in flight.

    ``fence`` is the fencing token of the server's assignment, 0 for a request without a key.
    ``queueing_factor`` is the factor by which the server's load is expected to lengthen the time
    of the request.
    """

    __slots__ = ("fence", "queueing_factor", "tracker")

    def __init__(self, tracker: ServerTracker, queueing_factor: float, fence: int = 0) -> None:
        self.tracker = tracker
        self.queueing_factor = queueing_factor
        self.fence = fence


class Refused(BaseDispatchResult):
    """The request cannot be served in time. ``retry_after`` is in seconds."""

    __slots__ = ("reason", "retry_after")

    def __init__(self, reason: str, retry_after: float) -> None:
        self.reason = reason
        self.retry_after = retry_after
