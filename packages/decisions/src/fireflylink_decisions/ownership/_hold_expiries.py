"""When the holds expire that grants may have started, for each server."""

from fireflylink_core import Assignment, BaseValue, KeyRange, ServerIncarnation

GrantId = tuple[KeyRange, int]
"""The keys of a grant and its fence."""

NEVER = float("-inf")
"""Time of something that has not happened and will not happen."""


class FormerHold(BaseValue):
    """What former deciders may have granted to a server, or may still grant to it.

    They send the server no grants after ``grants_end_at``; the last hold of those that they have
    sent expires at ``expires_at``.
    """

    __slots__ = ("expires_at", "grants_end_at")

    def __init__(self, grants_end_at: float, expires_at: float) -> None:
        self.grants_end_at = grants_end_at
        self.expires_at = expires_at

    def limited_to(self, limit: "FormerHold") -> "FormerHold":
        """Returns the hold with both times limited to those of another one."""
        return FormerHold(
            min(self.grants_end_at, limit.grants_end_at), min(self.expires_at, limit.expires_at)
        )


class _SentGrant:
    """A grant without a result so far, and the expiry of the hold from before it was sent."""

    __slots__ = ("expired_before", "sent_at")

    def __init__(self, sent_at: float, expired_before: float) -> None:
        self.sent_at = sent_at
        self.expired_before = expired_before


class HoldExpiries:
    """The latest time at which each grant that a server may have accepted expires.

    A command names its server by the server's id. A server that restarts under its id does not
    know the fences of its former incarnation: it accepts the renewals that are still sent to that
    one. So the holds of an incarnation that has ended are counted for its successor, if any. For
    the same reason a server that confirms a fence, or a release, refuses the grants of former
    deciders only until it restarts: their holds count until those deciders send no grants.

    ``expiries`` has, for each server, the expiry of the grant of a range under a fence, as far as
    this decider has sent it; ``sent_grants`` are those without a result. ``former_holds`` has the
    holds of former deciders. ``successors`` maps an incarnation to the next one under the same id,
    as far as it is known.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = ("ended_incarnations", "expiries", "former_holds", "sent_grants", "successors")

    def __init__(self) -> None:
        self.expiries: dict[ServerIncarnation, dict[GrantId, float]] = {}
        self.sent_grants: dict[tuple[ServerIncarnation, KeyRange, int], _SentGrant] = {}
        self.former_holds: dict[ServerIncarnation, dict[KeyRange, FormerHold]] = {}
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
        former_holds = self.former_holds.pop(self.holder(server), {})
        self.successors[self.holder(server)] = successor
        for grant_id, expires_at in holds.items():
            self._extend(successor, grant_id, expires_at)
        self._move_sent_grants()
        for keys, former_hold in former_holds.items():
            self.add_former(successor, keys, former_hold)

    def add_former(self, server: ServerIncarnation, keys: KeyRange, former: FormerHold) -> None:
        """Adds what former deciders may have granted to a server, or may still grant to it."""
        holds = self.former_holds.setdefault(self.holder(server), {})
        known = holds.get(keys, FormerHold(NEVER, NEVER))
        holds[keys] = FormerHold(
            max(known.grants_end_at, former.grants_end_at), max(known.expires_at, former.expires_at)
        )

    def limit_former(self, limit: FormerHold) -> None:
        """Records that no former decider grants any keys after the times of ``limit``."""
        for holds in self.former_holds.values():
            for keys, former_hold in holds.items():
                holds[keys] = former_hold.limited_to(limit)

    def is_release_final(
        self, server: ServerIncarnation, assignment: Assignment, now: float
    ) -> bool:
        """Whether a server that releases the keys now gets no earlier grant of them any more.

        Former deciders may still send one, and one that this decider has sent may still arrive
        while it has no result: at the server's next incarnation, which knows of no release. It
        makes no difference if the server is to own the keys itself.
        """
        holder = self.holder(server)
        if holder == self.holder(assignment.owner):
            return True
        if self._has_unsettled_grant(holder, assignment.keys):
            return False
        return all(
            former.grants_end_at <= now
            for held, former in self.former_holds.get(holder, {}).items()
            if held.overlaps(assignment.keys)
        )

    def record_sent(
        self, server: ServerIncarnation, grant_id: GrantId, sent_at: float, expires_at: float
    ) -> None:
        """Records that a grant is about to be sent, which expires at ``expires_at`` or before."""
        holder = self.holder(server)
        holds = self.expiries.setdefault(holder, {})
        expired_before = holds.get(grant_id, NEVER)
        self.sent_grants[(holder, *grant_id)] = _SentGrant(sent_at, expired_before)
        holds[grant_id] = expires_at

    def record_not_sent(self, server: ServerIncarnation, grant_id: GrantId) -> None:
        """Restores the expiry from before ``record_sent``: no byte of the grant was sent."""
        holder = self.holder(server)
        sent = self.sent_grants.pop((holder, *grant_id), None)
        if sent is not None:
            self.expiries[holder][grant_id] = sent.expired_before

    def record_failed(self, server: ServerIncarnation, grant_id: GrantId) -> None:
        """Records that a grant which may have arrived has no other result."""
        self.sent_grants.pop((self.holder(server), *grant_id), None)

    def record_granted(
        self, server: ServerIncarnation, grant_id: GrantId, expires_at: float, ends_former: bool
    ) -> None:
        """Records that a server confirmed a grant.

        If ``ends_former``, it refuses older grants of these keys. Those of former deciders then
        count no more, if they had ended when the grant was sent: its next incarnation gets none.
        """
        holder = self.holder(server)
        sent = self.sent_grants.pop((holder, *grant_id), None)
        self.expiries.setdefault(holder, {})[grant_id] = expires_at
        if not ends_former or sent is None:
            return
        keys, _ = grant_id
        former_holds = self.former_holds.get(holder, {})
        for held, former in list(former_holds.items()):
            if keys.covers(held) and former.grants_end_at <= sent.sent_at:
                del former_holds[held]

    def expires_at(self, server: ServerIncarnation, keys: KeyRange) -> float:
        """Returns the latest time at which a grant of any of the keys to a server expires."""
        holder = self.holder(server)
        return NEVER if self.has_ended(holder) else self.counted_expiry(holder, keys)

    def counted_expiry(self, holder: ServerIncarnation, keys: KeyRange) -> float:
        """Returns the same for an incarnation that may have ended, as if it still ran."""
        holds = self.expiries.get(holder, {})
        expiries = [expiry for (held, _), expiry in holds.items() if held.overlaps(keys)]
        for held, former in self.former_holds.get(holder, {}).items():
            if held.overlaps(keys):
                expiries.append(former.expires_at)
        return max(expiries, default=NEVER)

    def _move_sent_grants(self) -> None:
        """Counts grants without a result for the incarnations that they reach now."""
        self.sent_grants = {
            (self.holder(server), keys, fence): sent
            for (server, keys, fence), sent in self.sent_grants.items()
        }

    def _has_unsettled_grant(self, holder: ServerIncarnation, keys: KeyRange) -> bool:
        return any(
            grantee == holder and held.overlaps(keys) for grantee, held, _ in self.sent_grants
        )

    def _extend(self, server: ServerIncarnation, grant_id: GrantId, expires_at: float) -> None:
        holds = self.expiries.setdefault(self.holder(server), {})
        holds[grant_id] = max(holds.get(grant_id, NEVER), expires_at)
