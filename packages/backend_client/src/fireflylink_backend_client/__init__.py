"""Bounded connections to backend servers, grants and health."""

from fireflylink_backend_client._commands import (
    GrantCommand,
    RevokeCommand,
    ServerStatus,
    WarmthState,
)
from fireflylink_backend_client._connection import BackendConnection, LostError, NotSentError
from fireflylink_backend_client._control import CONTROL_CONNECTIONS, BackendControl
from fireflylink_backend_client._errors import (
    BackendError,
    BackendReplyLost,
    BackendUnreachable,
    GrantRefused,
)
from fireflylink_backend_client._pool import BackendPool
from fireflylink_backend_client._response import ResponseReader
from fireflylink_backend_client._results import (
    Answered,
    BaseCallResult,
    CallHeaders,
    Lost,
    LostReason,
    NotRunByServer,
    NotSent,
    NotSentReason,
)

__all__ = [
    "CONTROL_CONNECTIONS",
    "Answered",
    "BackendConnection",
    "BackendControl",
    "BackendError",
    "BackendPool",
    "BackendReplyLost",
    "BackendUnreachable",
    "BaseCallResult",
    "CallHeaders",
    "GrantCommand",
    "GrantRefused",
    "Lost",
    "LostError",
    "LostReason",
    "NotRunByServer",
    "NotSent",
    "NotSentError",
    "NotSentReason",
    "ResponseReader",
    "RevokeCommand",
    "ServerStatus",
    "WarmthState",
]
