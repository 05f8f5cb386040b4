"""HTTP front end towards callers."""

from fireflylink_caller_frontend._application import make_application
from fireflylink_caller_frontend._errors import ListenerError, RequestRefusedError
from fireflylink_caller_frontend._handler import BaseRequestHandler
from fireflylink_caller_frontend._listener import HttpListener, WsgiApplication
from fireflylink_caller_frontend._replies import OUTCOME_HEADER, write_reply

__all__ = [
    "OUTCOME_HEADER",
    "BaseRequestHandler",
    "HttpListener",
    "ListenerError",
    "RequestRefusedError",
    "WsgiApplication",
    "make_application",
    "write_reply",
]
