"""The deciders before the present one, which may still grant keys for some time."""

from fireflylink_core import OwnershipTable
from fireflylink_decisions.ownership._grant_timing import (
    GRANT_TIMEOUT_SECONDS,
    MAX_DELIVERY_SECONDS,
    former_deciders_may_grant_until,
    former_holds_expire_at,
)
from fireflylink_decisions.ownership._hold_expiries import NEVER, FormerHold


class FormerDeciders:
    """Until when the deciders before the present one may grant keys, and servers may hold them.

    They do not notice an election while they are cut off from the store, so each may go on for
    ``OUTAGE_GRACE_SECONDS``. They send no grants from ``end_at`` on: when that time is over, or
    when they have said that they stepped down. ``owner_hold`` is the hold of the owners in the
    table that was taken over, and ``previous_holder_hold`` that of the previous holders in it.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = ("max_hold_seconds", "owner_hold", "previous_holder_hold")

    def __init__(self, elected_at: float, max_hold_seconds: float) -> None:
        self.max_hold_seconds = max_hold_seconds
        self.owner_hold = FormerHold(
            former_deciders_may_grant_until(elected_at),
            former_holds_expire_at(elected_at, max_hold_seconds),
        )
        self.previous_holder_hold = self.owner_hold

    @property
    def end_at(self) -> float:
        """From when no former decider sends grants."""
        return self.owner_hold.grants_end_at

    def mark_none(self) -> None:
        """Records that there was no former decider."""
        self._limit(FormerHold(NEVER, NEVER))

    def record_end(self, end_at: float) -> None:
        """Records that all have stepped down, or will have by ``end_at``.

        What they had sent before may still arrive for ``MAX_DELIVERY_SECONDS`` at a server that was
        running then.
        """
        expires_at = end_at + MAX_DELIVERY_SECONDS + self.max_hold_seconds
        self._limit(FormerHold(end_at, expires_at))

    def record_table(self, table: OwnershipTable, seen_at: float) -> None:
        """Records the table that was taken over, and when this daemon first saw it.

        Its writer granted nothing to the previous holders in it after writing it. The table is
        marked ``written_by_sole_decider`` if no earlier decider could still grant at that time.
        The holds of the previous holders then expire at the latest one grant time-out and one whole
        hold after the table was seen.
        """
        if table.written_by_sole_decider:
            end_at = seen_at + GRANT_TIMEOUT_SECONDS
            latest = FormerHold(end_at, end_at + self.max_hold_seconds)
            self.previous_holder_hold = self.previous_holder_hold.limited_to(latest)

    def _limit(self, limit: FormerHold) -> None:
        self.owner_hold = self.owner_hold.limited_to(limit)
        self.previous_holder_hold = self.previous_holder_hold.limited_to(limit)
