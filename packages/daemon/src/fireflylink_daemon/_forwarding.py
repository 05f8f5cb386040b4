"""Forwarding of requests to the gateway daemon, and the listener that receives them."""

import json
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

from gevent.ssl import SSLContext

from fireflylink_backend_client import (
    Answered,
    BackendPool,
    BaseCallResult,
    CallHeaders,
    Lost,
    LostReason,
    NotSent,
)
from fireflylink_core import (
    MAX_REQUEST_BYTES,
    BackendAnswer,
    BackendServer,
    BaseClock,
    BaseReply,
    CallerRequest,
    Member,
    NotRun,
    OutcomeUnknown,
)

REPLY_TYPE = "application/vnd.fireflylink.reply+json"
HEALTH_PATH = "/health"
PEER_CONNECTIONS = 256
MILLISECONDS_PER_SECOND = 1000.0

ServeForwarded = Callable[[CallerRequest, int], BaseReply]


class Forwarder:
    """Sends requests to other daemons over pooled connections.

    A forwarded request has the form of a request to a backend server, so the pool's rules for
    whole answers, deadlines and silent connections hold on this hop too. Its shard header carries
    the hashed key, its deadline header the remaining milliseconds.
    """

    __slots__ = ("_calls", "_pools", "clock", "instance_id", "tls")

    def __init__(self, instance_id: str, clock: BaseClock, tls: SSLContext | None) -> None:
        self.instance_id = instance_id
        self.clock = clock
        self.tls = tls
        self._pools: dict[str, BackendPool] = {}
        self._calls = 0

    def forward(self, member: Member, request: CallerRequest, hashed_key: int) -> BaseReply:
        """Sends a request to its gateway daemon and returns that daemon's reply."""
        remaining = request.deadline - self.clock.now()
        if remaining <= 0:
            return NotRun("not-forwarded", "The deadline passed before the request was sent.")
        self._calls += 1
        headers = CallHeaders(
            call_id=f"{self.instance_id}-{self._calls:x}",
            deadline_ms=int(remaining * MILLISECONDS_PER_SECOND),
            gateway_epoch=0,
            shard=hashed_key,
            epoch=0,
        )
        return _reply_of(self._pool(member).call(request, headers), member)

    def _pool(self, member: Member) -> BackendPool:
        held = self._pools.get(member.instance_id)
        if held is not None and (held.server.host, held.server.port) == (
            member.host,
            member.forward_port,
        ):
            return held
        if held is not None:
            held.close()
        peer = BackendServer(
            server_id=member.instance_id,
            service="",
            data_centre=member.data_centre,
            host=member.host,
            port=member.forward_port,
            slots=PEER_CONNECTIONS,
            connections=PEER_CONNECTIONS,
        )
        pool = BackendPool(peer, self.clock, self.tls)
        self._pools[member.instance_id] = pool
        return pool

    def retain(self, instance_ids: frozenset[str]) -> None:
        """Closes the connections to daemons that are not members any more."""
        for instance_id in set(self._pools) - instance_ids:
            self._pools.pop(instance_id).close()

    def close(self) -> None:
        """Closes every connection."""
        self.retain(frozenset())


def _reply_of(result: BaseCallResult, member: Member) -> BaseReply:
    if isinstance(result, Answered):
        if result.content_type == REPLY_TYPE:
            return decode_reply(result.body)
        return BackendAnswer(result.status, result.body, result.content_type, result.server_id)
    if isinstance(result, NotSent):
        detail = f"The gateway {member.instance_id} could not be reached."
        return NotRun("gateway-unreachable", detail, 503, retry_after_ms=50)
    if isinstance(result, Lost) and result.reason is LostReason.DEADLINE:
        return OutcomeUnknown("deadline", "The gateway did not answer before the deadline.")
    return OutcomeUnknown("gateway-lost", "The connection to the gateway was lost.")


