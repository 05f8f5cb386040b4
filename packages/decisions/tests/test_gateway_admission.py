"""Guards the admission of requests by the gateway of a server group."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from fireflylink_core import (
    BackendAnswer,
    BackendServer,
    CallerRequest,
    OutcomeUnknown,
    Service,
    ServiceKind,
)
from fireflylink_decisions.admission import (
    Admitted,
    CallOutcome,
    CallResult,
    GatewayAdmission,
    Queued,
    Rejected,
)

NOW = 100.0
WALL_MS = 1_700_000_000_000
FRESH_ID = f"{WALL_MS + 3_000:012x}"
REQUEST_ID = f"{FRESH_ID[:8]}-{FRESH_ID[8:]}-7000-8000-000000000001"
ANSWER = BackendAnswer(200, b"confirmed", "text/plain", "s1")


@pytest.fixture
def gateway() -> GatewayAdmission:
    service = Service("bookings", ServiceKind.POOLED, ("kingston",), queue_limit=2)
    server = BackendServer("s1", "bookings", "kingston", "127.0.0.1", 9000, 4, 110)
    admission = GatewayAdmission(service, (server,))
    admission.start_term(range(service.shard_count), NOW, WALL_MS)
    return admission


def booking(deadline: float = NOW + 1.0) -> CallerRequest:
    return CallerRequest("bookings", "", "POST", b"room", deadline, request_id=REQUEST_ID)


def test_repeated_confirmation_is_not_run_twice(gateway: GatewayAdmission) -> None:
    """A caller that repeats a request while it runs must not start it again."""
    wall_ms = WALL_MS + 3_000
    assert_that(gateway.offer(booking(), "c1", NOW, wall_ms), IsInstance(Admitted))
    repeated = gateway.offer(booking(), "c2", NOW, wall_ms)
    assert_that(repeated.reply, IsInstance(OutcomeUnknown))
    gateway.finish("c1", CallResult(CallOutcome.ANSWERED, 0.01, "g1", ANSWER), NOW)
    assert_that(gateway.offer(booking(), "c3", NOW, wall_ms), Equals(Rejected("c3", ANSWER)))


def test_queued_request_starts_when_a_slot_is_free(gateway: GatewayAdmission) -> None:
    """A request that waits would be lost if the end of another did not start it."""
    read = CallerRequest("bookings", "", "GET", b"", NOW + 1.0)
    assert_that(gateway.offer(read, "c1", NOW, WALL_MS), IsInstance(Admitted))
    assert_that(gateway.offer(read, "c2", NOW, WALL_MS), Equals(Queued("c2")))
    started = gateway.finish("c1", CallResult(CallOutcome.ANSWERED, 0.01, "g1", ANSWER), NOW)
    assert_that([admitted.call_id for admitted in started], Equals(["c2"]))
