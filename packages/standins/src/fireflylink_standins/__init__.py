"""Stand-ins for the platform and backend servers, load generation and process fixtures."""

from fireflylink_standins._backend_admin import BackendAdmin
from fireflylink_standins._backend_faults import (
    BaseBackendFault,
    Crash,
    Delay,
    Drain,
    Freeze,
    LoseAnswer,
    LyingHealth,
    Oversize,
    Poison,
    Silence,
    Slow,
    Truncate,
    TurnCold,
    WrongCallId,
)
from fireflylink_standins._backend_server import BackendStandin
from fireflylink_standins._backend_settings import BackendSettings
from fireflylink_standins._journal import (
    Journal,
    JournalEntry,
    duplicated_requests,
    entry_from_document,
    overlapping_owners,
)
from fireflylink_standins._memory_key_value import MemoryKeyValue
from fireflylink_standins._platform_faults import CallCounts, PlatformFaults, PlatformMode
from fireflylink_standins._platform_server import PlatformStandin
from fireflylink_standins._platform_store import PlatformStore

__all__ = [
    "BackendAdmin",
    "BackendSettings",
    "BackendStandin",
    "BaseBackendFault",
    "CallCounts",
    "Crash",
    "Delay",
    "Drain",
    "Freeze",
    "Journal",
    "JournalEntry",
    "LoseAnswer",
    "LyingHealth",
    "MemoryKeyValue",
    "Oversize",
    "PlatformFaults",
    "PlatformMode",
    "PlatformStandin",
    "PlatformStore",
    "Poison",
    "Silence",
    "Slow",
    "Truncate",
    "TurnCold",
    "WrongCallId",
    "duplicated_requests",
    "entry_from_document",
    "overlapping_owners",
]
