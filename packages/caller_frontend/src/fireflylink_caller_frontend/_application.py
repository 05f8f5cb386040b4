"""The falcon application towards callers."""

from typing import Any

import falcon

from fireflylink_caller_frontend._codec import BaseCallerCodec, EncodedReply, ReceivedRequest
from fireflylink_caller_frontend._disconnect_notifier import SocketDisconnectNotifier
from fireflylink_caller_frontend._errors import RefusedRequestError
from fireflylink_caller_frontend._handler import BaseRequestHandler
from fireflylink_caller_frontend._listener import HANDLER_KEY
from fireflylink_core import CallerLimits

READ_BYTES = 65536


class _Callers:
    """Receives every request of callers, whatever its path."""

    __slots__ = ("codec", "handler")

    def __init__(self, handler: BaseRequestHandler, codec: BaseCallerCodec) -> None:
        self.handler = handler
        self.codec = codec

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_kwargs: Any) -> None:
        connection = req.env[HANDLER_KEY]
        try:
            body = _read_body(req, self.handler.limits())
            request = self.codec.decode_request(_received(connection, body))
        except RefusedRequestError as error:
            connection.close_connection = True
            _write(resp, self.codec.encode_refusal(error))
            return
        disconnect_notifier = SocketDisconnectNotifier(connection.socket)
        try:
            reply = self.handler.handle(request, disconnect_notifier)
        finally:
            disconnect_notifier.stop()
        _write(resp, self.codec.encode_reply(request.request_id, reply))


def _received(connection: Any, body: bytes) -> ReceivedRequest:
    headers = tuple((str(name), str(value)) for name, value in connection.headers.items())
    return ReceivedRequest(
        connection.command, connection.path, headers, body, connection.received_at
    )


def _read_body(req: falcon.Request, limits: CallerLimits) -> bytes:
    length = req.content_length or 0
    if length > limits.max_body_bytes:
        raise RefusedRequestError(413, "the body is over the limit")
    stream = req.env["wsgi.input"]
    if not length and not stream.chunked_input:
        return b""
    parts: list[bytes] = []
    size = 0
    while True:
        part = _read_part(stream)
        if not part:
            return b"".join(parts)
        size += len(part)
        if size > limits.max_body_bytes:
            raise RefusedRequestError(413, "the body is over the limit")
        parts.append(part)


def _read_part(stream: Any) -> bytes:
    try:
        part: bytes = stream.read(READ_BYTES)
    except (OSError, ValueError) as error:
        raise RefusedRequestError(400, f"the body is not whole: {error}") from error
    return part


def _write(resp: falcon.Response, sent: EncodedReply) -> None:
    resp.status = sent.status
    for name, value in sent.headers:
        resp.append_header(name, value)
    resp.data = sent.body


def make_application(handler: BaseRequestHandler, codec: BaseCallerCodec) -> Any:
    """Returns the WSGI application that callers use.

    Example::

        listener = HttpListener(make_application(handler, dialect), "127.0.0.1", 0, handler.limits)
    """
    application = falcon.App()
    # An answer without a content type is passed on as it is.
    application.resp_options.default_media_type = None  # type: ignore[assignment]
    application.add_sink(_Callers(handler, codec), "/")
    return application
