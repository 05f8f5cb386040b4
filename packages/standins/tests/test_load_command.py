"""Guards the load command: its report, and that it fails when callers were told something false."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_backend_client import Answered, BackendPool, CallHeaders, Lost
from fireflylink_core import BackendServer, CallerRequest, SystemClock
from fireflylink_standins import BackendAdmin, BackendStandin, LoseAnswer, ProcessGroup
from fireflylink_standins._http_server import StandinServer


class ForwardingDaemon:
    """An entry daemon that sends every request to one backend server.

    ``told_when_lost`` is the outcome that it tells when the answer was lost.
    """

    __slots__ = ("clock", "pool", "server", "told_when_lost")

    def __init__(self, backend: BackendServer) -> None:
        self.clock = SystemClock()
        self.pool = BackendPool(backend)
        self.told_when_lost = "unknown"
        self.server = StandinServer(self.answer, "127.0.0.1", 0)
        self.server.open()

    def answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Forwards a request and tells its outcome."""
        request_id = environ["HTTP_FIREFLYLINK_REQUEST_ID"]
        deadline = self.clock.now() + 1.0
        body = environ["wsgi.input"].read()
        request = CallerRequest(
            "holds", "key", environ["REQUEST_METHOD"], body, deadline, request_id=request_id
        )
        headers = CallHeaders(f"call-{request_id}", int(deadline * 1000), 1, 7, 1)
        result = self.pool.call(request, headers)
        content = result.body if isinstance(result, Answered) else b'{"reason": "failed"}'
        outcome = "answered" if isinstance(result, Answered) else "not-run"
        if isinstance(result, Lost):
            outcome = self.told_when_lost
        fields = [("Content-Length", str(len(content))), ("Fireflylink-Outcome", outcome)]
        start_response("200 OK", fields)
        return [content]


@pytest.fixture
def backend(make_server: Callable[..., Any]) -> BackendStandin:
    standin: BackendStandin = make_server(slots=100, service_time_ms=1).standin
    standin.apply(LoseAnswer(3))
    return standin


@pytest.fixture
def daemon(backend: BackendStandin) -> Iterator[ForwardingDaemon]:
    started = ForwardingDaemon(
        BackendServer("server-1", "holds", "k", "127.0.0.1", backend.port, 100, 110)
    )
    yield started
    started.server.close()
    started.pool.close()


@pytest.fixture
def admin(backend: BackendStandin) -> Iterator[BackendAdmin]:
    endpoint = BackendAdmin([backend])
    endpoint.start()
    yield endpoint
    endpoint.stop()


def run_command(group: ProcessGroup, daemon: ForwardingDaemon, admin: BackendAdmin) -> Any:
    command = group.launch(
        "fireflylink_standins.load",
        f"--url=http://127.0.0.1:{daemon.server.port}",
        f"--admin_url=http://127.0.0.1:{admin.port}",
        "--service=holds",
        "--rate=100",
        "--duration=1",
        "--methods=POST=1",
        "--seed=3",
    )
    status = command.wait(15.0)
    return status, json.loads(command.output_text() or command.error_text())


def test_true_outcomes_pass(
    group: ProcessGroup, daemon: ForwardingDaemon, admin: BackendAdmin
) -> None:
    """A lost answer that is told as unknown is not a fault."""
    status, report = run_command(group, daemon, admin)
    assert_that(status, Equals(0))
    assert_that(report["counts"]["unknown"], Equals(3))
    assert_that(report["counts"]["answered"], GreaterThan(50))
    assert_that(report["executed"], Equals(sum(report["counts"].values())))
    assert_that(report["answered_ms"]["p50"], LessThan(500))


def test_false_not_run_fails(
    group: ProcessGroup, daemon: ForwardingDaemon, admin: BackendAdmin
) -> None:
    """A run that passes over a false not-run would hide a broken guarantee P6."""
    daemon.told_when_lost = "not-run"
    status, report = run_command(group, daemon, admin)
    assert_that(status, Equals(1))
    assert_that(report["wrong_not_run"], Equals(3))
