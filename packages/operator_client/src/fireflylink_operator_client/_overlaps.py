"""Signs of two owners in the history of a key."""

import enum

from fireflylink_core import BaseValue, ServerIncarnation
from fireflylink_operator_client._log_lines import LogLine

DECISION_EVENTS = frozenset({"keys-granted", "keys-released", "hold-ended"})
"""Events that only a decider logs, and only while it holds itself for the decider."""

PROCESS_EVENTS = frozenset({"started", "stopped", "exit"})
"""Events at which the process of a log is not the decider, or not any more."""


class OverlapKind(enum.Enum):
    """What is wrong at a line."""

    TWO_HOLDERS = "two holders"
    FENCE_NOT_ABOVE = "fence not above"
    TWO_DECIDERS = "two deciders"


class Overlap(BaseValue):
    """A sign of two owners: the line at which it shows, and the earlier one that it contradicts."""

    __slots__ = ("earlier", "kind", "line")

    def __init__(self, kind: OverlapKind, line: LogLine, earlier: LogLine) -> None:
        self.kind = kind
        self.line = line
        self.earlier = earlier


class _Hold(BaseValue):
    """A grant that a server confirmed, or may have accepted, and that has not ended."""

    __slots__ = ("fence", "line")

    def __init__(self, fence: int, line: LogLine) -> None:
        self.fence = fence
        self.line = line


class OverlapFinder:
    """Finds signs of two owners while the history of a key is read line by line.

    A grant holds until its server released the key, or its hold was said to have ended, under a
    higher fence. A server counts by its id: the next incarnation follows the former one. A grant
    without an answer that was sent counts as a grant, unless the server had seen a higher fence.

    ``holds`` has the hold of each server id, ``highest_grants`` the line of the grant with the
    highest fence so far and ``ended_fences`` the highest fence under which a hold ended.
    ``elections`` has the line with which each log's process became the decider, while it is.
    """

    __slots__ = ("elections", "ended_fences", "highest_grants", "holds")

    def __init__(self) -> None:
        self.holds: dict[str, _Hold] = {}
        self.highest_grants: dict[str, _Hold] = {}
        self.ended_fences: dict[str, int] = {}
        self.elections: dict[str, LogLine] = {}

    def read(self, line: LogLine) -> list[Overlap]:
        """Records the next line of the history; returns the signs of two owners at it."""
        if line.event == "decider-won":
            self.elections.pop(line.log, None)
            self.elections[line.log] = line
        elif line.event == "decider-lost" or line.event in PROCESS_EVENTS:
            self.elections.pop(line.log, None)
        elif line.event == "ownership-sweep-done":
            # The decider has found that no server holds keys that its table gives to others.
            self.holds.clear()
        if line.server is None or line.fence is None:
            return []
        return self._read_command(line, line.server, line.fence)

    def _read_command(self, line: LogLine, server: ServerIncarnation, fence: int) -> list[Overlap]:
        overlaps = self._other_decider(line) if line.event in DECISION_EVENTS else []
        if line.event in ("keys-released", "hold-ended"):
            self._end_hold(server.server_id, fence)
        elif line.event == "keys-granted" or self._may_be_granted(line, server, fence):
            overlaps += self._other_holders(line, server.server_id)
            overlaps += self._fences_not_below(line, server.server_id, fence)
            hold = _Hold(fence, line)
            self.holds[server.server_id] = hold
            highest = self.highest_grants.get(server.server_id)
            if highest is None or highest.fence <= fence:
                self.highest_grants[server.server_id] = hold
        return overlaps

    def _may_be_granted(self, line: LogLine, server: ServerIncarnation, fence: int) -> bool:
        return (
            line.event == "command-failed"
            and line.field("kind") == "GrantCommand"
            and line.field("sent") == "True"
            and fence >= self.ended_fences.get(server.server_id, -1)
        )

    def _end_hold(self, server_id: str, fence: int) -> None:
        hold = self.holds.get(server_id)
        if hold is not None and hold.fence < fence:
            del self.holds[server_id]
        self.ended_fences[server_id] = max(fence, self.ended_fences.get(server_id, -1))

    def _other_holders(self, line: LogLine, server_id: str) -> list[Overlap]:
        return [
            Overlap(OverlapKind.TWO_HOLDERS, line, hold.line)
            for other_id, hold in self.holds.items()
            if other_id != server_id
        ]

    def _fences_not_below(self, line: LogLine, server_id: str, fence: int) -> list[Overlap]:
        return [
            Overlap(OverlapKind.FENCE_NOT_ABOVE, line, hold.line)
            for other_id, hold in self.highest_grants.items()
            if other_id != server_id and hold.fence >= fence
        ]

    def _other_decider(self, line: LogLine) -> list[Overlap]:
        """Returns a sign if another daemon was elected since the one that logged the line."""
        latest = next(reversed(self.elections.values()), None)
        if latest is None or latest.log == line.log or line.log not in self.elections:
            return []
        return [Overlap(OverlapKind.TWO_DECIDERS, line, latest)]
