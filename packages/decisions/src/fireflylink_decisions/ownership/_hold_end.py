"""The end of the hold of a previous holder of keys, and what ended it."""

import enum

from fireflylink_core import BaseValue, KeyRange, ServerIncarnation


class HoldEndReason(enum.Enum):
    """Why the next owner of keys has to wait for a previous holder no longer."""

    RELEASED = "released"
    """The server, or its next incarnation, answered a release under the new fence."""

    EXPIRED = "expired"
    """The hold of the last grant that it may have accepted has expired."""

    INCARNATION_ENDED = "incarnation-ended"
    """Another server uses its address, and no later incarnation of it is known."""

    OWNER_RESTARTED = "owner-restarted"
    """It is a former incarnation of the new owner."""

    NO_GRANT = "no-grant"
    """No decider can have granted it any of the keys."""


class HoldEnd(BaseValue):
    """The end of the hold of a previous holder of keys.

    ``server`` is the previous holder that the table names, and ``holder`` the incarnation for which
    its hold counted at the end: the same, or a later one under its id. ``fence`` is that of the
    next owner, ``former_fence`` the highest one under which this decider has sent ``holder`` a
    grant of any of the keys, None if it sent none. ``granted_at`` is when ``server`` last confirmed
    such a grant, and ``expires_at`` until when its hold was counted; both are minus infinity
    without one. A hold that was released ends before ``expires_at``. ``unanswered_grants`` are the
    grants of any of the keys to ``holder`` that had no result when the hold ended.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = (
        "ended_at",
        "expires_at",
        "fence",
        "former_fence",
        "granted_at",
        "holder",
        "keys",
        "reason",
        "server",
        "unanswered_grants",
    )

    def __init__(
        self,
        server: ServerIncarnation,
        holder: ServerIncarnation,
        keys: KeyRange,
        fence: int,
        reason: HoldEndReason,
        ended_at: float,
        expires_at: float,
        granted_at: float,
        former_fence: int | None,
        unanswered_grants: int,
    ) -> None:
        self.server = server
        self.holder = holder
        self.keys = keys
        self.fence = fence
        self.reason = reason
        self.ended_at = ended_at
        self.expires_at = expires_at
        self.granted_at = granted_at
        self.former_fence = former_fence
        self.unanswered_grants = unanswered_grants
