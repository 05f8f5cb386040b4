"""A request in the hands of a gateway."""

from fireflylink_core import MAX_REQUEST_BYTES, CallerRequest
from fireflylink_decisions.limits import QUANTUM, QueueEntry, ServiceTime

NO_REQUEST_NUMBER = 0
BODY_COST_BYTES = float(MAX_REQUEST_BYTES)


class Call(QueueEntry):
    """A request from its offer to its end.

    ``request_number`` is the number of its request id, or ``NO_REQUEST_NUMBER`` when this gateway
    remembers no id for it. ``delegated`` marks a request that another gateway has sent here;
    ``group_id`` is the group that it was sent to by this one. ``alone`` marks a suspect that has a
    server to itself, and ``fingerprint`` is known of suspects only. ``due_at`` is when a request
    may start whose id is ahead of the clock, 0 for others.
    """

    __slots__ = (
        "alone",
        "delegated",
        "due_at",
        "fingerprint",
        "group_id",
        "request_number",
        "server_id",
        "shard_index",
        "started_at",
    )

    def __init__(
        self, call_id: str, request: CallerRequest, shard_index: int, delegated: bool = False
    ) -> None:
        self.call_id = call_id
        self.request = request
        self.latest_start = request.deadline
        self.cost = 1.0
        self.tick = 0
        self.shard_index = shard_index
        self.delegated = delegated
        self.request_number = NO_REQUEST_NUMBER
        self.group_id = ""
        self.server_id = ""
        self.started_at = 0.0
        self.alone = False
        self.due_at = 0.0
        self.fingerprint = ""

    def estimate(self, service_time: ServiceTime) -> None:
        """Estimates how late the request may start and what it costs its tenant."""
        expected = service_time.mean + service_time.deviation
        self.latest_start = self.request.deadline - expected
        self.cost = min(QUANTUM, 1.0 + len(self.request.body) / BODY_COST_BYTES)
