"""Bounded connections to backend servers, grants and health."""

from fireflylink_backend_client._commands import (
    GrantCommand,
    RevokeCommand,
    ServerStatus,
    WarmthState,
)
from fireflylink_backend_client._control import CONTROL_CONNECTIONS, BackendControl
from fireflylink_backend_client._errors import (
    BackendError,
    BackendReplyLost,
    BackendUnreachable,
    GrantRefused,
)
from fireflylink_backend_client._pool import BackendPool
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
    "LostReason",
    "NotRunByServer",
    "NotSent",
    "NotSentReason",
    "RevokeCommand",
    "ServerStatus",
    "WarmthState",
]
