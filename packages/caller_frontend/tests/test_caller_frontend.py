"""Guards what callers are told: refusals that cost nothing, and outcomes that agree everywhere."""

import json
import time
from collections.abc import Iterator

import pytest
from geventhttpclient import HTTPClient
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from fireflylink_caller_frontend import BaseRequestHandler, HttpListener, make_application
from fireflylink_core import (
    BackendAnswer,
    BaseReply,
    CallerRequest,
    NotRun,
    OutcomeUnknown,
    Service,
    ServiceKind,
    SystemClock,
)

SERVICES = {
    "holds": Service("holds", ServiceKind.KEYED, ("kingston",)),
    "bookings": Service("bookings", ServiceKind.POOLED, ("kingston",)),
}
REQUEST_ID = "01890a5d-ac96-774b-bcce-b302099a8057"
SERIAL_REQUESTS = 20
NAGLE_STEP_SECONDS = 0.04


class RecordingHandler(BaseRequestHandler):
    """Notes the requests that pass the checks and gives a fixed reply."""

    __slots__ = ("reply", "requests")

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.reply: BaseReply = BackendAnswer(200, b"free", "text/plain", "holds-1")

    def service(self, name: str) -> Service | None:
        return SERVICES.get(name)

    def handle(self, request: CallerRequest) -> BaseReply:
        self.requests.append(request)
        return self.reply

    def issue_request_id(self) -> str:
        return REQUEST_ID


@pytest.fixture
def handler() -> RecordingHandler:
    """The handler behind the listener."""
    return RecordingHandler()


@pytest.fixture
def client(handler: RecordingHandler) -> Iterator[HTTPClient]:
    """A client of a listener on a free port."""
    listener = HttpListener(make_application(handler, SystemClock()), "127.0.0.1", 0)
    listener.start()
    client = HTTPClient("127.0.0.1", listener.port, network_timeout=5)
    yield client
    client.close()
    listener.close(1.0)


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "reason"),
    [
        ("GET", "/v1/unknown/k", {}, 404, "unknown-service"),
        ("GET", "/v2/holds/k", {}, 404, "unknown-path"),
        ("GET", "/v1/holds", {}, 404, "key-required"),
        ("GET", "/v1/bookings/k", {}, 404, "key-not-allowed"),
        ("PATCH", "/v1/holds/k", {}, 405, "bad-method"),
        ("POST", "/v1/bookings", {}, 400, "request-id-required"),
        ("POST", "/v1/bookings", {"Fireflylink-Request-Id": "7"}, 400, "bad-request-id"),
        ("GET", "/v1/holds/k", {"Fireflylink-Timeout-Ms": "soon"}, 400, "bad-timeout"),
        ("GET", "/v1/holds/k", {"Fireflylink-Tenant": "a b"}, 400, "bad-tenant"),
    ],
)
def test_malformed_request_is_refused_before_the_handler(
    client: HTTPClient,
    handler: RecordingHandler,
    method: str,
    path: str,
    headers: dict[str, str],
    status: int,
    reason: str,
) -> None:
    """A malformed request would take a slot of a backend server."""
    response = client.request(method, path, headers=headers)
    told = json.loads(response.read())
    assert_that((response.status_code, told["reason"]), Equals((status, reason)))
    assert_that(response.get("fireflylink-outcome"), Equals("not-run"))
    assert_that(handler.requests, HasLength(0))


@pytest.mark.parametrize(
    ("reply", "status", "outcome"),
    [
        (BackendAnswer(418, b"x", "text/plain", "holds-1"), 418, "answered"),
        (NotRun("overloaded", "later", 503, 20), 503, "not-run"),
        (OutcomeUnknown("connection-lost", "perhaps"), 504, "unknown"),
    ],
)
def test_status_and_header_agree_on_the_outcome(
    client: HTTPClient, handler: RecordingHandler, reply: BaseReply, status: int, outcome: str
) -> None:
    """A caller that reads only one of them would draw the wrong conclusion (P6)."""
    handler.reply = reply
    response = client.get("/v1/holds/room-17")
    response.read()
    found = (response.status_code, response.get("fireflylink-outcome"))
    assert_that(found, Equals((status, outcome)))


def test_answers_are_not_delayed_by_nagles_algorithm(client: HTTPClient) -> None:
    """Without TCP_NODELAY on accepted sockets each answer takes a step of 40 ms."""
    started = time.monotonic()
    for _ in range(SERIAL_REQUESTS):
        client.get("/v1/holds/room-17").read()
    elapsed = time.monotonic() - started
    assert_that(elapsed, LessThan(SERIAL_REQUESTS * NAGLE_STEP_SECONDS))
