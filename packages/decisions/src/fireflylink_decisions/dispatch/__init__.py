"""Waiting, placing and refusing."""

from fireflylink_decisions.dispatch._dispatcher import Dispatcher, ServicePool
from fireflylink_decisions.dispatch._queued_request import (
    BaseDispatchResult,
    Dispatched,
    QueuedRequest,
    Refused,
)
from fireflylink_decisions.dispatch._request_queue import RequestQueue

__all__ = [
    "BaseDispatchResult",
    "Dispatched",
    "Dispatcher",
    "QueuedRequest",
    "Refused",
    "RequestQueue",
    "ServicePool",
]
