"""Guards the admission of requests by the gateway of a server group."""

from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from fireflylink_core import BackendAnswer, BaseReply, CallerRequest, Outcome
from fireflylink_decisions.admission import (
    Admitted,
    CallOutcome,
    CallResult,
    CrashEvidence,
    CrashReport,
    Delegated,
    Delegation,
    GatewayAdmission,
    Queued,
    Rejected,
    fingerprint_of,
)
from fireflylink_decisions.limits import ReportedState
from fireflylink_decisions.retries import RequestAttempts
from fireflylink_decisions.routing import GroupChoice, GroupReport

NOW = 100.0
LOST = CallResult(CallOutcome.CONNECTION_LOST, 0.01)
REFUSED = CallResult(CallOutcome.NOT_SENT, 0.01, refused=True)

Make = Callable[..., CallerRequest]
MakeGateway = Callable[..., GatewayAdmission]


@pytest.fixture
def gateway(make_gateway: MakeGateway) -> GatewayAdmission:
    """One server of 4 slots, warm once a request has confirmed its generation."""
    return make_gateway()


@pytest.fixture
def fill(read: Make, wall_ms: int) -> Callable[[GatewayAdmission, int], list[str]]:
    """Starts reads until a number of them run."""

    def start(gateway: GatewayAdmission, count: int) -> list[str]:
        gateway.offer(read(), "warm-up", NOW, wall_ms)
        gateway.finish("warm-up", CallResult(CallOutcome.ANSWERED, 0.01, "g1"), NOW)
        ids = [f"r{index}" for index in range(count)]
        for call_id in ids:
            assert isinstance(gateway.offer(read(), call_id, NOW, wall_ms), Admitted)
        return ids

    return start


def reply_of(decision: object) -> BaseReply:
    assert isinstance(decision, Rejected)
    return decision.reply


def reason_of(decision: object) -> str:
    return str(getattr(reply_of(decision), "reason", ""))


def test_confirmation_that_is_repeated_runs_once_and_gets_its_answer(
    gateway: GatewayAdmission,
    post: Make,
    answered: CallResult,
    answer: BackendAnswer,
    wall_ms: int,
) -> None:
    """A caller that lost the answer repeats through another daemon and must not order twice."""
    order = post()
    assert_that(gateway.offer(order, "c1", NOW, wall_ms), IsInstance(Admitted))
    running = gateway.offer(order, "c2", NOW, wall_ms)
    assert_that(reason_of(running), Equals("still-running"))
    gateway.finish("c1", answered, NOW)
    assert_that(gateway.offer(order, "c3", NOW, wall_ms), Equals(Rejected("c3", answer)))


@pytest.mark.parametrize(
    "change", [{"body": b"other"}, {"tenant": "other"}], ids=["body", "tenant"]
)
def test_answer_is_not_given_to_another_request_with_the_same_id(
    gateway: GatewayAdmission,
    post: Make,
    answered: CallResult,
    wall_ms: int,
    change: dict[str, object],
) -> None:
    """A caller would get the response to a request that is not its own (P5)."""
    order = post()
    gateway.offer(order, "c1", NOW, wall_ms)
    gateway.finish("c1", answered, NOW)
    other = post(request_id=order.request_id, **change)
    assert_that(reason_of(gateway.offer(other, "c2", NOW, wall_ms)), Equals("already-run"))


def test_order_that_was_refused_may_be_repeated(
    gateway: GatewayAdmission, post: Make, wall_ms: int
) -> None:
    """The server did not run it, so its id must not stay blocked."""
    order = post()
    gateway.offer(order, "c1", NOW, wall_ms)
    not_run = CallResult(CallOutcome.NOT_RUN, 0.01, "g1", not_run_reason="busy")
    gateway.finish("c1", not_run, NOW)
    assert_that(gateway.offer(order, "c2", NOW, wall_ms), IsInstance(Admitted))


