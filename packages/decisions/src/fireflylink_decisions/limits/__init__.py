"""Limits that apply to all daemons together, and this daemon's share of them.

They concern retries and the requests to a cold server: one that is still warming up, so that it may
get only a few requests per second.
"""

from fireflylink_decisions.limits._cold_server_limiter import ColdLimit, ColdServerLimiter
from fireflylink_decisions.limits._fleet_position import MIN_ASSUMED_MEMBER_COUNT, FleetPosition
from fireflylink_decisions.limits._retry_budget import RetryBudget, RetryBudgetLimits
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

__all__ = [
    "MIN_ASSUMED_MEMBER_COUNT",
    "ColdLimit",
    "ColdServerLimiter",
    "FleetPosition",
    "RetryBudget",
    "RetryBudgetLimits",
    "SlidingWindowCounter",
]
