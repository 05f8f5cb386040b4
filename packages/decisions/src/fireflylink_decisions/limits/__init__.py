"""Limits that apply to all daemons together: cold servers, retries and connections."""

from fireflylink_decisions.limits._cold_server_limiter import ColdLimit, ColdServerLimiter
from fireflylink_decisions.limits._fleet_position import ASSUMED_MEMBER_COUNT, FleetPosition
from fireflylink_decisions.limits._retry_budget import RetryBudget, RetryBudgetLimits
from fireflylink_decisions.limits._sliding_window_counter import SlidingWindowCounter

__all__ = [
    "ASSUMED_MEMBER_COUNT",
    "ColdLimit",
    "ColdServerLimiter",
    "FleetPosition",
    "RetryBudget",
    "RetryBudgetLimits",
    "SlidingWindowCounter",
]
