"""The progress of the grant of one assignment."""

from fireflylink_core import Assignment, ServerIncarnation
from fireflylink_decisions.ownership._hold_end import HoldEnd


class GrantState:
    """State of the grant of one assignment.

    ``unreleased_holders`` are the previous holders whose release or expiry the grant waits for.
    ``hold_ends`` says what ended the holds of the others, until the first grant is confirmed.
    ``in_flight`` are the servers that have been sent a command without a result so far, and
    ``due_at`` is when the next command to a server is due.
    """

    __slots__ = (
        "due_at",
        "granted",
        "granted_at",
        "handover",
        "hold_ends",
        "in_flight",
        "unreleased_holders",
    )

    def __init__(self, assignment: Assignment) -> None:
        self.unreleased_holders = list(dict.fromkeys(assignment.previous_holders))
        self.hold_ends: list[HoldEnd] = []
        self.handover = assignment.handover
        self.granted = False
        self.granted_at = 0.0
        self.in_flight: set[ServerIncarnation] = set()
        self.due_at: dict[ServerIncarnation, float] = {}

    def copy_progress(self, other: "GrantState") -> None:
        """Takes over the progress of a grant under the same fence that covered these keys."""
        self.unreleased_holders = list(other.unreleased_holders)
        self.hold_ends = list(other.hold_ends)
        self.handover = other.handover
        self.granted = other.granted
        self.granted_at = other.granted_at
        self.due_at = dict(other.due_at)

    def record_hold_end(self, hold_end: HoldEnd) -> None:
        """Records that the grant waits for a previous holder no longer."""
        self.unreleased_holders.remove(hold_end.server)
        self.hold_ends.append(hold_end)

    def is_expired(self, now: float, hold_seconds: float) -> bool:
        """Whether the grant was confirmed and has expired since."""
        return self.granted and now > self.granted_at + hold_seconds
