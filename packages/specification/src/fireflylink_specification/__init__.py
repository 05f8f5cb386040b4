"""Models of the ownership protocol and their checks."""

from fireflylink_specification._check import (
    MAX_STATES,
    ProgressResult,
    SafetyResult,
    check_progress,
    check_safety,
)
from fireflylink_specification._guards import ALL_GUARDS, Guard, Guards
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._takeover import TakeoverModel

__all__ = [
    "ALL_GUARDS",
    "MAX_STATES",
    "BaseModel",
    "Guard",
    "Guards",
    "ProgressResult",
    "SafetyResult",
    "Step",
    "TakeoverModel",
    "check_progress",
    "check_safety",
]
