"""Stand-ins for the platform and backend servers, load generation and process fixtures."""

from fireflylink_standins._memory_key_value import MemoryKeyValue
from fireflylink_standins._platform_faults import CallCounts, PlatformFaults, PlatformMode
from fireflylink_standins._platform_server import PlatformStandin
from fireflylink_standins._platform_store import PlatformStore

__all__ = [
    "CallCounts",
    "MemoryKeyValue",
    "PlatformFaults",
    "PlatformMode",
    "PlatformStandin",
    "PlatformStore",
]
