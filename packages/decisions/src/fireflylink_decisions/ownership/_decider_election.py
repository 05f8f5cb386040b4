"""State of the election of the decider, as one daemon knows it."""

from fireflylink_decisions.ownership._grant_timing import OUTAGE_GRACE_SECONDS

CANDIDACY_DELAY_PER_RANK_SECONDS = 0.12
"""Daemons of a higher rank stand for election later, so that usually only one of them writes."""


class DeciderElection:
    """Tracks whether this daemon is the decider, the elected leader that assigns keys to servers.

    ``revision`` is the store revision of the decider record that this daemon wrote, 0 while it is
    not the decider. Every write of ownership is conditional on it, so that a superseded decider
    cannot change ownership in the store. ``confirmed_call_sent_at`` is when the last call was sent
    in whose answer the store confirmed the record. ``vacant_since`` is when the record was found to
    be missing, None while it exists or nothing is known about it; a new instance assumes that it
    has been missing since time 0.

    A decider is demoted when it steps down itself, when it loses its lease, and when the decider
    record of another daemon supersedes its own.
    """

    __slots__ = ("confirmed_call_sent_at", "revision", "vacant_since")

    def __init__(self) -> None:
        self.revision = 0
        self.confirmed_call_sent_at = 0.0
        self.vacant_since: float | None = 0.0

    @property
    def is_decider(self) -> bool:
        """Whether this daemon was elected and has not been demoted since."""
        return self.revision > 0

    def on_elected(self, revision: int, sent_at: float) -> None:
        """Records that the store accepted this daemon's record in a call sent at ``sent_at``."""
        self.revision = revision
        self.confirmed_call_sent_at = sent_at
        self.vacant_since = None

    def on_confirmed(self, sent_at: float) -> None:
        """Records that the store confirmed the record in a call sent at ``sent_at``."""
        self.confirmed_call_sent_at = max(self.confirmed_call_sent_at, sent_at)

    def on_demoted(self) -> None:
        """Records that this daemon is no longer the decider, so that another one may be elected."""
        self.revision = 0

    def on_decider_record(self, revision: int, present: bool, now: float) -> None:
        """Applies a change of the decider record; ``present`` is false after its deletion."""
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
        """Whether grants may be sent: up to ``OUTAGE_GRACE_SECONDS`` after a confirmation."""
        return self.is_decider and now < self.confirmed_call_sent_at + OUTAGE_GRACE_SECONDS

    def candidacy_at(self, rank: int) -> float | None:
        """Returns when this daemon should stand for election, None if there is no vacancy."""
        if self.is_decider or self.vacant_since is None:
            return None
        return self.vacant_since + rank * CANDIDACY_DELAY_PER_RANK_SECONDS
