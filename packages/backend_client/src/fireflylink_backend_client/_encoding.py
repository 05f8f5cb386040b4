"""Encoding of requests to backend servers."""

import re
from urllib.parse import quote

from fireflylink_backend_client._results import CallHeaders
from fireflylink_core import BackendServer, CallerRequest

PLAIN_SEGMENT = re.compile(r"[A-Za-z0-9._~-]+").fullmatch
PLAIN_QUERY = re.compile(r"[\x21-\x7e]*").fullmatch
CALL_LINES = 12


class MalformedRequestError(ValueError):
    """A field of a request would break the framing of HTTP."""


def host_header_of(server: BackendServer) -> str:
    """Returns the value of the Host header for a server."""
    host = f"[{server.host}]" if ":" in server.host else server.host
    return f"{host}:{server.port}"


def encode_call(request: CallerRequest, headers: CallHeaders, host: str) -> bytes:
    """Returns the bytes of a call, or raises ``MalformedRequestError``."""
    target = f"/{_segment(request.service)}"
    if request.key:
        target += f"/{_segment(request.key)}"
    if request.query:
        if not PLAIN_QUERY(request.query):
            raise MalformedRequestError("query holds a space, a control or a non-ASCII character")
        target += f"?{request.query}"
    head = (
        f"{request.method} {target} HTTP/1.1\r\n"
        f"Host: {host}\r\n"
        f"Content-Length: {len(request.body)}\r\n"
        f"Content-Type: {request.content_type}\r\n"
        f"Fireflylink-Call-Id: {headers.call_id}\r\n"
        f"Fireflylink-Request-Id: {request.request_id}\r\n"
        f"Fireflylink-Deadline-Ms: {headers.deadline_ms}\r\n"
        f"Fireflylink-Gateway-Epoch: {headers.gateway_epoch}\r\n"
        f"Fireflylink-Shard: {headers.shard}\r\n"
        f"Fireflylink-Epoch: {headers.epoch}\r\n"
        f"Fireflylink-Tenant: {request.tenant}\r\n"
        "\r\n"
    )
    if head.count("\n") != CALL_LINES or head.count("\r") != CALL_LINES:
        raise MalformedRequestError("a header value holds a line break")
    try:
        return head.encode("latin-1") + request.body
    except UnicodeEncodeError as error:
        raise MalformedRequestError("a header value holds a non-Latin-1 character") from error


def encode_command(method: str, target: str, host: str, body: bytes) -> bytes:
    """Returns the bytes of a grant, revocation or health request."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode("ascii") + body


def _segment(text: str) -> str:
    return text if PLAIN_SEGMENT(text) else quote(text, safe="")
