"""The operators' command line: shows the contents of the store and the log lines of a request."""

from fireflylink_operator_client._commands import history_lines, owner_lines, status_lines
from fireflylink_operator_client._errors import OperatorError
from fireflylink_operator_client._main import main, run
from fireflylink_operator_client._system_view import SystemView, read_system

__all__ = [
    "OperatorError",
    "SystemView",
    "history_lines",
    "main",
    "owner_lines",
    "read_system",
    "run",
    "status_lines",
]
