"""Ownership of keys: key ranges, their assignment to servers, and the ownership table of a service.

The owner of keys is the server incarnation that the table assigns them to. A holder is a server
incarnation with a grant of the keys that has not expired; only a holder runs requests for them.
After a change of owner, the previous holders may still hold the keys for some time.

A fence is a fencing token: a number that increases with each change of the ownership table. A
server refuses a grant whose fence is lower than one that it has seen for the same keys.
"""

import bisect

from fireflylink_core._daemon_address import DaemonAddress
from fireflylink_core._server import ServerIncarnation
from fireflylink_core._value import BaseValue

FIRST_KEY = 0
LAST_KEY = 65535
KEY_COUNT = LAST_KEY - FIRST_KEY + 1


class KeyRange(BaseValue):
    """The keys from ``first`` to ``last``, inclusive."""

    __slots__ = ("first", "last")

    def __init__(self, first: int, last: int) -> None:
        self.first = first
        self.last = last

    def __len__(self) -> int:
        return self.last - self.first + 1

    def __str__(self) -> str:
        return f"{self.first}-{self.last}"

    def covers(self, other: "KeyRange") -> bool:
        """Whether this range contains every key of the other one."""
        return self.first <= other.first and other.last <= self.last

    def overlaps(self, other: "KeyRange") -> bool:
        """Whether the ranges have a key in common."""
        return self.first <= other.last and other.first <= self.last


class Assignment(BaseValue):
    """Assigns a key range to an owner under a fence.

    ``previous_holders`` are earlier holders that are not yet recorded as having released the keys.
    The owner may be granted the keys only after each of them has released them or its hold has
    expired. ``handover`` is the token that the previous holder returned with its release. The
    daemon passes it on unread to the owner with the grant; it is empty if there is none.
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
    """The assignments of one service, in the order of their keys, without gaps or overlaps.

    ``fence`` is the highest fence ever used for the service; each change uses a higher one.
    ``written_by_sole_decider`` is true if no earlier decider (elected leader) could still grant
    keys when the table was written. The next decider then knows that the holds of previous holders
    in the table expire one grant time-out and one hold after the table was seen, at the latest.
    ``has_unknown_holders`` is true while servers that the table does not name may hold keys, by an
    assignment of a later table that the store has lost.
    ``writer`` is the decider that wrote the table, None if the record does not say. No other daemon
    can have granted keys under it, because a decider writes a table before it grants any.
    """

    __slots__ = (
        "_first_keys",
        "assignments",
        "fence",
        "has_unknown_holders",
        "service",
        "writer",
        "written_by_sole_decider",
    )

    def __init__(
        self,
        service: str,
        fence: int,
        assignments: tuple[Assignment, ...],
        written_by_sole_decider: bool = False,
        has_unknown_holders: bool = False,
        writer: DaemonAddress | None = None,
    ) -> None:
        self.writer = writer
        self.written_by_sole_decider = written_by_sole_decider
        self.has_unknown_holders = has_unknown_holders
        self.service = service
        self.fence = fence
        self.assignments = assignments
        self._first_keys = [assignment.keys.first for assignment in assignments]

    # ``BaseValue`` would include ``_first_keys``, a list, which cannot be hashed.
    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, OwnershipTable)
            and self.service == other.service
            and self.fence == other.fence
            and self.written_by_sole_decider == other.written_by_sole_decider
            and self.has_unknown_holders == other.has_unknown_holders
            and self.writer == other.writer
            and self.assignments == other.assignments
        )

    def __hash__(self) -> int:
        return hash((self.service, self.fence, self.assignments))

    def find(self, key: int) -> Assignment | None:
        """Returns the assignment of a key, or None if the table does not cover it."""
        index = bisect.bisect_right(self._first_keys, key) - 1
        if index < 0:
            return None
        assignment = self.assignments[index]
        return assignment if key <= assignment.keys.last else None

    def owned_by(self, incarnation: ServerIncarnation) -> tuple[Assignment, ...]:
        """Returns the assignments whose owner is the given server incarnation."""
        return tuple(
            assignment for assignment in self.assignments if assignment.owner == incarnation
        )
