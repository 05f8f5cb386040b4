"""HTTP front end towards callers."""

from fireflylink_caller_frontend._application import make_application
from fireflylink_caller_frontend._dialect import BaseCallerDialect, ReceivedRequest, SentReply
from fireflylink_caller_frontend._errors import ListenerError, RefusedRequestError
from fireflylink_caller_frontend._handler import BaseDeparture, BaseRequestHandler
from fireflylink_caller_frontend._listener import HttpListener

__all__ = [
    "BaseCallerDialect",
    "BaseDeparture",
    "BaseRequestHandler",
    "HttpListener",
    "ListenerError",
    "ReceivedRequest",
    "RefusedRequestError",
    "SentReply",
    "make_application",
]
