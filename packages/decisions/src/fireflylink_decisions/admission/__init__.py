"""Admission of requests at the gateway of a server group."""

from fireflylink_decisions.admission._admission_values import (
    Admitted,
    BaseDecision,
    Delegated,
    Handover,
    Queued,
    Rejected,
    ServerHandover,
    ShardHandover,
)
from fireflylink_decisions.admission._answer_store import AnswerStore
from fireflylink_decisions.admission._delegation import Delegation
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._gateway_admission import GatewayAdmission, StillRunningError
from fireflylink_decisions.admission._poison_detector import (
    CrashEvidence,
    CrashReport,
    PoisonDetector,
    Suspicion,
)
from fireflylink_decisions.admission._request_id import (
    InvalidRequestIdError,
    issue_request_id,
    parse_request_id,
    timestamp_of,
)
from fireflylink_decisions.admission._request_id_memory import (
    CLOCK_SKEW_MS,
    ID_WINDOW_MS,
    RequestIdMemory,
)
from fireflylink_decisions.admission._server_report import ServerReport
from fireflylink_decisions.retries import CallOutcome, CallResult

__all__ = [
    "CLOCK_SKEW_MS",
    "ID_WINDOW_MS",
    "Admitted",
    "AnswerStore",
    "BaseDecision",
    "CallOutcome",
    "CallResult",
    "CrashEvidence",
    "CrashReport",
    "Delegated",
    "Delegation",
    "GatewayAdmission",
    "Handover",
    "InvalidRequestIdError",
    "PoisonDetector",
    "Queued",
    "Rejected",
    "RequestIdMemory",
    "ServerHandover",
    "ServerReport",
    "ShardHandover",
    "StillRunningError",
    "Suspicion",
    "fingerprint_of",
    "issue_request_id",
    "parse_request_id",
    "timestamp_of",
]
