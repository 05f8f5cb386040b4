"""Stand-ins for the platform's store and backend servers, and a local system that uses them.

The platform is the environment of the daemons, with its own store and HTTP protocol.
"""

from fireflylink_standins._backend_server import (
    COMMAND_PATHS,
    LATE_HEADER,
    BackendServerStandin,
)
from fireflylink_standins._base_lease_store import BaseLeaseStore
from fireflylink_standins._bench_target import BenchTarget, process_cpu_seconds, resident_megabytes
from fireflylink_standins._caller import Caller, encode_call
from fireflylink_standins._grant_state import GrantState, Run
from fireflylink_standins._local_system import (
    COLD_REQUESTS_PER_SECOND,
    DAEMON_BOUNDS,
    DATA_CENTRES,
    KEYED_SERVICE,
    LOOKUP_PATH,
    ORDER_PATH,
    POOLED_SERVICE,
    VERSION_PATH,
    VIRTUAL_HOST,
    LocalDaemon,
    LocalSystem,
    write_configuration,
    write_evacuation,
    write_settings,
)
from fireflylink_standins._memory_store import MemoryStore
from fireflylink_standins._port_block import PortBlock
from fireflylink_standins._store_server import (
    StoreFaults,
    make_store_application,
    restore_store,
)
from fireflylink_standins._store_state import StoreState

__all__ = [
    "COLD_REQUESTS_PER_SECOND",
    "COMMAND_PATHS",
    "DAEMON_BOUNDS",
    "DATA_CENTRES",
    "KEYED_SERVICE",
    "LATE_HEADER",
    "LOOKUP_PATH",
    "ORDER_PATH",
    "POOLED_SERVICE",
    "VERSION_PATH",
    "VIRTUAL_HOST",
    "BackendServerStandin",
    "BaseLeaseStore",
    "BenchTarget",
    "Caller",
    "GrantState",
    "LocalDaemon",
    "LocalSystem",
    "MemoryStore",
    "PortBlock",
    "Run",
    "StoreFaults",
    "StoreState",
    "encode_call",
    "make_store_application",
    "process_cpu_seconds",
    "resident_megabytes",
    "restore_store",
    "write_configuration",
    "write_evacuation",
    "write_settings",
]
