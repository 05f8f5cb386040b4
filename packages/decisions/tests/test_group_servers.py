"""Guards the change of a group's servers while its gateway works."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import BackendServer, CallerRequest, Service, ServiceKind
from fireflylink_decisions.admission import Admitted, GatewayAdmission
from fireflylink_decisions.retries import CallOutcome, CallResult

NOW = 100.0
WALL_MS = 1_700_000_000_000
SERVICE = Service("bookings", ServiceKind.POOLED, ("kingston",))


def make_server(number: int) -> BackendServer:
    return BackendServer(f"b-{number}", "bookings", "kingston", "127.0.0.1", number, 4, 110)


def admit(admission: GatewayAdmission, call_id: str) -> str:
    request = CallerRequest("bookings", "", "GET", b"", NOW + 1.0, request_id=call_id)
    decision = admission.offer(request, call_id, NOW, WALL_MS)
    return decision.server_id if isinstance(decision, Admitted) else ""


def test_withheld_server_gets_nothing_and_its_call_ends() -> None:
    """A drained server of a pooled group would go on to receive work (P8)."""
    servers = (make_server(1), make_server(2))
    admission = GatewayAdmission(SERVICE, servers)
    started = {admit(admission, "call-1"), admit(admission, "call-2")}
    assert_that(started, Equals({"b-1", "b-2"}))
    admission.servers.take_servers(SERVICE, servers, frozenset({"b-1"}))
    for call_id in ("call-1", "call-2"):
        admission.finish(call_id, CallResult(CallOutcome.CANCELLED, 0.01), NOW)
    assert_that(admit(admission, "call-3"), Equals("b-2"))
    admission.servers.take_servers(SERVICE, servers, frozenset())
    assert_that(admit(admission, "call-4"), Equals("b-1"))


def test_call_on_a_server_that_left_the_group_still_ends() -> None:
    """The end of a request in flight would fail in the gateway and leave its caller waiting."""
    admission = GatewayAdmission(SERVICE, (make_server(1),))
    assert_that(admit(admission, "call-1"), Equals("b-1"))
    admission.servers.take_servers(SERVICE, (make_server(2),), frozenset())
    admission.finish("call-1", CallResult(CallOutcome.CANCELLED, 0.01), NOW)
    assert_that(admission.idle, Is(True))
    assert_that(admit(admission, "call-2"), Equals("b-2"))
