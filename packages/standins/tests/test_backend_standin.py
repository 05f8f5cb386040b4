"""Guards that each fault and each limit of the backend stand-in does what its name says."""

from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan, Not

from fireflylink_backend_client import Answered, Lost, NotRunByServer, NotSent, WarmthState
from fireflylink_standins import (
    Crash,
    Drain,
    Freeze,
    LyingHealth,
    Poison,
    Slow,
    TurnCold,
)


def concurrent_calls(server: Any, count: int, **fields: Any) -> list[Any]:
    workers = [gevent.spawn(server.call, call_id=f"call-{n}", **fields) for n in range(count)]
    gevent.joinall(workers)
    return [worker.value for worker in workers]


def test_frozen_server_resumes_as_if_nothing_had_happened(server: Any) -> None:
    """A freeze that dropped requests would not show a router that trusts a resumed server."""
    server.call()
    generation = server.standin.state.generation
    server.standin.apply(Freeze(200))
    started = server.clock.now()
    result = server.call("POST", call_id="frozen")
    assert_that(result, IsInstance(Answered))
    assert_that(server.clock.now() - started, GreaterThan(0.18))
    assert_that(result.generation, Equals(generation))


def test_work_past_its_deadline_has_no_effect_after_a_freeze(server: Any) -> None:
    """The time at which an owner last acts is what overlaps of owners are judged by."""
    worker = gevent.spawn(server.call, "PUT", "late", 0.1, body=b"late")
    gevent.sleep(0.01)
    server.standin.apply(Freeze(250))
    assert_that(worker.get(), IsInstance(Lost))
    gevent.sleep(0.3)
    (entry,) = server.standin.state.journal.entries
    assert_that(entry.ending, Not(Equals("done")))
    assert_that(entry.end_ms - entry.start_ms, LessThan(150))


def test_crash_ends_connections_and_starts_a_cold_generation(server: Any) -> None:
    """Crash evidence is a reset, refused connections and a new generation."""
    generation = server.call().generation
    worker = gevent.spawn(server.call, call_id="running")
    gevent.sleep(0.005)
    server.standin.apply(Crash(down_ms=80))
    assert_that(worker.get(), IsInstance(Lost))
    assert_that(server.call(), IsInstance(NotSent))
    gevent.sleep(0.1)
    result = server.call()
    assert_that(result.generation, Not(Equals(generation)))
    assert_that(server.standin.state.cold, Equals(True))
    assert_that(server.standin.state.journal.entries[1].ending, Equals("crashed"))


def test_cold_server_crashes_over_its_limit(make_server: Callable[..., Any]) -> None:
    """Guarantee P3 is tested by counting these crashes."""
    server = make_server(starts_cold=True, cold_slots=2, crash_ms=50)
    concurrent_calls(server, 2)
    assert_that(server.violations.get("cold-overload", 0), Equals(0))
    concurrent_calls(server, 3)
    assert_that(server.violations["cold-overload"], Equals(1))
    assert_that(server.call(), IsInstance(NotSent))


def test_cold_server_ramps_up_with_successes(make_server: Callable[..., Any]) -> None:
    """A server that stayed cold would make every later limit test pass."""
    server = make_server(
        starts_cold=True, cold_slots=1, cold_ramp_successes=2, slots=3, service_time_ms=1
    )
    for _ in range(2):
        server.call()
    assert_that(server.standin.state.capacity(), Equals(2))
    for _ in range(2):
        server.call()
    assert_that(server.standin.state.cold, Equals(False))


def test_silent_cold_start_is_excused_until_an_answer_shows_it(
    make_server: Callable[..., Any],
) -> None:
    """A router cannot know of a silent cold start before the first answer that names it."""
    server = make_server(cold_slots=1, cold_notice_ms=50, slots=4)
    generation = server.call().generation
    server.standin.apply(TurnCold())
    shed = [result for result in concurrent_calls(server, 3) if isinstance(result, NotRunByServer)]
    assert_that([result.reason for result in shed], Equals(["busy", "busy"]))
    assert_that(server.violations.get("cold-overload", 0), Equals(0))
    assert_that(shed[0].generation, Not(Equals(generation)))
    gevent.sleep(0.06)
    concurrent_calls(server, 2)
    assert_that(server.violations["cold-overload"], Equals(1))


def test_warm_server_sheds_over_its_slots(make_server: Callable[..., Any]) -> None:
    """A server that queued without limit would hide a router that sends too much."""
    server = make_server(slots=2, queue_limit=1)
    results = concurrent_calls(server, 4)
    refused = [result for result in results if isinstance(result, NotRunByServer)]
    assert_that([result.reason for result in refused], Equals(["busy"]))


def test_draining_server_completes_what_it_runs(server: Any) -> None:
    """Guarantees P8 and P9 are tested with this fault."""
    server.grant()
    worker = gevent.spawn(server.call, call_id="running")
    gevent.sleep(0.005)
    server.standin.apply(Drain())
    assert_that(server.call().reason, Equals("draining"))
    assert_that(worker.get(), IsInstance(Answered))
    assert_that(server.grant().unwrap().state, Equals(WarmthState.DRAINING))
    assert_that(server.violations, Equals({}))
    server.standin.state.drain_started_ms -= 3000
    server.call()
    assert_that(server.violations, Equals({"work-after-drain": 1}))


def test_health_lags_and_lies(make_server: Callable[..., Any]) -> None:
    """A router that trusts health would overload the server; a grant's reply tells the truth."""
    server = make_server(health_lag_ms=100, starts_cold=True)
    worker = gevent.spawn(server.call)
    assert_that(server.status().in_flight, Equals(0))
    gevent.sleep(0.005)
    assert_that(server.status().in_flight, Equals(0))
    assert_that(server.grant().unwrap().in_flight, Equals(1))
    worker.join()
    server.standin.apply(LyingHealth())
    assert_that(server.status().state, Equals(WarmthState.WARM))
    assert_that(server.grant().unwrap().state, Equals(WarmthState.COLD))


