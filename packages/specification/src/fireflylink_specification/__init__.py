"""Finite models of the ownership protocol, and the checker that explores their states."""

from fireflylink_specification._check import (
    MAX_STATES,
    ModelChecker,
    ProgressResult,
    SafetyResult,
)
from fireflylink_specification._guards import ALL_GUARDS, Guard, Guards
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._models import MODELS

__all__ = [
    "ALL_GUARDS",
    "MAX_STATES",
    "MODELS",
    "BaseModel",
    "Guard",
    "Guards",
    "ModelChecker",
    "ProgressResult",
    "SafetyResult",
    "Step",
]
