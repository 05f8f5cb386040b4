"""HTTP front end that receives the requests of callers."""

from fireflylink_caller_frontend._application import make_application
from fireflylink_caller_frontend._codec import BaseCallerCodec, EncodedReply, ReceivedRequest
from fireflylink_caller_frontend._errors import ListenerError, RefusedRequestError
from fireflylink_caller_frontend._handler import BaseDisconnectNotifier, BaseRequestHandler
from fireflylink_caller_frontend._listener import HttpListener

__all__ = [
    "BaseCallerCodec",
    "BaseDisconnectNotifier",
    "BaseRequestHandler",
    "EncodedReply",
    "HttpListener",
    "ListenerError",
    "ReceivedRequest",
    "RefusedRequestError",
    "make_application",
]
