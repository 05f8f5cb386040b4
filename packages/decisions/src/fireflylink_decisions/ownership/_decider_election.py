"""Which daemon decides on key ownership, and for how long it may go on without the store."""

from fireflylink_decisions.ownership._grant_tracker import OUTAGE_GRACE_SECONDS

CANDIDACY_STEP_SECONDS = 0.12
"""Daemons of a higher rank wait longer before they try, so that one write is usually enough."""


class DeciderElection:
    """Whether this daemon is the decider, as far as the store has confirmed it.

    ``revision`` is that of the decider record that this daemon wrote; each write of ownership is
    conditional on it, so that a decider that was replaced can change nothing in the store.
    """

    __slots__ = ("confirmed_at", "revision", "vacant_since")

    def __init__(self) -> None:
        self.revision = 0
        self.confirmed_at = 0.0
        self.vacant_since: float | None = 0.0

    @property
    def is_decider(self) -> bool:
        """Whether this daemon became the decider and was not told otherwise."""
        return self.revision > 0

    def on_elected(self, revision: int, now: float) -> None:
        """Takes note that the store has accepted this daemon's record."""
        self.revision = revision
        self.confirmed_at = now
        self.vacant_since = None

    def on_confirmed(self, sent_at: float) -> None:
        """Takes note that the store confirmed the record in answer to a call sent at a time."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def on_demoted(self) -> None:
        """Takes note that another daemon may be the decider."""
        self.revision = 0

    def on_decider_record(self, revision: int, present: bool, now: float) -> None:
        """Takes the decider record as the store has it."""
        if present:
            self.vacant_since = None
            if self.is_decider and revision > self.revision:
                self.on_demoted()
        else:
            if self.is_decider and revision > self.revision:
                self.on_demoted()
            if self.vacant_since is None:
                self.vacant_since = now

    def may_grant(self, now: float) -> bool:
        """Whether grants may be sent: a decider without the store stops after a time."""
        return self.is_decider and now < self.confirmed_at + OUTAGE_GRACE_SECONDS

    def candidacy_at(self, rank: int) -> float | None:
        """Returns when this daemon should try to become the decider, None when there is one."""
        if self.is_decider or self.vacant_since is None:
            return None
        return self.vacant_since + rank * CANDIDACY_STEP_SECONDS
