"""Fault switches and call counts of the platform stand-ins."""

import collections
import enum


class PlatformMode(enum.Enum):
    """How the platform answers.

    ``DOWN``: it refuses every call. ``SLOW``: it answers after a delay. ``SILENT``: it accepts
    calls and never answers.
    """

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"


class PlatformFaults:
    """Faults in force.

    ``lose_replies`` is the number of following writes and deletions that take effect without a
    reply, ``lose_requests`` the number of those that neither take effect nor are answered.
    """

    __slots__ = ("delay_ms", "lose_replies", "lose_requests", "mode")

    def __init__(self) -> None:
        self.mode = PlatformMode.OK
        self.delay_ms = 0
        self.lose_replies = 0
        self.lose_requests = 0

    def take_lost_reply(self) -> bool:
        """Tells whether the reply to the present write is to be lost, and counts it."""
        if self.lose_replies <= 0:
            return False
        self.lose_replies -= 1
        return True

    def take_lost_request(self) -> bool:
        """Tells whether the present write is to be lost, and counts it."""
        if self.lose_requests <= 0:
            return False
        self.lose_requests -= 1
        return True


class CallCounts:
    """Number of calls by kind. A watch is one call, however long it waits."""

    __slots__ = ("calls", "pending_watches")

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.pending_watches = 0

    def add(self, kind: str) -> None:
        """Counts a call."""
        self.calls[kind] += 1

    def as_document(self) -> dict[str, int]:
        """Returns the counts by kind, their total and the number of waiting watches."""
        document = dict(self.calls)
        document["total"] = sum(self.calls.values())
        document["pending_watches"] = self.pending_watches
        return document
