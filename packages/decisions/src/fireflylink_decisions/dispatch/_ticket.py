"""A request that waits for a server, and how the wait ends."""

from fireflylink_core import NO_KEY, BaseValue
from fireflylink_decisions.servers import ServerTracker


class Ticket:
    """What the dispatcher needs to know of a request; its identity is the object itself.

    ``latest`` is when its answer is needed at the latest, ``objective_at`` until when it has its
    full worth, ``tried`` the servers that it was sent to. ``rank`` 0 is the most urgent.
    ``awaited`` is the server whose room it waits for.
    """

    __slots__ = (
        "awaited",
        "key",
        "latest",
        "objective_at",
        "rank",
        "service",
        "since",
        "tried",
    )

    def __init__(
        self,
        service: str,
        rank: int,
        since: float,
        latest: float,
        key: int = NO_KEY,
        tried: frozenset[str] = frozenset(),
        objective_at: float | None = None,
    ) -> None:
        self.awaited: ServerTracker | None = None
        self.service = service
        self.rank = rank
        self.since = since
        self.latest = latest
        self.objective_at = latest if objective_at is None else objective_at
        self.key = key
        self.tried = tried


class BasePlacement(BaseValue):
    """How the wait of a ticket ended."""

    __slots__ = ()


class Send(BasePlacement):
    """The request is to be sent to a server, where it counts as in flight already."""

    __slots__ = ("fence", "fullness", "tracker")

    def __init__(self, tracker: ServerTracker, fullness: float, fence: int = 0) -> None:
        self.tracker = tracker
        self.fullness = fullness
        self.fence = fence


class Refuse(BasePlacement):
    """The request cannot be served in time. ``retry_after`` is in seconds."""

    __slots__ = ("reason", "retry_after")

    def __init__(self, reason: str, retry_after: float) -> None:
        self.reason = reason
        self.retry_after = retry_after
