"""Falcon application that serves the requests of callers."""

import time
from typing import Any

import falcon
import gevent

from fireflylink_caller_frontend._codec import BaseCallerCodec, EncodedReply, ReceivedRequest
from fireflylink_caller_frontend._disconnect_notifier import SocketDisconnectNotifier
from fireflylink_caller_frontend._errors import RefusedRequestError
from fireflylink_caller_frontend._handler import BaseRequestHandler
from fireflylink_caller_frontend._listener import HANDLER_ENVIRON_NAME
from fireflylink_core import (
    CallerLimits,
    MemoryBudget,
    MemoryReservation,
    NotRun,
    ParsingLimiter,
)

MAX_BODIES_BYTES = 48 * 1024 * 1024
"""Default limit. An instance of 200 MB has about 130 MB beside the daemon itself, and a body is
held twice for a moment while its parts are joined."""

NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_SECONDS = 0.5
"""About the time in which some of the bodies have been sent on."""

READ_SIZE_BYTES = 65536
CHUNKS_READ_SIZE_BYTES = 4096
"""Bytes of a body in chunks that are read at once, because each chunk costs time."""

SMALL_CHUNK_BYTES = 64
"""A body whose last chunk is not larger is read in turns with others of its kind."""


class _RequestSink:
    """Receives every request of callers, whatever its path."""

    __slots__ = ("bodies", "codec", "handler", "limiter")

    def __init__(
        self, handler: BaseRequestHandler, codec: BaseCallerCodec, bodies: MemoryBudget
    ) -> None:
        self.handler = handler
        self.codec = codec
        self.bodies = bodies
        self.limiter = ParsingLimiter()

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_kwargs: Any) -> None:
        wsgi_handler = req.env[HANDLER_ENVIRON_NAME]
        with self.bodies.reservation() as reservation:
            self._handle(req, resp, wsgi_handler, reservation)

    def _handle(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        wsgi_handler: Any,
        reservation: MemoryReservation,
    ) -> None:
        try:
            body = _read_body(req, self.handler.limits(), reservation, self.limiter)
        except RefusedRequestError as error:
            # Where the next request begins is not known.
            wsgi_handler.close_connection = True
            self._refuse(wsgi_handler, resp, error)
            return
        try:
            request = self.codec.decode_request(_received_request(wsgi_handler, body))
        except RefusedRequestError as error:
            self._refuse(wsgi_handler, resp, error)
            return
        disconnect_notifier = SocketDisconnectNotifier(wsgi_handler.socket, wsgi_handler.stream)
        try:
            reply = self.handler.handle(request, disconnect_notifier)
        finally:
            disconnect_notifier.stop()
        _write_reply(resp, self.codec.encode_reply(request.request_id, reply))

    def _refuse(self, wsgi_handler: Any, resp: falcon.Response, error: RefusedRequestError) -> None:
        wsgi_handler.record_refusal(str(error))
        refusal = NotRun(str(error), error.status, error.retry_after_seconds)
        _write_reply(resp, self.codec.encode_reply("", refusal))


def _received_request(wsgi_handler: Any, body: bytes) -> ReceivedRequest:
    headers = tuple((str(name), str(value)) for name, value in wsgi_handler.headers.items())
    return ReceivedRequest(
        wsgi_handler.command, wsgi_handler.path, headers, body, wsgi_handler.received_at
    )


def _read_body(
    req: falcon.Request,
    limits: CallerLimits,
    reservation: MemoryReservation,
    limiter: ParsingLimiter,
) -> bytes:
    length = req.content_length or 0
    if length > limits.max_body_bytes:
        raise RefusedRequestError(413, "the body is over the limit")
    # What does not fit is refused before it is read, so that the caller can go elsewhere at once.
    _reserve(reservation, length)
    stream = req.env["wsgi.input"]
    if not length and not stream.chunked_input:
        return b""
    parts: list[bytes] = []
    size = 0
    read_size = CHUNKS_READ_SIZE_BYTES if stream.chunked_input else READ_SIZE_BYTES
    while True:
        part = _read_part(stream, read_size)
        if not part:
            return b"".join(parts)
        size += len(part)
        if size > limits.max_body_bytes:
            raise RefusedRequestError(413, "the body is over the limit")
        _reserve(reservation, size)
        parts.append(part)
        if stream.chunked_input:
            _wait_for_turn(limiter, len(part), stream.chunk_length)


def _reserve(reservation: MemoryReservation, size_bytes: int) -> None:
    if not reservation.extend_to(size_bytes):
        raise RefusedRequestError(
            NO_MEMORY_STATUS, "no memory for the body", NO_MEMORY_RETRY_SECONDS
        )


def _wait_for_turn(limiter: ParsingLimiter, part_bytes: int, last_chunk_bytes: int) -> None:
    """Waits for a turn to read the next part of a body that arrives in small chunks."""
    if not 0 < last_chunk_bytes <= SMALL_CHUNK_BYTES:
        return
    now = time.monotonic()
    turn_at = limiter.reserve(now, part_bytes // last_chunk_bytes)
    if turn_at > now:
        gevent.sleep(turn_at - now)


def _read_part(stream: Any, read_size: int) -> bytes:
    try:
        part: bytes = stream.read(read_size)
    except (OSError, ValueError) as error:
        raise RefusedRequestError(400, f"the body is not whole: {error}") from error
    return part


def _write_reply(resp: falcon.Response, reply: EncodedReply) -> None:
    resp.status = reply.status
    for name, value in reply.headers:
        resp.append_header(name, value)
    resp.data = reply.body


def make_application(
    handler: BaseRequestHandler, codec: BaseCallerCodec, max_bodies_bytes: int = MAX_BODIES_BYTES
) -> Any:
    """Returns the WSGI application that passes the requests of callers to ``handler``.

    ``max_bodies_bytes`` limits the bodies of all requests in progress together; a request whose
    body does not fit is refused with status 503 before it has run.

    Example::

        listener = HttpListener(make_application(handler, codec), "127.0.0.1", 0, handler.limits)
    """
    application = falcon.App()
    # Keeps falcon from adding a Content-Type header to an answer that has none.
    application.resp_options.default_media_type = None  # type: ignore[assignment]
    application.add_sink(_RequestSink(handler, codec, MemoryBudget(max_bodies_bytes)), "/")
    return application
