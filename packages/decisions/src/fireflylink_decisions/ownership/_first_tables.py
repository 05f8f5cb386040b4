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


def with_new_fence(table: OwnershipTable) -> OwnershipTable:
    """Returns the table with a new fence for every range, as a new decider first writes it.

    A former decider that cannot reach the store may still renew its grants. A server that has
    confirmed the new fence refuses them, so that this decider knows when the server's hold expires.
    """
    fence = table.fence + 1
    assignments = tuple(assignment.replace(fence=fence) for assignment in table.assignments)
    return OwnershipTable(table.service, fence, assignments)
