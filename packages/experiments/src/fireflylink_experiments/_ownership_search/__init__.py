"""Search for two owners of a key: the decider's tasks against servers with faults on the wire."""

from fireflylink_experiments._ownership_search._checker import Violation, ViolationKind
from fireflylink_experiments._ownership_search._play import OwnershipPlay, PlayResult

__all__ = ["OwnershipPlay", "PlayResult", "Violation", "ViolationKind"]
