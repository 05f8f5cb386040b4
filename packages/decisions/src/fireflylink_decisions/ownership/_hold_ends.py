"""What ended the holds of previous holders of keys, recorded so that it can be logged."""

from fireflylink_core import Assignment, KeyRange, ServerIncarnation
from fireflylink_decisions.ownership._commands import ReleaseCommand
from fireflylink_decisions.ownership._grant_state import GrantState
from fireflylink_decisions.ownership._hold_end import HoldEnd, HoldEndReason
from fireflylink_decisions.ownership._hold_expiries import NEVER, GrantId, HoldExpiries


class HoldEnds:
    """The ends of holds that were not logged so far, and the confirmed grants before them.

    ``granted_at`` has, for each server, when it last confirmed the grant of a range under a fence.
    """

    __slots__ = ("granted_at", "unlogged")

    def __init__(self) -> None:
        self.granted_at: dict[ServerIncarnation, dict[GrantId, float]] = {}
        self.unlogged: list[HoldEnd] = []

    def record_granted(self, server: ServerIncarnation, grant_id: GrantId, now: float) -> None:
        """Records that a server confirmed a grant; earlier ones of the same keys are forgotten."""
        grants = self.granted_at.setdefault(server, {})
        if grant_id not in grants:
            for held in [held for held in grants if grant_id[0].covers(held[0])]:
                del grants[held]
        grants[grant_id] = now

    def last_granted_at(self, server: ServerIncarnation, keys: KeyRange) -> float:
        """Returns when a server last confirmed a grant of any of the keys, ``NEVER`` if it has not.

        Only grants of this decider count.
        """
        grants = self.granted_at.get(server, {})
        return max((at for (held, _), at in grants.items() if held.overlaps(keys)), default=NEVER)

    def end_released(
        self, holds: HoldExpiries, state: GrantState, command: ReleaseCommand, now: float
    ) -> None:
        """Ends the hold of each previous holder for which the server of a release has answered."""
        for server in list(state.unreleased_holders):
            if holds.holder(server) == holds.holder(command.server):
                grant_id = (command.keys, command.fence)
                self._end(holds, state, server, grant_id, HoldEndReason.RELEASED, now)

    def end_without_release(
        self, holds: HoldExpiries, state: GrantState, assignment: Assignment, now: float
    ) -> None:
        """Ends the holds that have expired, and those of servers that the owner followed."""
        for server in list(state.unreleased_holders):
            reason = _reason_without_release(holds, server, assignment, now)
            if reason is not None:
                grant_id = (assignment.keys, assignment.fence)
                self._end(holds, state, server, grant_id, reason, now)

    def take(self) -> list[HoldEnd]:
        """Returns the ends of holds since the last call."""
        taken, self.unlogged = self.unlogged, []
        return taken

    def _end(
        self,
        holds: HoldExpiries,
        state: GrantState,
        server: ServerIncarnation,
        grant_id: GrantId,
        reason: HoldEndReason,
        now: float,
    ) -> None:
        keys, fence = grant_id
        holder = holds.holder(server)
        sent = (held for held in holds.expiries.get(holder, {}) if held[0].overlaps(keys))
        hold_end = HoldEnd(
            server,
            holder,
            keys,
            fence,
            reason,
            now,
            holds.counted_expiry(holder, keys),
            self.last_granted_at(server, keys),
            max((sent_fence for _, sent_fence in sent), default=None),
            sum(to == holder and held.overlaps(keys) for to, held, _ in holds.sent_grants),
        )
        state.record_hold_end(hold_end)
        self.unlogged.append(hold_end)


def _reason_without_release(
    holds: HoldExpiries, server: ServerIncarnation, assignment: Assignment, now: float
) -> HoldEndReason | None:
    """Returns why a previous holder needs no release of its keys, None if it needs one."""
    holder = holds.holder(server)
    if server != assignment.owner and holder == holds.holder(assignment.owner):
        return HoldEndReason.OWNER_RESTARTED
    if holds.has_ended(holder):
        return HoldEndReason.INCARNATION_ENDED
    expires_at = holds.expires_at(server, assignment.keys)
    if now < expires_at:
        return None
    return HoldEndReason.NO_GRANT if expires_at == NEVER else HoldEndReason.EXPIRED
