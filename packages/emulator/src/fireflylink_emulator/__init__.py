"""Discrete-event emulator of a whole deployment that runs the production decision code."""

from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._callers import Callers
from fireflylink_emulator._emulated_decider import EmulatedDecider, held_key_fraction
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._failures import FAILURES, measure_recovery
from fireflylink_emulator._fault_run import FAULT_RUN_PROFILES, run_with_faults
from fireflylink_emulator._pattern import (
    Arrival,
    ArrivalPattern,
    UnreadablePattern,
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
from fireflylink_emulator._routed_daemon import RoutedDaemon
from fireflylink_emulator._run_statistics import RunStatistics
from fireflylink_emulator._scenario_run import replay_scenario
from fireflylink_emulator._scenarios import SCENARIOS, BaseScenario

__all__ = [
    "APPROVALS",
    "FAILURES",
    "FAULT_RUN_PROFILES",
    "FLEET",
    "LOOKUPS",
    "ORDERS",
    "SCENARIOS",
    "Arrival",
    "ArrivalPattern",
    "BaseEmulatedDaemon",
    "BaseScenario",
    "Callers",
    "EmulatedDecider",
    "EmulatedServer",
    "Emulation",
    "EventScheduler",
    "FleetProfile",
    "RoutedDaemon",
    "RunStatistics",
    "ServiceProfile",
    "UnreadablePattern",
    "decode_pattern",
    "encode_pattern",
    "held_key_fraction",
    "measure_recovery",
    "read_pattern",
    "replay_scenario",
    "run_with_faults",
]
