"""Limits of backend servers and the queue in front of them."""

from fireflylink_decisions.limits._connection_limit import ConnectionLimit
from fireflylink_decisions.limits._fair_queue import QUANTUM, FairQueue, QueueEntry
from fireflylink_decisions.limits._server_limiter import (
    COLD_RAMP_SUCCESSES,
    ReportedState,
    ServerLimiter,
)
from fireflylink_decisions.limits._service_time import ServiceTime

__all__ = [
    "COLD_RAMP_SUCCESSES",
    "QUANTUM",
    "ConnectionLimit",
    "FairQueue",
    "QueueEntry",
    "ReportedState",
    "ServerLimiter",
    "ServiceTime",
]
