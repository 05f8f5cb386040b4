"""HTTP/1.1 client connections that report whether a failed request may have run."""

from fireflylink_http_client._connection import HttpConnection
from fireflylink_http_client._encoding import encode_request, encode_request_head
from fireflylink_http_client._errors import ExchangeError, LostError, NotSentError
from fireflylink_http_client._persistent_connection import PersistentConnection
from fireflylink_http_client._response import HttpResponse, ResponseReader

__all__ = [
    "ExchangeError",
    "HttpConnection",
    "HttpResponse",
    "LostError",
    "NotSentError",
    "PersistentConnection",
    "ResponseReader",
    "encode_request",
    "encode_request_head",
]
