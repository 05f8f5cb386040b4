"""A request that waits for a server, and how the wait ends."""

from fireflylink_core import NO_KEY, BaseValue
from fireflylink_decisions.servers import ServerTracker


class QueuedRequest:
    """What the dispatcher needs to know of a request; its identity is the object itself.

    ``deadline`` is when its answer is needed at the latest, ``objective_at`` until when it has its
    full worth, ``tried_servers`` the servers that it was sent to. ``priority`` 0 is the most
    urgent. ``awaited_server`` is the server that it waits for.
    """

    __slots__ = (
        "awaited_server",
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
        self.awaited_server: ServerTracker | None = None
        self.service = service
        self.priority = priority
        self.enqueued_at = enqueued_at
        self.deadline = deadline
        self.objective_at = deadline if objective_at is None else objective_at
        self.key = key
        self.tried_servers = tried_servers


class BaseDispatchResult(BaseValue):
    """How the wait of a queued request ended."""

    __slots__ = ()


class Dispatched(BaseDispatchResult):
    """The request is to be sent to a server, where it counts as in flight already."""

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