def test_poison_crashes_each_server_that_runs_it(make_server: Callable[..., Any]) -> None:
    """Only the request with the marker may crash the server."""
    server = make_server(crash_ms=50)
    server.standin.apply(Poison("poison"))
    assert_that(server.call("POST", body=b"harmless"), IsInstance(Answered))
    assert_that(server.call("POST", "c2", body=b"some poison here"), IsInstance(Lost))
    assert_that(server.standin.state.journal.entries[-1].ending, Equals("crashed"))
    gevent.sleep(0.08)
    assert_that(server.call("POST", "c3"), IsInstance(Answered))


def test_slow_server_takes_longer_by_the_factor(server: Any) -> None:
    """Straggler tests depend on the factor."""
    server.standin.apply(Slow(5))
    started = server.clock.now()
    server.call()
    assert_that(server.clock.now() - started, GreaterThan(0.095))


def test_passed_deadline_is_refused(make_server: Callable[..., Any]) -> None:
    """The server's own clock decides, whatever the local one shows."""
    server = make_server(clock_offset_ms=5_000_000)
    local_ms = int(server.clock.now() * 1000)
    assert_that(server.call(deadline_ms=local_ms + 500).reason, Equals("deadline"))
    assert_that(server.call(deadline_ms=local_ms + 5_000_500), IsInstance(Answered))


def test_unchecked_server_counts_what_a_fence_would_have_stopped(server: Any) -> None:
    """The gateway is the only fence for a server that does not check grants."""
    server.grant(gateway_epoch=2, epoch=2)
    assert_that(server.call(gateway_epoch=2, epoch=2), IsInstance(Answered))
    assert_that(server.violations, Equals({}))
    assert_that(server.call(gateway_epoch=1, epoch=2), IsInstance(Answered))
    assert_that(server.call(gateway_epoch=2, epoch=1), IsInstance(Answered))
    expected = {"outside-grant": 2, "stale-gateway": 1, "stale-epoch": 1}
    assert_that(server.violations, Equals(expected))


def test_expired_grant_admits_nothing(make_server: Callable[..., Any]) -> None:
    """The end of a grant is what a new owner waits for."""
    server = make_server(checks_grants=True)
    server.grant(seconds=0.1)
    assert_that(server.call(), IsInstance(Answered))
    gevent.sleep(0.1)
    assert_that(server.call().reason, Equals("stale-grant"))


@pytest.mark.parametrize("durable", [True, False])
def test_epochs_survive_a_crash_if_they_are_durable(
    make_server: Callable[..., Any], durable: bool
) -> None:
    """A server that forgets epochs takes an earlier gateway for the current one."""
    server = make_server(checks_grants=True, durable_epochs=durable)
    server.grant(gateway_epoch=5)
    server.standin.apply(Crash())
    assert_that(server.call().reason, Equals("stale-grant"))
    refused = server.grant(gateway_epoch=4).value_or(None) is None
    assert_that(refused, Equals(durable))


def test_second_run_of_a_request_is_counted(server: Any) -> None:
    """Guarantee P7 is tested by counting these."""
    server.call("POST", "c1", request_id="order")
    server.call("POST", "c2", request_id="order")
    server.call("PUT", "c3", request_id="order")
    assert_that(server.violations["duplicate-request"], Equals(1))


def test_connection_over_the_limit_is_counted_and_reset(make_server: Callable[..., Any]) -> None:
    """A pool that exceeds its limit is found by this count only."""
    server = make_server(connections=2)
    address = ("127.0.0.1", server.standin.port)
    opened = [socket.create_connection(address) for _ in range(3)]
    gevent.sleep(0.05)
    assert_that(server.violations, Equals({"connections-exceeded": 1}))
    assert_that(len(server.standin.server.connections), Equals(2))
    with pytest.raises(ConnectionResetError):
        opened[2].recv(1)
    for connection in opened:
        connection.close()


def test_crash_drops_requests_that_wait_for_a_slot(make_server: Callable[..., Any]) -> None:
    """A request that a crash has ended must not run in the next generation."""
    server = make_server(slots=1, queue_limit=1, service_time_ms=50)
    workers = [gevent.spawn(server.call, "POST", f"call-{n}") for n in range(2)]
    gevent.sleep(0.02)
    server.standin.apply(Crash())
    assert_that([type(worker.get()) for worker in workers], Equals([Lost, Lost]))
    gevent.sleep(0.1)
    assert_that(server.standin.state.journal.next_position, Equals(1))


def test_second_crash_keeps_the_server_away_for_its_whole_time(server: Any) -> None:
    """The end of the first outage must not end the second."""
    server.standin.apply(Crash(down_ms=50))
    server.standin.apply(Crash(down_ms=300))
    gevent.sleep(0.1)
    assert_that(server.call(), IsInstance(NotSent))


@pytest.mark.parametrize(
    "line", [b"no-colon", b" folded: x", b"Host : x", b"Content-Length: 1\r\nContent-Length: 2"]
)
def test_malformed_headers_are_refused(server: Any, line: bytes) -> None:
    """A stand-in that accepts them would not show a client that sends them."""
    connection = socket.create_connection(("127.0.0.1", server.standin.port))
    connection.sendall(b"GET /health HTTP/1.1\r\n" + line + b"\r\n\r\n")
    assert_that(connection.recv(1000).startswith(b"HTTP/1.1 400"), Equals(True))
    connection.close()
