"""A randomized soak: the real programs as processes, with faults from outside, from a seed."""

from fireflylink_soak._callers import LEFT, LOST, Reply
from fireflylink_soak._calm_period import CalmPeriod
from fireflylink_soak._checks import check_all
from fireflylink_soak._datagram_proxy import DatagramFault, DatagramProxy
from fireflylink_soak._proxy import EdgeFault, Proxy
from fireflylink_soak._record import ServerEvent, read_events
from fireflylink_soak._regressions import REGRESSIONS, Regression
from fireflylink_soak._run import RunResult, SoakRun
from fireflylink_soak._system import SoakSystem
from fireflylink_soak._trace import log_lines_of
from fireflylink_soak._violation import Violation

__all__ = [
    "LEFT",
    "LOST",
    "REGRESSIONS",
    "CalmPeriod",
    "DatagramFault",
    "DatagramProxy",
    "EdgeFault",
    "Proxy",
    "Regression",
    "Reply",
    "RunResult",
    "ServerEvent",
    "SoakRun",
    "SoakSystem",
    "Violation",
    "check_all",
    "log_lines_of",
    "read_events",
]
