"""Guards the counts that a load run reports."""

import json
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_standins import LoadGenerator, LoadReport, LoadSettings, LoadSettingsError
from fireflylink_standins._http_server import StandinServer


class EntryDaemon:
    """An entry daemon that answers each method with another outcome."""

    __slots__ = ("delay", "request_ids", "server")

    def __init__(self) -> None:
        self.delay = 0.0
        self.request_ids: list[str] = []
        self.server = StandinServer(self.answer, "127.0.0.1", 0)
        self.server.open()

    def answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers GET and POST, refuses PUT, has lost DELETE and mixes up HEAD with another."""
        environ["wsgi.input"].read()
        request_id = environ["HTTP_FIREFLYLINK_REQUEST_ID"]
        self.request_ids.append(request_id)
        gevent.sleep(self.delay)
        method = environ["REQUEST_METHOD"]
        outcome = {"PUT": "not-run", "DELETE": "unknown"}.get(method, "answered")
        document = {"reason": "overload", "request_id": request_id}
        if method == "PATCH":
            document["request_id"] = "other"
        body = json.dumps(document).encode()
        headers = [("Content-Length", str(len(body))), ("Fireflylink-Outcome", outcome)]
        start_response("200 OK", headers)
        return [body]


@pytest.fixture
def daemon() -> Iterator[EntryDaemon]:
    started = EntryDaemon()
    yield started
    started.server.close()


def run(daemon: EntryDaemon, ports: tuple[int, ...] = (), **fields: Any) -> LoadReport:
    addresses = tuple(("127.0.0.1", port) for port in ports or (daemon.server.port,))
    settings = {"service": "holds", "rate": 200.0, "duration": 0.5, **fields}
    return LoadGenerator(LoadSettings(addresses, **settings)).run()


def test_outcomes_are_counted_by_what_the_caller_is_told(daemon: EntryDaemon) -> None:
    """An outcome in the wrong column would hide a broken guarantee."""
    methods = (("GET", 1.0), ("POST", 1.0), ("PUT", 1.0), ("DELETE", 1.0), ("PATCH", 1.0))
    report = run(daemon, methods=methods)
    total = sum(report.counts.values())
    assert_that(len(daemon.request_ids), Equals(total))
    assert_that(set(report.post_outcomes.values()), Equals({"answered"}))
    kinds = {"answered", "not-run", "unknown", "wrong-answer"}
    assert_that(set(report.counts), Equals(kinds))
    assert_that(report.reasons["not-run:overload"], Equals(report.counts["not-run"]))


def test_load_is_open_loop_and_bounded(daemon: EntryDaemon) -> None:
    """A generator that waits for replies lowers its rate just when the system is slow."""
    daemon.delay = 0.3
    report = run(daemon, outstanding=10)
    assert_that(report.counts["answered"], LessThan(31))
    assert_that(report.counts["skipped"], GreaterThan(40))


def test_equal_seeds_give_equal_load(daemon: EntryDaemon) -> None:
    """A failure that a seed cannot repeat cannot be examined."""
    settings = LoadSettings((("127.0.0.1", 1),), "holds", 100.0, 1.0, seed=7, keys=50)
    generators = [LoadGenerator(settings) for _ in range(2)]
    drawn = [[generator._generate(0.0).key for _ in range(100)] for generator in generators]
    assert_that(drawn[0], Equals(drawn[1]))
    assert_that(drawn[0].count("key-0"), GreaterThan(10))


def test_unreachable_daemon_is_left_for_another(daemon: EntryDaemon) -> None:
    """The platform's balancer sends no request to an instance that is gone."""
    gone = EntryDaemon()
    gone.server.close()
    report = run(daemon, ports=(gone.server.port, daemon.server.port))
    assert_that(set(report.counts), Equals({"answered"}))
    alone = run(daemon, ports=(gone.server.port,), duration=0.1)
    assert_that(set(alone.counts), Equals({"unreachable"}))


def test_request_ids_are_version_7(daemon: EntryDaemon) -> None:
    """Daemons reject an id whose timestamp they cannot read."""
    run(daemon, duration=0.1)
    first = uuid.UUID(daemon.request_ids[0])
    assert_that(first.version, Equals(7))
    assert_that(first.variant, Equals(uuid.RFC_4122))


def test_unbounded_load_is_refused() -> None:
    """The machine is shared."""
    with pytest.raises(LoadSettingsError):
        LoadSettings((("127.0.0.1", 1),), "holds", rate=1e6, duration=1.0)
