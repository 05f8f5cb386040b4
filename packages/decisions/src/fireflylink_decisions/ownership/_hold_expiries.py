"""When the holds expire that grants may have started, for each server."""

from fireflylink_core import KeyRange, ServerIncarnation

FORMER_DECIDER_FENCE = 0
"""Placeholder for every fence under which former deciders granted keys; tables use 1 and above."""

GrantId = tuple[KeyRange, int]
"""The keys of a grant and its fence."""

EXPIRED = float("-inf")


class HoldExpiries:
    """The latest time at which each grant that a server may have accepted expires.

    A command names its server by the server's id. A server that restarts under its id does not
    know the fences of its former incarnation: it accepts the renewals that are still sent to that
    one. So the holds of an incarnation that has ended are counted for its successor, if any.

    ``expiries`` has, for each server, the expiry of the grant of a range under a fence;
    ``expiries_before_send`` has its value from before the last grant was sent. ``successors`` maps
    an incarnation to the next one under the same id, as far as it is known.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = ("ended_incarnations", "expiries", "expiries_before_send", "successors")

    def __init__(self) -> None:
        self.expiries: dict[ServerIncarnation, dict[GrantId, float]] = {}
        self.expiries_before_send: dict[tuple[ServerIncarnation, KeyRange, int], float] = {}
        self.ended_incarnations: set[ServerIncarnation] = set()
        self.successors: dict[ServerIncarnation, ServerIncarnation] = {}

    def holder(self, server: ServerIncarnation) -> ServerIncarnation:
        """Returns the incarnation that holds what was granted to ``server``."""
        while server in self.successors:
            server = self.successors[server]
        return server

    def has_ended(self, server: ServerIncarnation) -> bool:
        """Whether an incarnation is known to have ended."""
        return server in self.ended_incarnations

    def record_ended(
        self, server: ServerIncarnation, successor: ServerIncarnation | None = None
    ) -> None:
        """Records that an incarnation has ended, and which one has followed under the same id.

        Without a successor at the same address nothing accepts the grants any more.
        """
        self.ended_incarnations.add(server)
        if successor is None or self.holder(successor) == self.holder(server):
            return
        holds = self.expiries.pop(self.holder(server), {})
        self.successors[self.holder(server)] = successor
        for grant_id, expires_at in holds.items():
            self.extend(successor, grant_id, expires_at)

    def extend(self, server: ServerIncarnation, grant_id: GrantId, expires_at: float) -> None:
        """Sets the expiry of a grant, unless it is known to expire later."""
        holds = self.expiries.setdefault(self.holder(server), {})
        holds[grant_id] = max(holds.get(grant_id, EXPIRED), expires_at)

    def record_sent(self, server: ServerIncarnation, grant_id: GrantId, expires_at: float) -> None:
        """Records that a grant is about to be sent, which expires at ``expires_at`` or before."""
        holder = self.holder(server)
        holds = self.expiries.setdefault(holder, {})
        self.expiries_before_send[(holder, *grant_id)] = holds.get(grant_id, EXPIRED)
        holds[grant_id] = expires_at

    def record_not_sent(self, server: ServerIncarnation, grant_id: GrantId) -> None:
        """Restores the expiry from before ``record_sent``: no byte of the grant was sent."""
        holder = self.holder(server)
        previous_expiry = self.expiries_before_send.pop((holder, *grant_id), None)
        if previous_expiry is not None:
            self.expiries[holder][grant_id] = previous_expiry

    def forget_previous(self, server: ServerIncarnation, grant_id: GrantId) -> None:
        """Drops the expiry from before ``record_sent``: the result of the grant is known."""
        self.expiries_before_send.pop((self.holder(server), *grant_id), None)

    def record_granted(
        self, server: ServerIncarnation, grant_id: GrantId, expires_at: float, ends_former: bool
    ) -> None:
        """Records that a server confirmed a grant.

        If ``ends_former``, it refuses grants of these keys that former deciders may still send.
        """
        self.forget_previous(server, grant_id)
        keys, _ = grant_id
        holds = self.expiries.setdefault(self.holder(server), {})
        holds[grant_id] = expires_at
        if not ends_former:
            return
        for held, fence in list(holds):
            if fence == FORMER_DECIDER_FENCE and keys.covers(held):
                del holds[(held, fence)]

    def expires_at(self, server: ServerIncarnation, keys: KeyRange) -> float:
        """Returns the latest time at which a grant of any of the keys to a server expires."""
        holder = self.holder(server)
        if self.has_ended(holder):
            return EXPIRED
        holds = self.expiries.get(holder, {})
        return max(
            (expiry for (held, _), expiry in holds.items() if held.overlaps(keys)), default=EXPIRED
        )
