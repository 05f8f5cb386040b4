"""Numbers of keys that a new table moves, for logs."""

from fireflylink_core import BaseValue, OwnershipTable, ServerIncarnation


class TableChanges(BaseValue):
    """Numbers of keys that change their owner, by reason.

    ``lost_keys`` counts keys whose former owner may no longer own keys, ``moved_keys`` those whose
    former owner may. ``joined`` counts the owners that had no keys before.
    """

    __slots__ = ("joined", "lost_keys", "moved_keys")

    def __init__(self, lost_keys: int, moved_keys: int, joined: int) -> None:
        self.lost_keys = lost_keys
        self.moved_keys = moved_keys
        self.joined = joined


def changes_between(
    old: OwnershipTable, new: OwnershipTable, candidates: frozenset[ServerIncarnation]
) -> TableChanges:
    """Compares two tables of a service. ``candidates`` are the servers that may own keys.

    Example::

        changes = changes_between(table, planned, frozenset({incarnation}))
    """
    lost = 0
    moved = 0
    remaining = list(old.assignments)
    for assignment in new.assignments:
        while remaining[0].keys.last < assignment.keys.first:
            remaining.pop(0)
        for former in remaining:
            if former.keys.first > assignment.keys.last:
                break
            if former.owner == assignment.owner:
                continue
            first = max(former.keys.first, assignment.keys.first)
            last = min(former.keys.last, assignment.keys.last)
            if former.owner in candidates:
                moved += last - first + 1
            else:
                lost += last - first + 1
    owners = {assignment.owner for assignment in old.assignments}
    joined = {assignment.owner for assignment in new.assignments} - owners
    return TableChanges(lost, moved, len(joined))
