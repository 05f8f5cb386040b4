"""The progress of the grant of one assignment."""

from fireflylink_core import Assignment, ServerIncarnation


class GrantState:
    """State of the grant of one assignment.

    ``unreleased_holders`` are the previous holders whose release or expiry the grant waits for.
    ``in_flight`` are the servers that have been sent a command without a result so far, and
    ``due_at`` is when the next command to a server is due.
    """

    __slots__ = (
        "due_at",
        "granted",
        "granted_at",
        "handover",
        "in_flight",
        "unreleased_holders",
    )

    def __init__(self, assignment: Assignment) -> None:
        self.unreleased_holders = list(dict.fromkeys(assignment.previous_holders))
        self.handover = assignment.handover
        self.granted = False
        self.granted_at = 0.0
        self.in_flight: set[ServerIncarnation] = set()
        self.due_at: dict[ServerIncarnation, float] = {}

    def is_expired(self, now: float, hold_seconds: float) -> bool:
        """Whether the grant was confirmed and has expired since."""
        return self.granted and now > self.granted_at + hold_seconds