def encode_reply(reply: BaseReply) -> bytes:
    """Encodes a reply other than a backend server's answer."""
    fields: dict[str, Any] = {"outcome": reply.outcome.value}
    if isinstance(reply, NotRun):
        fields.update(status=reply.status, retry_after_ms=reply.retry_after_ms)
    if isinstance(reply, NotRun | OutcomeUnknown):
        fields.update(reason=reply.reason, detail=reply.detail)
    return json.dumps(fields).encode()


def decode_reply(body: bytes) -> BaseReply:
    """Decodes a reply of a gateway; a malformed one leaves the outcome unknown."""
    try:
        fields = json.loads(body)
        if fields["outcome"] == NotRun.outcome.value:
            return NotRun(
                str(fields["reason"]),
                str(fields["detail"]),
                int(fields["status"]),
                int(fields["retry_after_ms"]),
            )
        return OutcomeUnknown(str(fields["reason"]), str(fields["detail"]))
    except (ValueError, KeyError, TypeError):
        return OutcomeUnknown("gateway-reply", "The gateway's reply could not be read.")


class ForwardApplication:
    """The WSGI application of the inner listener.

    Only other daemons reach it: the listener is bound to its own port and asks for a certificate of
    the cluster's authority unless the settings say that inner listeners are plain.
    """

    __slots__ = ("clock", "instance_id", "serve")

    def __init__(self, instance_id: str, clock: BaseClock, serve: ServeForwarded) -> None:
        self.instance_id = instance_id
        self.clock = clock
        self.serve = serve

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == HEALTH_PATH:
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        reply = self._reply(environ)
        headers = [
            ("Fireflylink-Call-Id", environ.get("HTTP_FIREFLYLINK_CALL_ID", "")),
            ("Fireflylink-Clock-Ms", str(int(self.clock.now() * MILLISECONDS_PER_SECOND))),
            ("Fireflylink-Generation", self.instance_id),
        ]
        if isinstance(reply, BackendAnswer):
            status, body, server = f"{reply.status} Answer", reply.body, reply.server_id
            content_type = reply.content_type
            if content_type == REPLY_TYPE:
                content_type = "application/json"
        else:
            status, body, server = "200 OK", encode_reply(reply), self.instance_id
            content_type = REPLY_TYPE
        headers.append(("Fireflylink-Server-Id", server))
        headers.append(("Content-Type", content_type))
        headers.append(("Content-Length", str(len(body))))
        start_response(status, headers)
        return [b"" if environ["REQUEST_METHOD"] == "HEAD" else body]

    def _reply(self, environ: dict[str, Any]) -> BaseReply:
        try:
            request, hashed_key = self._read(environ)
        except (KeyError, ValueError):
            return NotRun("malformed", "The forwarded request could not be read.", 503)
        return self.serve(request, hashed_key)

    def _read(self, environ: dict[str, Any]) -> tuple[CallerRequest, int]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_REQUEST_BYTES:
            raise ValueError("body too large")
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) != length:
            raise ValueError("body truncated")
        remaining_ms = int(environ["HTTP_FIREFLYLINK_DEADLINE_MS"])
        service, key = _split_path(environ)
        request = CallerRequest(
            service=service,
            key=key,
            method=environ["REQUEST_METHOD"],
            body=body,
            deadline=self.clock.now() + remaining_ms / MILLISECONDS_PER_SECOND,
            tenant=environ["HTTP_FIREFLYLINK_TENANT"],
            request_id=environ.get("HTTP_FIREFLYLINK_REQUEST_ID", ""),
            content_type=environ.get("CONTENT_TYPE") or "",
            query=environ.get("QUERY_STRING") or "",
        )
        return request, int(environ["HTTP_FIREFLYLINK_SHARD"])


def _split_path(environ: dict[str, Any]) -> tuple[str, str]:
    """Returns service and key from the path before decoding, since a key may hold a slash."""
    raw = environ.get("RAW_URI") or environ["PATH_INFO"]
    parts = raw.partition("?")[0].split("/")
    service = unquote(parts[1])
    key = unquote(parts[2]) if len(parts) > 2 else ""
    return service, key