def test_order_with_unknown_end_is_not_run_again(
    gateway: GatewayAdmission, post: Make, wall_ms: int
) -> None:
    """It may have run before the connection was lost (P7)."""
    order = post()
    gateway.offer(order, "c1", NOW, wall_ms)
    gateway.finish("c1", LOST, NOW)
    assert_that(reason_of(gateway.offer(order, "c2", NOW, wall_ms)), Equals("already-run"))


def test_order_that_has_run_is_not_called_not_run_while_the_gateway_stops(
    gateway: GatewayAdmission, post: Make, answered: CallResult, wall_ms: int
) -> None:
    """The refusal of a stopping gateway must not hide that the order was placed (P6)."""
    order = post()
    gateway.offer(order, "c1", NOW, wall_ms)
    gateway.finish("c1", LOST, NOW)
    gateway.stop_admitting("leaving")
    reply = reply_of(gateway.offer(order, "c2", NOW, wall_ms))
    assert_that(reply.outcome, Is(Outcome.UNKNOWN))


def test_id_ahead_of_the_clock_waits_for_its_time(
    gateway: GatewayAdmission, post: Make, new_id: Callable[[int], str], wall_ms: int
) -> None:
    """Run at once, it would appear newer than the term of a next gateway with a slower clock."""
    order = post(request_id=new_id(wall_ms + 1_000))
    assert_that(gateway.offer(order, "c1", NOW, wall_ms), Equals(Queued("c1")))
    assert_that(gateway.start_waiting(NOW + 0.8), Equals(()))
    again = gateway.offer(order, "c2", NOW + 0.8, wall_ms + 800)
    assert_that(reason_of(again), Equals("still-running"))
    started = gateway.start_waiting(NOW + 0.9)
    assert_that([each.call_id for each in started], Equals(["c1"]))


def test_cold_server_gets_one_request_at_a_time(
    make_gateway: MakeGateway, read: Make, answered: CallResult, wall_ms: int
) -> None:
    """A gateway that has just taken over a server does not know whether it is cold (P3)."""
    gateway = make_gateway(warm=False)
    decisions = [gateway.offer(read(), f"c{i}", NOW, wall_ms) for i in range(3)]
    assert_that([type(each) for each in decisions], Equals([Admitted, Queued, Queued]))
    started = gateway.finish("c0", answered, NOW)
    assert_that([each.call_id for each in started], Equals(["c1"]))


def test_new_generation_in_any_reply_stops_new_requests_at_once(
    gateway: GatewayAdmission, fill: Callable[..., list[str]], read: Make, wall_ms: int
) -> None:
    """The requests that are still in flight use up what the cold server can handle (P3)."""
    fill(gateway, 4)
    gateway.offer(read(), "waiting", NOW, wall_ms)
    cold = CallResult(CallOutcome.ANSWERED, 0.01, "g2")
    for call_id in ("r0", "r1", "r2"):
        assert_that(gateway.finish(call_id, cold, NOW + 0.1), Equals(()))
    assert_that(gateway.finish("r3", cold, NOW + 0.1), HasLength(1))


def test_queued_request_is_answered_once_it_cannot_finish_in_time(
    make_gateway: MakeGateway, post: Make, read: Make, wall_ms: int
) -> None:
    """Its caller would wait for nothing, and a server would work for nobody."""
    gateway = make_gateway(warm=False)
    gateway.offer(read(), "c1", NOW, wall_ms)
    order = post(deadline=NOW + 0.2)
    assert_that(gateway.offer(order, "c2", NOW, wall_ms), Equals(Queued("c2")))
    assert_that(gateway.expire(NOW + 0.1), Equals(()))
    replies = gateway.expire(NOW + 0.3)
    assert_that([call_id for call_id, _ in replies], Equals(["c2"]))
    assert_that(replies[0][1].outcome, Is(Outcome.NOT_RUN))
    assert_that(gateway.id_gate.memory.size, Equals(0))


