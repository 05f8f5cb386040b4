"""Ownership of keys: ranges, fences and the table of a service."""

import bisect

from fireflylink_core._server import ServerIncarnation
from fireflylink_core._value import BaseValue

FIRST_KEY = 0
LAST_KEY = 65535
KEY_COUNT = LAST_KEY - FIRST_KEY + 1


class KeyRange(BaseValue):
    """Keys from ``first`` to ``last``, both included."""

    __slots__ = ("first", "last")

    def __init__(self, first: int, last: int) -> None:
        self.first = first
        self.last = last

    def __len__(self) -> int:
        return self.last - self.first + 1

    def __str__(self) -> str:
        return f"{self.first}-{self.last}"

    def covers(self, other: "KeyRange") -> bool:
        """Whether every key of the other range lies in this one."""
        return self.first <= other.first and other.last <= self.last

    def overlaps(self, other: "KeyRange") -> bool:
        """Whether a key lies in both ranges."""
        return self.first <= other.last and other.first <= self.last


class Assignment(BaseValue):
    """A range of keys and the server that is to hold it under a fence.

    ``previous_holders`` are the former holders that have not been seen to give the keys up. The
    owner may be granted the keys only when each of them has, or when its hold has run out.
    ``handover`` is the token of the last holder, empty when there is none.
    """

    __slots__ = ("fence", "handover", "keys", "owner", "previous_holders")

    def __init__(
        self,
        keys: KeyRange,
        owner: ServerIncarnation,
        fence: int,
        previous_holders: tuple[ServerIncarnation, ...] = (),
        handover: str = "",
    ) -> None:
        self.keys = keys
        self.owner = owner
        self.fence = fence
        self.previous_holders = previous_holders
        self.handover = handover


class OwnershipTable(BaseValue):
    """The assignments of one service, in the order of their keys, without gap or overlap.

    ``fence`` is the highest one ever used for the service; each change uses a higher one.
    ``written_by_sole_decider`` tells that no decider from before its writer could still grant when
    it was written.
    """

    __slots__ = ("_firsts", "assignments", "fence", "service", "written_by_sole_decider")

    def __init__(
        self,
        service: str,
        fence: int,
        assignments: tuple[Assignment, ...],
        written_by_sole_decider: bool = False,
    ) -> None:
        self.written_by_sole_decider = written_by_sole_decider
        self.service = service
        self.fence = fence
        self.assignments = assignments
        self._firsts = [assignment.keys.first for assignment in assignments]

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, OwnershipTable)
            and self.service == other.service
            and self.fence == other.fence
            and self.written_by_sole_decider == other.written_by_sole_decider
            and self.assignments == other.assignments
        )

    def __hash__(self) -> int:
        return hash((self.service, self.fence, self.assignments))

    def find(self, key: int) -> Assignment | None:
        """Returns the assignment of a key, None when the table does not cover it."""
        index = bisect.bisect_right(self._firsts, key) - 1
        if index < 0:
            return None
        found = self.assignments[index]
        return found if key <= found.keys.last else None

    def owned_by(self, incarnation: ServerIncarnation) -> tuple[Assignment, ...]:
        """Returns the assignments of one incarnation of a server."""
        return tuple(found for found in self.assignments if found.owner == incarnation)
