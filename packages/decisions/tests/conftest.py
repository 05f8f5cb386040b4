"""Fixtures of the tests of decisions about requests."""

import random
from collections.abc import Callable

import pytest
from hypothesis import settings

from fireflylink_core import BackendAnswer, BackendServer, CallerRequest, Service, ServiceKind
from fireflylink_decisions.admission import (
    CallOutcome,
    CallResult,
    GatewayAdmission,
    issue_request_id,
)
from fireflylink_decisions.limits import ReportedState, ServerLimiter

settings.register_profile("decisions", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("decisions")

WALL_MS = 1_700_000_000_000
ANSWER = BackendAnswer(200, b"confirmed", "text/plain", "s1")

MakeRequest = Callable[..., CallerRequest]
MakeGateway = Callable[..., GatewayAdmission]


@pytest.fixture
def wall_ms() -> int:
    return WALL_MS


@pytest.fixture
def answer() -> BackendAnswer:
    return ANSWER


@pytest.fixture
def answered() -> CallResult:
    return CallResult(CallOutcome.ANSWERED, 0.01, "g1", ANSWER)


@pytest.fixture
def warm_limiter() -> ServerLimiter:
    """A server of 4 slots that has reached its full limit in generation g1."""
    limiter = ServerLimiter("s1", slots=4, cold_slots=1, connections=110, ramp_successes=1)
    limiter.reported("g1", ReportedState.WARM, sent_at=0.0)
    for _ in range(3):
        limiter.answered("g1", sent_at=0.0)
    return limiter


@pytest.fixture
def new_id() -> Callable[[int], str]:
    """Issues request ids for a wall clock time."""
    source = random.Random(7)
    return lambda issued_ms: issue_request_id(issued_ms, source)


@pytest.fixture
def post(new_id: Callable[[int], str]) -> MakeRequest:
    """Makes a non-idempotent request; the id is fresh unless one is given."""

    def make(
        deadline: float = 1000.0,
        request_id: str | None = None,
        body: bytes = b"room",
        tenant: str = "walk-in",
    ) -> CallerRequest:
        chosen = new_id(WALL_MS) if request_id is None else request_id
        return CallerRequest("bookings", "", "POST", body, deadline, tenant, chosen)

    return make


@pytest.fixture
def read() -> MakeRequest:
    """Makes an idempotent request."""

    def make(deadline: float = 1000.0, tenant: str = "walk-in", query: str = "") -> CallerRequest:
        return CallerRequest("bookings", "", "GET", b"", deadline, tenant, query=query)

    return make


@pytest.fixture
def make_gateway() -> MakeGateway:
    """Makes the gateway of a pooled group whose terms began long ago."""

    def make(
        servers: int = 1, slots: int = 4, warm: bool = True, queue_limit: int = 4, **options: object
    ) -> GatewayAdmission:
        service = Service("bookings", ServiceKind.POOLED, ("kingston",), queue_limit=queue_limit)
        backends = [
            BackendServer(f"s{i + 1}", "bookings", "kingston", "127.0.0.1", 9000, slots, 110)
            for i in range(servers)
        ]
        gateway = GatewayAdmission(service, backends, **options)  # type: ignore[arg-type]
        gateway.start_term(range(service.shard_count), 0.0, WALL_MS - 60_000)
        for limiter in gateway.servers.limiters if warm else ():
            limiter.reported("g1", ReportedState.WARM, sent_at=0.0)
            limiter.adopt("g1", slots, now=0.0)
        return gateway

    return make
