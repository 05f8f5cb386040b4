"""A gateway's connections to one backend server and what it knows about it."""

from fireflylink_backend_client import BackendControl, BackendPool, ServerStatus
from fireflylink_core import BackendServer, BaseClock
from fireflylink_decisions.activation import ShardView
from fireflylink_decisions.authority import FENCE_WAIT, ServerClock

SERVER_LOSS_TIMEOUT = 1.0
"""Seconds without an answer to a grant after which a server counts as lost."""

GRANT_TIMEOUT = 0.35
"""Seconds that a server has to answer a grant; less than the renewal period."""

ShardIdentity = tuple[tuple[str, int], bool]


class ServerLink:
    """Connections, clock and grant of one server, owned by the gateway task.

    ``grant_end`` is the local time at which every grant sent to the server has ended, and
    ``unanswered_grant_end`` that of the grants whose reply was lost. ``granted`` holds the epoch of
    each shard in the last grant that the server confirmed.
    """

    __slots__ = (
        "answered_at",
        "clock",
        "control",
        "failed",
        "grant_end",
        "granted",
        "opened_at",
        "pool",
        "seen_idle",
        "server",
        "unanswered_grant_end",
    )

    def __init__(self, server: BackendServer, clock: BaseClock) -> None:
        self.server = server
        self.pool = BackendPool(server, clock)
        self.control: BackendControl = self.pool.control
        self.clock = ServerClock()
        self.granted: dict[ShardIdentity, tuple[int, int]] = {}
        self.grant_end = 0.0
        self.unanswered_grant_end = 0.0
        self.answered_at = clock.now()
        self.opened_at = clock.now()
        self.seen_idle = False
        self.failed = False

    def take_status(self, status: ServerStatus) -> None:
        """Takes the reply to a grant."""
        self.seen_idle = self.seen_idle or status.in_flight == 0
        self.clock.observe(status.clock_ms, status.received_at)
        self.answered_at = status.received_at
        self.failed = False

    def is_ready(self, now: float) -> bool:
        """Whether requests may be sent: the clock is known and no earlier gateway's requests run.

        A new gateway does not know what its predecessor left running, and a cold server bears
        little, so it waits until the server was seen idle, or until those requests have ended.
        """
        return self.clock.known and (self.seen_idle or now >= self.opened_at + FENCE_WAIT)

    def is_lost(self, now: float) -> bool:
        """Whether the server has not answered a grant for ``SERVER_LOSS_TIMEOUT``."""
        return self.failed and now - self.answered_at >= SERVER_LOSS_TIMEOUT

    def has_grant(self, view: ShardView) -> bool:
        """Whether the server may serve a shard of this term, or does not check grants."""
        if not self.server.checks_grants:
            return True
        return self.granted.get(view.identity) == (view.record.epoch, view.group.gateway_epoch)

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()
        self.control.close()
