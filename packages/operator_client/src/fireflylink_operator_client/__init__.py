"""The operators' command line: shows the contents of the store and the log lines of a request."""

from fireflylink_operator_client._commands import owner_lines, request_log_lines, status_lines
from fireflylink_operator_client._errors import OperatorError
from fireflylink_operator_client._main import main, run
from fireflylink_operator_client._system_view import SystemView, read_system

__all__ = [
    "OperatorError",
    "SystemView",
    "main",
    "owner_lines",
    "read_system",
    "request_log_lines",
    "run",
    "status_lines",
]
