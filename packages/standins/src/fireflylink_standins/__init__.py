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
from fireflylink_standins._examples import ASSOCIATION, PRESS, ExampleSystem, first_note
from fireflylink_standins._journal import (
    Journal,
    JournalEntry,
    duplicated_requests,
    entry_from_document,
    overlapping_owners,
)
from fireflylink_standins._load_generator import LoadGenerator
from fireflylink_standins._load_report import LoadReport, Verification, verify
from fireflylink_standins._load_settings import LoadSettings, LoadSettingsError
from fireflylink_standins._local_system import LocalSystem, LocalSystemError
from fireflylink_standins._memory_key_value import MemoryKeyValue
from fireflylink_standins._platform_faults import CallCounts, PlatformFaults, PlatformMode
from fireflylink_standins._platform_server import PlatformStandin
from fireflylink_standins._platform_store import PlatformStore
from fireflylink_standins._process_group import ProcessError, ProcessGroup, WorkspaceProcess
from fireflylink_standins._request_ids import make_request_id
from fireflylink_standins._scenario import Scenario, ScenarioError, Told, wrongly_not_run

__all__ = [
    "ASSOCIATION",
    "PRESS",
    "BackendAdmin",
    "BackendSettings",
    "BackendStandin",
    "BaseBackendFault",
    "CallCounts",
    "Crash",
    "Delay",
    "Drain",
    "ExampleSystem",
    "Freeze",
    "Journal",
    "JournalEntry",
    "LoadGenerator",
    "LoadReport",
    "LoadSettings",
    "LoadSettingsError",
    "LocalSystem",
    "LocalSystemError",
    "LoseAnswer",
    "LyingHealth",
    "MemoryKeyValue",
    "Oversize",
    "PlatformFaults",
    "PlatformMode",
    "PlatformStandin",
    "PlatformStore",
    "Poison",
    "ProcessError",
    "ProcessGroup",
    "Scenario",
    "ScenarioError",
    "Silence",
    "Slow",
    "Told",
    "Truncate",
    "TurnCold",
    "Verification",
    "WorkspaceProcess",
    "WrongCallId",
    "duplicated_requests",
    "entry_from_document",
    "first_note",
    "make_request_id",
    "overlapping_owners",
    "verify",
    "wrongly_not_run",
]
