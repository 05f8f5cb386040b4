"""Guards grants, revocations and health requests."""

from collections.abc import Callable
from typing import Any

import gevent
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, LessThan

from fireflylink_backend_client import (
    Answered,
    BackendReplyLost,
    BackendUnreachable,
    GrantCommand,
    GrantRefused,
    NotRunByServer,
    RevokeCommand,
    WarmthState,
)
from fireflylink_standins import Crash


def grant_of(setup: Any, gateway_epoch: int = 1, epoch: int = 1) -> Any:
    deadline_ms = int(setup.backend.state.clock_ms()) + 2000
    command = GrantCommand("entry-1", gateway_epoch, deadline_ms, ((7, epoch),), ())
    return setup.pool.grant(command, setup.clock.now() + 0.3)


def test_grant_admits_calls_until_it_is_revoked(make_setup: Callable[..., Any]) -> None:
    """A server that runs a request of a revoked shard would be a second owner."""
    setup = make_setup(checks_grants=True)
    assert_that(setup.call().reason, Equals("stale-grant"))
    assert_that(grant_of(setup).unwrap().state, Equals(WarmthState.WARM))
    assert_that(setup.call(), IsInstance(Answered))
    command = RevokeCommand(1, (7,), ())
    assert_that(setup.pool.revoke(command, setup.clock.now() + 0.3).unwrap(), Equals(0))
    assert_that(setup.call(), IsInstance(NotRunByServer))


def test_revocation_reports_running_requests(make_setup: Callable[..., Any]) -> None:
    """A shard that is released while its request runs would have two owners."""
    setup = make_setup(checks_grants=True, service_time_ms=100)
    grant_of(setup)
    worker = gevent.spawn(setup.call)
    gevent.sleep(0.03)
    command = RevokeCommand(1, (7,), ())
    assert_that(setup.pool.revoke(command, setup.clock.now() + 0.3).unwrap(), Equals(1))
    assert_that(worker.get(), IsInstance(Answered))


def test_lower_epoch_is_refused(make_setup: Callable[..., Any]) -> None:
    """An earlier gateway must learn that another one has taken over."""
    setup = make_setup(checks_grants=True)
    grant_of(setup, gateway_epoch=5, epoch=3)
    refusal = grant_of(setup, gateway_epoch=4, epoch=3).failure()
    assert_that(refusal, IsInstance(GrantRefused))
    assert_that(refusal.gateway_epoch, Equals(5))
    assert_that(grant_of(setup, gateway_epoch=5, epoch=2).failure(), IsInstance(GrantRefused))


def test_status_brackets_the_clock_of_the_server(make_setup: Callable[..., Any]) -> None:
    """Deadlines on the server's clock are computed from these times."""
    setup = make_setup(clock_offset_ms=7_000_000)
    status = setup.pool.health(setup.clock.now() + 0.3).unwrap()
    local_ms = status.clock_ms - 7_000_000
    assert_that(local_ms, LessThan(status.received_at * 1000 + 1))
    assert_that(status.sent_at * 1000 - 1, LessThan(local_ms))


def test_frozen_server_is_a_lost_reply_at_the_deadline(setup: Any) -> None:
    """A frozen server may take the command when it resumes."""
    setup.pool.health(setup.clock.now() + 0.3)
    setup.backend.freeze(0.5)
    started = setup.clock.now()
    assert_that(grant_of(setup).failure(), IsInstance(BackendReplyLost))
    assert_that(setup.clock.now() - started, LessThan(0.45))


def test_server_that_is_gone_is_told_apart(setup: Any) -> None:
    """Refused connections are evidence of a crash; a lost reply is not."""
    setup.pool.health(setup.clock.now() + 0.3)
    setup.backend.apply(Crash(down_ms=500))
    gevent.sleep(0.02)
    error = grant_of(setup).failure()
    assert_that(error, IsInstance(BackendUnreachable))
    assert_that(error.refused, Equals(True))


def test_grant_passes_while_calls_use_every_other_connection(
    make_setup: Callable[..., Any],
) -> None:
    """A grant that waits for a call ends after the grant before it has expired."""
    setup = make_setup(connections=4, slots=20, service_time_ms=400)
    workers = [gevent.spawn(setup.call, "GET", f"call-{n}", 0.5) for n in range(10)]
    gevent.sleep(0.05)
    assert_that(grant_of(setup).unwrap().in_flight, Equals(2))
    gevent.killall(workers)