def test_request_that_would_wait_too_long_is_refused_at_once(
    make_gateway: MakeGateway, fill: Callable[..., list[str]], read: Make, wall_ms: int
) -> None:
    """An early refusal leaves the caller time to go elsewhere."""
    gateway = make_gateway(queue_limit=100)
    for index in range(200):
        gateway.offer(read(), f"w{index}", NOW, wall_ms)
        gateway.finish(f"w{index}", CallResult(CallOutcome.ANSWERED, 0.1, "g1"), NOW + 0.001)
    fill(gateway, 4)
    gateway.offer(read(), "c0", NOW, wall_ms)
    decision = gateway.offer(read(deadline=NOW + 0.15), "c1", NOW, wall_ms)
    assert_that(reason_of(decision), Equals("overloaded"))


def test_cancelled_order_gives_its_id_back(
    make_gateway: MakeGateway, post: Make, read: Make, wall_ms: int
) -> None:
    """It did not run, so the caller may send it again."""
    gateway = make_gateway(warm=False)
    gateway.offer(read(), "c1", NOW, wall_ms)
    order = post()
    gateway.offer(order, "c2", NOW, wall_ms)
    assert_that(gateway.cancel("c2", NOW), Is(True))
    assert_that(gateway.offer(order, "c3", NOW, wall_ms), IsInstance(Queued))


def test_graceful_stop_lets_running_requests_finish(
    gateway: GatewayAdmission, fill: Callable[..., list[str]], read: Make, wall_ms: int
) -> None:
    """No request that is in flight may be cut off, and none may start any more (P9)."""
    ids = fill(gateway, 4)
    gateway.offer(read(), "waiting", NOW, wall_ms)
    replies = gateway.stop_admitting("leaving")
    assert_that([(c, r.outcome) for c, r in replies], Equals([("waiting", Outcome.NOT_RUN)]))
    assert_that(reason_of(gateway.offer(read(), "late", NOW, wall_ms)), Equals("leaving"))
    for call_id in ids:
        assert_that(gateway.idle, Is(False))
        gateway.finish(call_id, CallResult(CallOutcome.ANSWERED, 0.01, "g1"), NOW)
    assert_that(gateway.idle, Is(True))


def test_shards_are_not_handed_over_while_their_requests_run(
    gateway: GatewayAdmission, post: Make, answered: CallResult, wall_ms: int
) -> None:
    """Two servers would work for the same shard, and the end of the request would be lost (P1)."""
    gateway.offer(post(), "c1", NOW, wall_ms, shard_index=5)
    gateway.stop_admitting("moved", [5])
    assert_that(gateway.export_handover([5]).value_or(None), Is(None))
    gateway.finish("c1", answered, NOW)
    assert_that(gateway.export_handover([5]).value_or(None) is None, Is(False))


def test_order_waits_for_the_handover_and_is_not_run_twice(
    make_gateway: MakeGateway, post: Make, answered: CallResult, wall_ms: int
) -> None:
    """A planned move must neither refuse requests nor forget what the former gateway ran."""
    former, successor = make_gateway(), make_gateway()
    done, fresh = post(), post()
    former.offer(done, "c1", NOW, wall_ms, shard_index=5)
    former.finish("c1", answered, NOW)
    successor.expect_handover([5])
    assert_that(successor.offer(done, "c2", NOW, wall_ms, 5), Equals(Queued("c2")))
    assert_that(successor.offer(fresh, "c3", NOW, wall_ms, 5), Equals(Queued("c3")))
    former.stop_admitting("moved", [5])
    started = successor.import_handover(former.export_handover([5]).unwrap(), NOW, wall_ms)
    assert_that([each.call_id for each in started], Equals(["c3"]))
    replies = successor.expire(NOW)
    assert_that([(c, r.outcome) for c, r in replies], Equals([("c2", Outcome.UNKNOWN)]))


def test_group_is_not_handed_over_while_a_read_runs(
    gateway: GatewayAdmission, read: Make, answered: CallResult, wall_ms: int
) -> None:
    """Both gateways would send to the servers at once, more than a cold one can handle (P3)."""
    gateway.offer(read(), "c1", NOW, wall_ms)
    gateway.stop_admitting("moved")
    assert_that(gateway.export_handover([5]).value_or(None), Is(None))
    gateway.finish("c1", answered, NOW)
    assert_that(gateway.export_handover([5]).unwrap().whole_group, Is(True))


