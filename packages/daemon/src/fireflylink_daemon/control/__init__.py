"""The control plane of a daemon without the process around it, for measurements.

It is a subpackage of its own so that the command line, which makes the standard library
cooperative, is the first thing that ``fireflylinkd`` imports.
"""

from fireflylink_daemon._control_messages import (
    EndorseAsked,
    GatewayReport,
    InstancesRead,
    PlatformRead,
    SyncAsked,
    TableWritesEnded,
    TableWritten,
)
from fireflylink_daemon._control_state import ControlState
from fireflylink_daemon._control_task import ControlTask
from fireflylink_daemon._document_cache import DocumentCache
from fireflylink_daemon._load_meter import LOAD_PERIOD, LoadMeter
from fireflylink_daemon._peers import PeerDirectory
from fireflylink_daemon._planning import PlanningDesk
from fireflylink_daemon._platform_task import (
    CONFIGURATION_KEY,
    INSTANCE_PERIOD,
    OWNERSHIP_PREFIX,
    ReadAll,
    SetWatching,
    WriteTables,
)
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view import View

__all__ = [
    "CONFIGURATION_KEY",
    "INSTANCE_PERIOD",
    "LOAD_PERIOD",
    "OWNERSHIP_PREFIX",
    "BaseTask",
    "ControlState",
    "ControlTask",
    "DocumentCache",
    "EndorseAsked",
    "GatewayReport",
    "InstancesRead",
    "LoadMeter",
    "PeerDirectory",
    "PlanningDesk",
    "PlatformRead",
    "ReadAll",
    "SetWatching",
    "SyncAsked",
    "TableWritesEnded",
    "TableWritten",
    "View",
    "WriteTables",
]
