"""Ownership of shards: planning of tables and lookup of owners."""

from fireflylink_decisions.ownership._eligibility import find_unowned
from fireflylink_decisions.ownership._errors import OwnershipError
from fireflylink_decisions.ownership._plan import (
    EMPTY_PLAN,
    BasePlanner,
    Plan,
    PlanningInput,
    ShardMove,
)
from fireflylink_decisions.ownership._planner import BoundedLoadPlanner
from fireflylink_decisions.ownership._records import NO_RELEASE, in_transit, is_active
from fireflylink_decisions.ownership._routes import Route, Routes, merge_tables

__all__ = [
    "EMPTY_PLAN",
    "NO_RELEASE",
    "BasePlanner",
    "BoundedLoadPlanner",
    "OwnershipError",
    "Plan",
    "PlanningInput",
    "Route",
    "Routes",
    "ShardMove",
    "find_unowned",
    "in_transit",
    "is_active",
    "merge_tables",
]
