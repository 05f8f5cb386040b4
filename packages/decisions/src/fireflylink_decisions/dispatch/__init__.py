"""Queueing of requests, their dispatch to servers, and refusal of those that cannot be served."""

from fireflylink_decisions.dispatch._dispatcher import Dispatcher
from fireflylink_decisions.dispatch._queued_request import (
    BaseDispatchResult,
    Dispatched,
    QueuedRequest,
    Refused,
)
from fireflylink_decisions.dispatch._request_queue import RequestQueue
from fireflylink_decisions.dispatch._service_pool import ServicePool

__all__ = [
    "BaseDispatchResult",
    "Dispatched",
    "Dispatcher",
    "QueuedRequest",
    "Refused",
    "RequestQueue",
    "ServicePool",
]