def test_reads_wait_until_the_servers_are_handed_over(
    make_gateway: MakeGateway, read: Make, wall_ms: int
) -> None:
    """The former gateway may still have requests in flight on the servers (P3)."""
    former, successor = make_gateway(), make_gateway()
    successor.expect_handover([5], whole_group=True)
    assert_that(successor.offer(read(), "c1", NOW, wall_ms), Equals(Queued("c1")))
    former.stop_admitting("moved")
    started = successor.import_handover(former.export_handover([5]).unwrap(), NOW, wall_ms)
    assert_that([each.call_id for each in started], Equals(["c1"]))


def test_requests_of_a_lost_gateway_count_until_the_server_reports_fewer(
    make_gateway: MakeGateway, read: Make, wall_ms: int
) -> None:
    """A gateway that takes over at once would add its requests to those still running (P3)."""
    gateway = make_gateway(warm=False)
    gateway.observe("s1", "g1", ReportedState.COLD, NOW, NOW, in_flight=1)
    assert_that(gateway.awaits_former, Equals(("s1",)))
    assert_that(gateway.offer(read(), "c1", NOW, wall_ms), Equals(Queued("c1")))
    started = gateway.observe("s1", "g1", ReportedState.COLD, NOW + 0.1, NOW + 0.1, in_flight=0)
    assert_that([each.call_id for each in started], Equals(["c1"]))


@pytest.mark.parametrize("stopped", [False, True], ids=["deadline", "stopped"])
def test_order_that_waited_for_a_handover_in_vain_is_not_called_not_run(
    gateway: GatewayAdmission, post: Make, wall_ms: int, stopped: bool
) -> None:
    """The former gateway may have run it, and this one never learned of it (P6)."""
    gateway.expect_handover([5])
    order = post(deadline=NOW + 1.0)
    gateway.offer(order, "c1", NOW, wall_ms, shard_index=5)
    replies = gateway.stop_admitting("leaving") if stopped else gateway.expire(NOW + 1.0)
    attempts = RequestAttempts(idempotent=False, deadline=NOW + 1.0)
    assert_that(attempts.final(replies[0][1]).outcome, Is(Outcome.UNKNOWN))


def test_gateway_without_the_ids_of_a_shard_says_that_it_does_not_hold_it(
    gateway: GatewayAdmission, post: Make, wall_ms: int
) -> None:
    """After the handover it cannot know what has run, so the entry daemon has to ask elsewhere."""
    gateway.export_handover([5])
    decision = gateway.offer(post(), "c1", NOW, wall_ms, shard_index=5)
    assert_that(reason_of(decision), Equals("not-held"))


def test_request_that_crashes_servers_is_refused_after_two_crashes(
    make_gateway: MakeGateway, read: Make, answered: CallResult, wall_ms: int
) -> None:
    """It would bring down one server after the other; a bystander must stay welcome."""
    gateway = make_gateway(servers=2)
    bad, bystander = read(query="bad"), read(query="bystander")
    fill_ids = ["bad", "bystander"]
    gateway.offer(bad, "bad", NOW, wall_ms)
    gateway.servers.limiters[1].reserve(True)
    gateway.servers.limiters[0].answered("g1", NOW)
    gateway.offer(bystander, "bystander", NOW, wall_ms)
    for call_id in fill_ids:
        gateway.finish(call_id, LOST, NOW + 0.1)
    gateway.servers.limiters[1].reserve(False)
    gateway.offer(read(query="next"), "next", NOW + 0.1, wall_ms)
    gateway.finish("next", REFUSED, NOW + 0.1)
    gateway.observe("s1", "g2", ReportedState.WARM, NOW + 0.2, NOW + 0.2)
    alone = gateway.offer(bystander, "b2", NOW + 1.0, wall_ms)
    assert_that(isinstance(alone, Admitted) and alone.alone, Is(True))
    gateway.finish("b2", answered, NOW + 1.1)
    assert_that(gateway.offer(bystander, "b3", NOW + 1.2, wall_ms).alone, Is(False))
    gateway.finish("b3", answered, NOW + 1.3)
    second = gateway.offer(bad, "bad2", NOW + 2.0, wall_ms)
    assert_that(isinstance(second, Admitted) and second.alone, Is(True))
    gateway.finish("bad2", LOST, NOW + 2.1)
    gateway.servers.poison.restarted(second.server_id, NOW + 2.2)
    assert_that(reason_of(gateway.offer(bad, "bad3", NOW + 3.0, wall_ms)), Equals("poison"))


