"""Fixture: a codec of callers' requests and replies."""

import pytest

from fireflylink_caller_frontend import BaseCallerCodec, EncodedReply, RefusedRequestError
from fireflylink_core import CallerRequest, NotRun


class PlainCodec(BaseCallerCodec):
    """Uses header names other than the platform's: the front end must not depend on any."""

    __slots__ = ()

    def decode_request(self, received):
        headers = dict(received.headers)
        if "X-Id" not in headers:
            raise RefusedRequestError(400, "X-Id is missing")
        return CallerRequest(
            headers["X-Id"],
            headers["Host"],
            received.method,
            received.target,
            received.headers,
            received.body,
            received.received_at,
            received.received_at + 5.0,
        )

    def encode_reply(self, request_id, reply):
        if isinstance(reply, NotRun):
            headers = (("Retry-After", str(reply.retry_after)),)
            return EncodedReply(reply.status, headers, reply.reason.encode())
        return EncodedReply(reply.status, (("X-Id", request_id), *reply.headers), reply.body)


@pytest.fixture
def codec() -> PlainCodec:
    return PlainCodec()
