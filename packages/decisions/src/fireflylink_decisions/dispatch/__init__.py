"""Waiting, placing and refusing."""

from fireflylink_decisions.dispatch._dispatcher import Dispatcher, ServicePool
from fireflylink_decisions.dispatch._ticket import BasePlacement, Refuse, Send, Ticket
from fireflylink_decisions.dispatch._waiting_line import WaitingLine

__all__ = [
    "BasePlacement",
    "Dispatcher",
    "Refuse",
    "Send",
    "ServicePool",
    "Ticket",
    "WaitingLine",
]
