"""Mutable copy of an ownership table for the planner."""

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._key_load import RangeLoad


class TableDraft:
    """A mutable copy of an ownership table. All its changes share one new fence."""

    __slots__ = ("assignments", "changed", "fence", "range_load", "service")

    def __init__(self, table: OwnershipTable, range_load: RangeLoad) -> None:
        self.service = table.service
        self.fence = table.fence + 1
        self.assignments = list(table.assignments)
        self.range_load = range_load
        self.changed = False

    def total_rate(self, incarnation: ServerIncarnation) -> float:
        """Returns the requests per second of all keys of a server."""
        return sum(
            self.range_load.total_rate(assignment.keys)
            for assignment in self.assignments
            if assignment.owner == incarnation
        )

    def reassign(self, index: int, keys: KeyRange, owner: ServerIncarnation) -> None:
        """Assigns keys of the assignment at ``index`` to another server.

        The assignment's other keys keep their owner and their fence.
        """
        old = self.assignments[index]
        moved = Assignment(
            keys,
            owner,
            self.fence,
            _possible_holders(old),
            old.handover if old.previous_holders else "",
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
        """Merges adjacent assignments of one owner that have no previous holders.

        The merged range gets the draft's fence, which is higher than the fences of both in the old
        table.
        """
        merged: list[Assignment] = []
        for assignment in self.assignments:
            last = merged[-1] if merged else None
            if last is None or not _can_merge(last, assignment):
                merged.append(assignment)
                continue
            keys = KeyRange(last.keys.first, assignment.keys.last)
            merged[-1] = Assignment(keys, last.owner, self.fence)
            self.changed = True
        self.assignments = merged

    def table(self) -> OwnershipTable:
        """Returns the changed table."""
        return OwnershipTable(self.service, self.fence, tuple(self.assignments))


def _possible_holders(assignment: Assignment) -> tuple[ServerIncarnation, ...]:
    """Returns the owner and the previous holders that the table still lists."""
    return (*assignment.previous_holders, assignment.owner)


def _can_merge(left: Assignment, right: Assignment) -> bool:
    return left.owner == right.owner and not left.previous_holders and not right.previous_holders
