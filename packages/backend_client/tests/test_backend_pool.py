"""Guards what a call reports, and that no connection is used after it failed."""

import json
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, IsInstance, LessThan

from fireflylink_backend_client import (
    Answered,
    BackendPool,
    Lost,
    LostReason,
    NotRunByServer,
    NotSent,
    NotSentReason,
)
from fireflylink_standins import (
    BaseBackendFault,
    Crash,
    Delay,
    Drain,
    LoseAnswer,
    Oversize,
    Silence,
    Truncate,
    WrongCallId,
)

FAULTY_ANSWERS = [
    (Truncate(), LostReason.TRUNCATED),
    (LoseAnswer(), LostReason.CLOSED),
    (WrongCallId(), LostReason.MISMATCHED),
    (Oversize(), LostReason.TOO_LARGE),
]


def test_answer_is_whole(setup: Any) -> None:
    """A field that is dropped here reaches neither the caller nor the cold-start limit."""
    result = setup.call("POST", body=b"text", content_type="text/plain")
    assert_that(result, IsInstance(Answered))
    assert_that(json.loads(result.body)["value"], Equals("text"))
    assert_that(result.server_id, Equals("server-1"))
    assert_that(result.generation, Equals(setup.backend.state.generation))
    assert_that(abs(result.clock_ms - setup.backend.state.clock_ms()), LessThan(1000))


def test_every_socket_has_no_delay(setup: Any) -> None:
    """Nagle's algorithm delays a small write by up to 40 ms."""
    setup.call()
    setup.pool.health(setup.clock.now() + 1)
    connections = [*setup.pool.idle, setup.pool.control.connection]
    options = [
        connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        for connection in connections
    ]
    assert_that(options, Equals([1, 1]))


@pytest.mark.parametrize(("fault", "reason"), FAULTY_ANSWERS)
def test_connection_of_a_faulty_answer_is_not_used_again(
    setup: Any, fault: BaseBackendFault, reason: LostReason
) -> None:
    """Bytes that are left on a connection would be read as the answer to the next call."""
    setup.backend.apply(fault)
    result = setup.call(call_id="faulty")
    assert_that(result, IsInstance(Lost))
    assert_that(result.reason, Equals(reason))
    assert_that(setup.pool.idle, Equals([]))
    following = setup.call(call_id="following")
    assert_that(json.loads(following.body)["request_id"], Equals("request-of-following"))


def test_answer_that_stalls_ends_the_call_before_its_deadline(setup: Any) -> None:
    """A connection that goes silent within an answer would hold its slot to the deadline."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)

    def serve() -> None:
        connection, _ = listener.accept()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
        connection.recv(100_000)
        gevent.sleep(3.0)

    server = gevent.spawn(serve)
    setup.pool = BackendPool(setup.server().replace(port=listener.getsockname()[1]))
    started = setup.clock.now()
    result = setup.call(seconds=3.0)
    server.kill()
    listener.close()
    assert_that(result.reason, Equals(LostReason.STALLED))
    assert_that(setup.clock.now() - started, LessThan(2.0))


def test_late_answer_reaches_no_other_call(setup: Any) -> None:
    """An answer that comes after the deadline must not be taken for that of the next call."""
    setup.backend.apply(Delay(200))
    late = setup.call(call_id="late", seconds=0.1)
    assert_that(late.reason, Equals(LostReason.DEADLINE))
    setup.backend.apply(Delay(0))
    for number in range(20):
        result = setup.call(call_id=f"call-{number}")
        assert_that(json.loads(result.body)["request_id"], Equals(f"request-of-call-{number}"))
        gevent.sleep(0.015)


@pytest.mark.parametrize("fault", [None, Silence(), Crash()])
def test_connections_stay_within_the_server_limit(
    make_setup: Callable[..., Any], fault: BaseBackendFault | None
) -> None:
    """A server refuses or drops connections over its limit, those of other calls included."""
    setup = make_setup(slots=30, service_time_ms=30)
    setup.pool.health(setup.clock.now() + 1)
    workers = [gevent.spawn(setup.call, "GET", f"call-{n}", 0.8) for n in range(30)]
    gevent.sleep(0.05)
    if fault is not None:
        setup.backend.apply(fault)
    gevent.joinall(workers)
    answered = [worker.value for worker in workers if isinstance(worker.value, Answered)]
    assert_that(len(answered), GreaterThan(0))
    assert_that(setup.pool.open_count, LessThan(5))
    assert_that(setup.backend.state.journal.violations["connections-exceeded"], Equals(0))


def test_closing_connection_counts_until_the_server_closed_it(
    make_setup: Callable[..., Any],
) -> None:
    """A server still holds a connection that only its client has given up."""
    setup = make_setup(connections=3)
    setup.call()
    setup.backend.apply(Silence())
    setup.backend.freeze(0.6)
    assert_that(setup.call(seconds=0.1), IsInstance(Lost))
    assert_that(setup.pool.open_count, Equals(1))
    waiting = setup.call(seconds=0.1)
    assert_that(waiting.reason, Equals(NotSentReason.DEADLINE))
    gevent.sleep(0.6)
    assert_that(setup.call(), IsInstance(Answered))


def test_silent_idle_connection_does_not_take_a_non_idempotent_request(setup: Any) -> None:
    """A POST on a silent connection would end with an unknown outcome and without an order."""
    workers = [gevent.spawn(setup.call, "GET", f"call-{n}") for n in range(3)]
    gevent.joinall(workers)
    setup.backend.apply(Silence())
    gevent.sleep(1.05)
    result = setup.call("POST", seconds=0.8)
    assert_that(result, IsInstance(Answered))
    assert_that(setup.backend.state.journal.violations["duplicate-request"], Equals(0))


def test_connection_that_the_server_closed_is_replaced(setup: Any) -> None:
    """A restart of a server would otherwise cost one lost request for each idle connection."""
    setup.call()
    setup.backend.apply(Crash())
    gevent.sleep(0.05)
    assert_that(setup.call("POST"), IsInstance(Answered))


def test_refused_connection_is_not_sent(setup: Any) -> None:
    """A request that reached no server may be run elsewhere only if that is certain."""
    setup.backend.apply(Crash(down_ms=2000))
    result = setup.call("POST")
    assert_that(result, IsInstance(NotSent))
    assert_that(result.reason, Equals(NotSentReason.CONNECT_REFUSED))
    assert_that(setup.pool.open_count, Equals(0))


@pytest.mark.parametrize(
    "fields",
    [{"tenant": "a\r\nX: y"}, {"query": "a b"}, {"content_type": "\u2028"}, {"request_id": "a\nb"}],
)
def test_field_that_breaks_the_framing_is_not_sent(setup: Any, fields: dict[str, str]) -> None:
    """A line break in a caller's field would add a header or a whole request."""
    result = setup.call(**fields)
    assert_that(result.reason, Equals(NotSentReason.MALFORMED_REQUEST))
    assert_that(setup.backend.server.connections, HasLength(0))


