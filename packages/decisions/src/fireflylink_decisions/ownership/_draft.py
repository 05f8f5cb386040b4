"""A table that is being changed."""

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._key_load import RangeLoad


class Draft:
    """Assignments of one service under change. All changes of one draft share a new fence."""

    __slots__ = ("assignments", "changed", "fence", "loads", "service")

    def __init__(self, table: OwnershipTable, loads: RangeLoad) -> None:
        self.service = table.service
        self.fence = table.fence + 1
        self.assignments = list(table.assignments)
        self.loads = loads
        self.changed = False

    def load(self, incarnation: ServerIncarnation) -> float:
        """Returns the rate of all keys of a server."""
        return sum(
            self.loads.total(assignment.keys)
            for assignment in self.assignments
            if assignment.owner == incarnation
        )

    def move(self, index: int, keys: KeyRange, owner: ServerIncarnation) -> None:
        """Gives a part of an assignment, at either of its ends or whole, to another server."""
        old = self.assignments[index]
        moved = Assignment(
            keys, owner, self.fence, _holders(old), old.handover if old.previous_holders else ""
        )
        parts = []
        if old.keys.first < keys.first:
            parts.append(old.replace(keys=KeyRange(old.keys.first, keys.first - 1)))
        parts.append(moved)
        if keys.last < old.keys.last:
            parts.append(old.replace(keys=KeyRange(keys.last + 1, old.keys.last)))
        self.assignments[index : index + 1] = parts
        self.changed = True

    def merge(self) -> None:
        """Joins neighbouring assignments of one owner that nothing is pending for.

        The joined range gets the draft's fence, which is above both former ones.
        """
        merged: list[Assignment] = []
        for assignment in self.assignments:
            last = merged[-1] if merged else None
            if last is None or not _joins(last, assignment):
                merged.append(assignment)
                continue
            keys = KeyRange(last.keys.first, assignment.keys.last)
            merged[-1] = Assignment(keys, last.owner, self.fence)
            self.changed = True
        self.assignments = merged

    def table(self) -> OwnershipTable:
        """Returns the changed table."""
        return OwnershipTable(self.service, self.fence, tuple(self.assignments))


def _holders(old: Assignment) -> tuple[ServerIncarnation, ...]:
    """Returns who may hold the keys of an assignment: its owner and who has not given them up."""
    return (*old.previous_holders, old.owner)


def _joins(left: Assignment, right: Assignment) -> bool:
    return left.owner == right.owner and not left.previous_holders and not right.previous_holders
