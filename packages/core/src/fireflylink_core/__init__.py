"""Types shared by every package: clocks, configuration, servers, keys and requests."""

from fireflylink_core._call_result import (
    Answered,
    BaseCallResult,
    Declined,
    Lost,
    LostReason,
    NotSent,
)
from fireflylink_core._change_fragment import ChangeFragment
from fireflylink_core._clock import BaseClock, ManualClock, SystemClock
from fireflylink_core._configuration import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RouteTarget,
    Service,
)
from fireflylink_core._daemon_address import DaemonAddress
from fireflylink_core._errors import BaseFireflylinkError
from fireflylink_core._event_loop import yield_to_event_loop
from fireflylink_core._json_fields import MAX_INTEGER, MISSING, BaseJsonFields
from fireflylink_core._keys import (
    FIRST_KEY,
    KEY_COUNT,
    LAST_KEY,
    Assignment,
    KeyRange,
    OwnershipTable,
)
from fireflylink_core._memory_budget import MemoryBudget, MemoryReservation
from fireflylink_core._parsing_limiter import ParsingLimiter
from fireflylink_core._receive_limits import ReceiveLimits
from fireflylink_core._request import (
    NO_KEY,
    BaseReply,
    CallerDisconnected,
    CallerRequest,
    Headers,
    NotRun,
    OutcomeUnknown,
    ServerAnswer,
)
from fireflylink_core._send_window import SendWindow
from fireflylink_core._server import (
    BackendServer,
    ServerIncarnation,
    ServerLoad,
    ServerNotice,
    ServerState,
)
from fireflylink_core._value import BaseValue

__all__ = [
    "FIRST_KEY",
    "KEY_COUNT",
    "LAST_KEY",
    "MAX_INTEGER",
    "MISSING",
    "NO_KEY",
    "Answered",
    "Assignment",
    "BackendServer",
    "BaseCallResult",
    "BaseClock",
    "BaseFireflylinkError",
    "BaseJsonFields",
    "BaseReply",
    "BaseValue",
    "CallerDisconnected",
    "CallerLimits",
    "CallerRequest",
    "ChangeFragment",
    "Configuration",
    "DaemonAddress",
    "Declined",
    "Headers",
    "KeyRange",
    "Lost",
    "LostReason",
    "ManualClock",
    "MemoryBudget",
    "MemoryReservation",
    "NotRun",
    "NotSent",
    "OutcomeUnknown",
    "OwnershipTable",
    "ParsingLimiter",
    "ReceiveLimits",
    "RequestKind",
    "Route",
    "RouteTarget",
    "SendWindow",
    "ServerAnswer",
    "ServerIncarnation",
    "ServerLoad",
    "ServerNotice",
    "ServerState",
    "Service",
    "SystemClock",
    "yield_to_event_loop",
]