def test_passed_deadline_is_not_sent(setup: Any) -> None:
    """Work whose caller has gone must not take a slot."""
    result = setup.call(seconds=-0.1)
    assert_that(result.reason, Equals(NotSentReason.DEADLINE))


def test_refusal_by_contract_is_not_run(setup: Any) -> None:
    """A request that a draining server refused can run elsewhere without harm."""
    setup.backend.apply(Drain())
    result = setup.call("POST")
    assert_that(result, IsInstance(NotRunByServer))
    assert_that(result.reason, Equals("draining"))
    assert_that(setup.pool.idle, HasLength(1))


def test_cancelled_call_stops_the_work(make_setup: Callable[..., Any]) -> None:
    """Work for a caller that has gone would keep a slot for its whole service time."""
    setup = make_setup(service_time_ms=400)
    worker = gevent.spawn(setup.call)
    gevent.sleep(0.05)
    assert_that(setup.pool.cancel("call-1"), Equals(True))
    assert_that(worker.get(timeout=0.2).reason, Equals(LostReason.CANCELLED))
    assert_that(setup.backend.state.journal.entries[0].ending, Equals("cancelled"))
    assert_that(setup.pool.open_count, Equals(0))


@pytest.mark.parametrize("end", ["cancel", "kill"])
def test_waiting_call_that_ends_leaves_nothing_behind(
    make_setup: Callable[..., Any], end: str
) -> None:
    """A right to a connection that is lost with its call would shrink the pool for good."""
    setup = make_setup(connections=3, service_time_ms=60)
    running = gevent.spawn(setup.call, "GET", "running")
    waiting = gevent.spawn(setup.call, "GET", "waiting")
    gevent.sleep(0.02)
    if end == "cancel":
        setup.pool.cancel("waiting")
        assert_that(waiting.get(timeout=0.2).reason, Equals(NotSentReason.CANCELLED))
    else:
        waiting.kill()
    assert_that(running.get(timeout=0.5), IsInstance(Answered))
    assert_that(setup.call(), IsInstance(Answered))
    assert_that(setup.pool.open_count, Equals(1))
    assert_that(setup.pool.active, Equals({}))


def test_killed_call_returns_its_connection(make_setup: Callable[..., Any]) -> None:
    """A task that is ended in the middle of a call must not hold a connection for good."""
    setup = make_setup(service_time_ms=300)
    worker = gevent.spawn(setup.call)
    gevent.sleep(0.05)
    worker.kill()
    gevent.sleep(0.05)
    assert_that(setup.pool.open_count, Equals(0))
    assert_that(setup.pool.active, Equals({}))
