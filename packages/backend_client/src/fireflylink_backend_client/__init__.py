"""Pools of connections to backend servers, requests, grants and releases."""

from fireflylink_backend_client._cancellation import Cancellation
from fireflylink_backend_client._commands import (
    CommandError,
    HigherFenceError,
    OtherServerError,
    ServerCommands,
)
from fireflylink_backend_client._dialect import BaseServerDialect, ServerCommand
from fireflylink_backend_client._pool import ServerPool

__all__ = [
    "BaseServerDialect",
    "Cancellation",
    "CommandError",
    "HigherFenceError",
    "OtherServerError",
    "ServerCommand",
    "ServerCommands",
    "ServerPool",
]
