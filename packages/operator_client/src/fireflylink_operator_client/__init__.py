"""The operators' command line: shows what the store and the daemons' logs hold."""

from fireflylink_operator_client._commands import owner_lines, request_log_lines, status_lines
from fireflylink_operator_client._errors import OperatorError, OverlapError
from fireflylink_operator_client._history_command import history_lines
from fireflylink_operator_client._main import main, run
from fireflylink_operator_client._system_view import SystemView, read_system

__all__ = [
    "OperatorError",
    "OverlapError",
    "SystemView",
    "history_lines",
    "main",
    "owner_lines",
    "read_system",
    "request_log_lines",
    "run",
    "status_lines",
]
