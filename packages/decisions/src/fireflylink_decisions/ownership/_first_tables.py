"""The first table of a service, and the first one that a new decider writes."""

from fireflylink_core import (
    FIRST_KEY,
    KEY_COUNT,
    LAST_KEY,
    Assignment,
    KeyRange,
    OwnershipTable,
)
from fireflylink_decisions.ownership._candidate import Candidate

FENCES_PER_ERA = 1 << 40
"""Fences of one era of the store. At one table each 0.3 s they last for ten thousand years, and
8,192 eras fit into the 53 bits of an integer that every JSON decoder reads exactly."""


def first_fence(era: int) -> int:
    """Returns the lowest fence of the tables that are first written in an era of the store.

    It is higher than all fences of earlier eras, also of those tables that the store has lost.
    """
    return max(1, era * FENCES_PER_ERA)


def initial_table(service: str, candidates: list[Candidate], fence: int) -> OwnershipTable:
    """Returns the initial table of a service, with ranges in proportion to the capacities."""
    ordered = sorted(
        candidates, key=lambda candidate: (candidate.data_centre, str(candidate.incarnation))
    )
    total_capacity = sum(candidate.capacity for candidate in ordered)
    assignments = []
    first = FIRST_KEY
    cumulative_capacity = 0.0
    for candidate in ordered:
        cumulative_capacity += candidate.capacity
        end = FIRST_KEY + round(KEY_COUNT * cumulative_capacity / total_capacity)
        if candidate is ordered[-1]:
            end = LAST_KEY + 1
        if end > first:
            assignments.append(Assignment(KeyRange(first, end - 1), candidate.incarnation, fence))
            first = end
    return OwnershipTable(service, fence, tuple(assignments))


def with_new_fence(table: OwnershipTable, minimum: int = 1) -> OwnershipTable:
    """Returns the table with a new fence for every range, as a new decider first writes it.

    The new fence is at least ``minimum``.

    A former decider that cannot reach the store may still renew its grants. A server that has
    confirmed the new fence refuses them, so that this decider knows when the server's hold expires.
    """
    fence = max(table.fence + 1, minimum)
    assignments = tuple(assignment.replace(fence=fence) for assignment in table.assignments)
    return OwnershipTable(table.service, fence, assignments)
