"""A whole deployment on a manual clock, around the real decision code."""

from fireflylink_emulator._agenda import Agenda
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._callers import Callers
from fireflylink_emulator._emulated_decider import EmulatedDecider, served_part
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._fault_run import FAULT_PROFILES, run_with_faults
from fireflylink_emulator._losses import LOSSES, measure
from fireflylink_emulator._pattern import (
    Arrival,
    ArrivalPattern,
    PatternError,
    decode_pattern,
    encode_pattern,
    read_pattern,
)
from fireflylink_emulator._profile import (
    APPROVALS,
    FLEET,
    LOOKUPS,
    ORDERS,
    FleetProfile,
    ServiceProfile,
)
from fireflylink_emulator._situation_run import replay
from fireflylink_emulator._situations import SITUATIONS, BaseSituation
from fireflylink_emulator._tally import Tally

__all__ = [
    "APPROVALS",
    "FAULT_PROFILES",
    "FLEET",
    "LOOKUPS",
    "LOSSES",
    "ORDERS",
    "SITUATIONS",
    "Agenda",
    "Arrival",
    "ArrivalPattern",
    "BaseEmulatedDaemon",
    "BaseSituation",
    "Callers",
    "EmulatedDecider",
    "EmulatedServer",
    "Emulation",
    "FleetProfile",
    "PatternError",
    "ServiceProfile",
    "Tally",
    "decode_pattern",
    "encode_pattern",
    "measure",
    "read_pattern",
    "replay",
    "run_with_faults",
    "served_part",
]