def test_suspect_has_its_server_to_itself(
    gateway: GatewayAdmission, fill: Callable[..., list[str]], read: Make, wall_ms: int
) -> None:
    """A crash with others in flight could not tell which request is to blame."""
    fill(gateway, 2)
    suspect = read(query="suspect")
    crash = ("s9", "g", 1.0)
    report = CrashReport(fingerprint_of(suspect), crash, CrashEvidence.PRESENT, 600.0)
    gateway.poison.merge([report], NOW)
    ended = CallResult(CallOutcome.ANSWERED, 0.01, "g1")
    assert_that(gateway.offer(suspect, "suspect", NOW, wall_ms), Equals(Queued("suspect")))
    assert_that(gateway.offer(read(), "other", NOW, wall_ms), Equals(Queued("other")))
    assert_that(gateway.finish("r0", ended, NOW), Equals(()))
    started = gateway.finish("r1", ended, NOW)
    assert_that([(s.call_id, s.alone) for s in started], Equals([("suspect", True)]))
    assert_that(gateway.start_waiting(NOW), Equals(()))
    started = gateway.finish("suspect", ended, NOW)
    assert_that([(s.call_id, s.alone) for s in started], Equals([("other", False)]))


@pytest.fixture
def delegating(make_gateway: MakeGateway) -> GatewayAdmission:
    """A cold group beside another one that has free servers."""
    choice = GroupChoice({"own": 0.0, "other": 0.006})
    choice.report(GroupReport("other", 0, 8, 0.010, received_at=NOW))
    return make_gateway(warm=False, delegation=Delegation("own", choice))


def test_order_that_another_group_runs_is_still_run_once(
    delegating: GatewayAdmission, post: Make, read: Make, answered: CallResult, wall_ms: int
) -> None:
    """The id stays with its gateway, which must recognise a repetition (P7)."""
    for index in range(3):
        delegating.offer(read(), f"w{index}", NOW, wall_ms)
    delegating.servers.service_time.add(0.1)
    order = post()
    sent = delegating.offer(order, "c1", NOW, wall_ms)
    assert_that(sent, Equals(Delegated("c1", order, "other")))
    again = delegating.offer(order, "c2", NOW, wall_ms)
    assert_that(reason_of(again), Equals("still-running"))
    assert_that(delegating.idle, Is(False))
    delegating.finish("c1", answered, NOW)
    assert_that(reply_of(delegating.offer(order, "c3", NOW, wall_ms)), IsInstance(BackendAnswer))


def test_delegated_request_is_not_passed_on(
    delegating: GatewayAdmission, read: Make, wall_ms: int
) -> None:
    """Gateways that are all busy would send a request around in circles."""
    for index in range(3):
        delegating.offer(read(), f"w{index}", NOW, wall_ms, delegated=True)
    delegating.servers.service_time.add(0.1)
    decision = delegating.offer(read(), "c1", NOW, wall_ms, delegated=True)
    assert_that(decision, IsInstance(Queued))


def test_stopped_gateway_reports_no_capacity(gateway: GatewayAdmission) -> None:
    """Other groups would go on sending requests to a data centre out of service (P4)."""
    gateway.stop_admitting("moved")
    assert_that(gateway.report("own", NOW).capacity, Equals(0))
