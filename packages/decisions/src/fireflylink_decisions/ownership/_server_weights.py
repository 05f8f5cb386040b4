"""What share of the load each server should have."""

from fireflylink_core import ServerIncarnation
from fireflylink_decisions.ownership._candidate import Candidate

PROPORTIONAL_UTILIZATION = 0.8
"""Total request rate, as a fraction of the total capacity, from which shares are in proportion to
the capacities. Below it, fast servers get more than that, because they answer sooner."""

IDLE_CAPACITY_EXPONENT = 1.0
"""A server's weight is its capacity x (capacity / mean capacity) ^ exponent. This is the exponent
if there is no load. It decreases to 0 at ``PROPORTIONAL_UTILIZATION``."""


def server_weights(
    candidates: list[Candidate], total_rate: float
) -> dict[ServerIncarnation, float]:
    """Returns weights in proportion to the share of the load that each server should have.

    Below ``PROPORTIONAL_UTILIZATION``, servers with a higher capacity than the mean get more than
    in proportion to it, because they answer sooner. From there on, only the capacity counts.
    """
    total_capacity = sum(candidate.capacity for candidate in candidates)
    mean_capacity = total_capacity / len(candidates)
    spare_fraction = max(0.0, 1.0 - total_rate / total_capacity / PROPORTIONAL_UTILIZATION)
    return {
        candidate.incarnation: candidate.capacity
        * (candidate.capacity / mean_capacity) ** (IDLE_CAPACITY_EXPONENT * spare_fraction)
        for candidate in candidates
    }
