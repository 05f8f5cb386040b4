"""A request through the real decisions, with servers that follow a script."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, IsInstance

from fireflylink_core import (
    Answered,
    Assignment,
    CallerDisconnected,
    CallerRequest,
    Declined,
    KeyRange,
    Lost,
    LostReason,
    NotRun,
    OutcomeUnknown,
    OwnershipTable,
    ServerAnswer,
    ServerIncarnation,
    ServerLoad,
)
from fireflylink_daemon._dispatch_task import DispatchTask
from fireflylink_daemon._messages import UpdatesRead
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._peers import KeyCounter
from fireflylink_daemon._request_path import RequestPath
from fireflylink_daemon._serving import Serving
from fireflylink_protocol import encode_table, ownership_key
from fireflylink_store import Item

ROUTE = {"timeout-ms": 1500, "target-latency-ms": 500, "max-attempts": 2}
CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 110, "sharded": True}, {"name": "b", "max-conns": 110}],
    "virtual-hosts": [
        {
            "host": "h",
            "paths": [
                {"name": "keyed", "prefix": "/k/", "kind": "safe", "service": "a", **ROUTE},
                {"name": "order", "prefix": "/o/", "kind": "unsafe", "service": "b", **ROUTE},
            ],
        }
    ],
}
LIFE = ServerIncarnation("i-1", 1)
WHOLE = Answered(ServerAnswer(200, (), b"ok"), ServerLoad(1, 0, 4))
LATE = Lost(LostReason.LATE, "late")


class Script:
    """Stands for the connections to every server: results in turn, each after ``seconds``."""

    def __init__(self, clock, results, seconds: float = 0.1) -> None:
        self.clock = clock
        self.results = list(results)
        self.seconds = seconds
        self.during = lambda: None

    def call(self, request, deadline, cancellation):
        self.clock.advance(self.seconds)
        self.during()
        return self.results.pop(0)


class Stays:
    """A caller that waits, unless ``leave`` is called."""

    def __init__(self) -> None:
        self.actions = []

    def on_disconnect(self, action) -> None:
        self.actions.append(action)

    def leave(self) -> None:
        for action in self.actions:
            action()


class PathBench:
    """A request path whose servers follow a script."""

    def __init__(self, bench, clock, monkeypatch) -> None:
        self.clock = clock
        self.monkeypatch = monkeypatch
        self.tasks = bench
        self.key_counter = KeyCounter()
        serving = bench.serving
        dispatch_task = DispatchTask(serving.dispatcher, clock)
        self.path = RequestPath(serving, dispatch_task, self.key_counter, self, clock, Metrics())
        self.ended = []
        items = [Item("op/config", json.dumps(CONFIGURATION).encode(), 1)]
        for name, service in (("i-1", "a"), ("i-2", "b"), ("i-3", "b")):
            entry = {
                "service": service,
                "address": "10.0.0.1:80",
                "zone": "kingston",
                "slots": 4,
                "state": "ready",
                "born": 1,
            }
            items.append(Item(f"servers/{name}", json.dumps(entry).encode(), 2))
        table = OwnershipTable("a", 1, (Assignment(KeyRange(0, 65535), LIFE, 1),))
        items.append(Item(ownership_key("a"), encode_table(table), 3))
        updates = tuple(update for item in items for update in bench.decoder.decode(item))
        bench.view.receive(UpdatesRead(updates, 3, True))

    def note_ended(self, server, request) -> None:
        """Takes the place of the watch for crashes."""
        self.ended.append(server.server_id)

    def send(self, target: str, script: Script, disconnect_notifier: Stays | None = None):
        self.monkeypatch.setattr(Serving, "connection_pool", lambda _serving, _tracker: script)
        now = self.clock.now()
        request = CallerRequest("id", "h", "POST", target, (), b"", now, now + 3.0, 5)
        return self.path.handle(request, disconnect_notifier or Stays())


@pytest.fixture
def paths(bench, clock, monkeypatch):
    return PathBench(bench(), clock, monkeypatch)


def test_an_order_whose_answer_was_lost_is_not_sent_again(paths):
    """Guards against TWICE: the order may have run."""
    script = Script(paths.clock, [Lost(LostReason.RESET, "reset"), WHOLE])
    reply = paths.send("/o/1", script)
    assert_that(reply, IsInstance(OutcomeUnknown))
    assert_that(len(script.results), Equals(1))
    assert_that(len(paths.ended), Equals(1))


def test_an_order_that_was_declined_goes_to_another_server(paths):
    """Guards against giving up an order that certainly has not run."""
    reply = paths.send("/o/1", Script(paths.clock, [Declined(503, False, None), WHOLE]))
    assert_that(reply, Equals(WHOLE.answer))


def test_in_flight_counts_return_to_zero_however_a_request_ends(paths):
    """Guards against servers that look full for ever."""
    for results in ([WHOLE], [LATE], [Declined(503, False, None)] * 3, [Declined(421, True, None)]):
        paths.send("/o/1", Script(paths.clock, [*results, WHOLE, WHOLE]))
    trackers = paths.tasks.serving.trackers.values()
    assert_that({tracker.in_flight for tracker in trackers}, Equals({0}))


def test_a_caller_that_leaves_during_the_call_is_told_nothing(paths):
    """Guards against GONE: a request that is sent again for nobody."""
    script = Script(paths.clock, [Lost(LostReason.CANCELLED, "left"), WHOLE])
    disconnect_notifier = Stays()
    script.during = disconnect_notifier.leave
    assert_that(paths.send("/o/1", script, disconnect_notifier), IsInstance(CallerDisconnected))
    assert_that(len(script.results), Equals(1))


def test_an_unknown_path_is_refused_with_404_and_a_missing_configuration_with_503(paths, bench):
    """Guards against DENIED: 404 from a daemon that knows no routes yet."""
    assert_that(paths.send("/nope/1", Script(paths.clock, [])).status, Equals(404))
    paths.tasks.serving.routes = None
    reply = paths.send("/k/1", Script(paths.clock, []))
    assert_that((type(reply), reply.status), Equals((NotRun, 503)))


def test_a_request_that_comes_late_in_a_planned_stop_is_refused_and_not_begun(paths):
    """Guards against LOST, cmva trouble-3 --seed 47511267048: a request that was taken long after
    SIGTERM did not end before the process did."""
    paths.path.closed = True
    script = Script(paths.clock, [WHOLE])
    reply = paths.send("/o/1", script)
    assert_that((type(reply), reply.reason), Equals((NotRun, "leaving")))
    assert_that(len(script.results), Equals(1))


def test_answers_of_a_keyed_server_tell_the_decider_its_speed(paths):
    """Guards against slow servers that keep as many keys as fast ones."""
    paths.send("/k/1", Script(paths.clock, [WHOLE], seconds=0.3))
    [seconds] = paths.key_counter.times["a"]["i-1"]
    assert_that(seconds, GreaterThan(0.29))


def test_late_requests_tell_the_decider_of_a_slow_server(paths):
    """Guards against inc-6f95: servers that became 12 times slower kept their keys, because
    requests whose time ran out told nothing of their speed."""
    paths.send("/k/1", Script(paths.clock, [LATE], seconds=1.45))
    assert_that("a" in paths.key_counter.times, Equals(True))
