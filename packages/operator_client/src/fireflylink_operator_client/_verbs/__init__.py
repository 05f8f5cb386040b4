"""The commands of ``fireflylink``."""

from fireflylink_operator_client._verbs._apply import ApplyVerb
from fireflylink_operator_client._verbs._base import BaseVerb
from fireflylink_operator_client._verbs._diagnose import DiagnoseVerb
from fireflylink_operator_client._verbs._explain import ExplainVerb
from fireflylink_operator_client._verbs._history import HistoryVerb
from fireflylink_operator_client._verbs._latency import LatencyVerb
from fireflylink_operator_client._verbs._status import StatusVerb
from fireflylink_operator_client._verbs._validate import PreviewVerb, ValidateVerb
from fireflylink_operator_client._verbs._watch import WatchVerb

VERBS: tuple[BaseVerb, ...] = (
    ValidateVerb(),
    PreviewVerb(),
    ApplyVerb(),
    StatusVerb(),
    ExplainVerb(),
    HistoryVerb(),
    WatchVerb(),
    LatencyVerb(),
    DiagnoseVerb(),
)

__all__ = ["VERBS", "BaseVerb"]
