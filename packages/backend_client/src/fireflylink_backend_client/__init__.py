"""Client for backend servers: connection pools for requests, and grant and release commands."""

from fireflylink_backend_client._cancellation import Cancellation
from fireflylink_backend_client._codec import BaseServerCodec, EncodedCommand
from fireflylink_backend_client._commands import (
    CommandError,
    ServerCommandClient,
    ServerMismatchError,
    StaleFenceError,
)
from fireflylink_backend_client._pool import ServerConnectionPool

__all__ = [
    "BaseServerCodec",
    "Cancellation",
    "CommandError",
    "EncodedCommand",
    "ServerCommandClient",
    "ServerConnectionPool",
    "ServerMismatchError",
    "StaleFenceError",
]
