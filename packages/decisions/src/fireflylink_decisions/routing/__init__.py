"""Choice of a backend server within a group and of a group within a service."""

from fireflylink_decisions.routing._group_choice import GroupChoice, GroupReport
from fireflylink_decisions.routing._latency_aware import LatencyAwarePicker
from fireflylink_decisions.routing._picker import BasePicker, LeastInFlightPicker, RoundRobinPicker

__all__ = [
    "BasePicker",
    "GroupChoice",
    "GroupReport",
    "LatencyAwarePicker",
    "LeastInFlightPicker",
    "RoundRobinPicker",
]
