"""The tasks of a decider and their messages, for programs that run them without sockets."""

from fireflylink_daemon._command_tasks import CommandTask, ServerCommandTasks
from fireflylink_daemon._decider_task import DeciderTask
from fireflylink_daemon._fleet_commands import FleetCommands
from fireflylink_daemon._messages import (
    CommandCompleted,
    DeciderClaimReceived,
    DeciderRetiredReceived,
    LoadReportReceived,
    SendCommand,
    StoreReadFailed,
    StoreReadSucceeded,
    UpdatesRead,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._ownership_task import OwnershipTask
from fireflylink_daemon._peers import PeerSocket
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._settings import Address, Bounds, Settings
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view_task import ViewTask

__all__ = [
    "Address",
    "BaseTask",
    "Bounds",
    "CommandCompleted",
    "CommandTask",
    "DeciderClaimReceived",
    "DeciderRetiredReceived",
    "DeciderTask",
    "FleetCommands",
    "LoadReportReceived",
    "Metrics",
    "OwnershipTask",
    "PeerSocket",
    "RoutingState",
    "SendCommand",
    "ServerCommandTasks",
    "Settings",
    "StoreReadFailed",
    "StoreReadSucceeded",
    "UpdatesRead",
    "ViewTask",
]
