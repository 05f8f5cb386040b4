"""The request handler with the real dispatch and retry decisions, and scripted servers."""

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
    NotSent,
    OutcomeUnknown,
    OwnershipTable,
    ServerAnswer,
    ServerIncarnation,
    ServerLoad,
    ServerNotice,
)
from fireflylink_daemon._dispatch_task import DispatchTask
from fireflylink_daemon._messages import UpdatesRead
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._peers import KeyCounter
from fireflylink_daemon._request_handler import RequestHandler
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_decisions.servers import available_at
from fireflylink_decisions.shutdown import ShutdownPlan
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
INCARNATION = ServerIncarnation("i-1", 1)
ANSWERED = Answered(ServerAnswer(200, (), b"ok"), ServerLoad(1, 0, 4))
LEAVING = Answered(ServerAnswer(200, (), b"ok"), None, ServerNotice(True, None))
TIMED_OUT = Lost(LostReason.LATE, "late")


class ScriptedServers:
    """Stands in for the connection pool of every server.

    Each call takes ``seconds``, runs ``during_call`` and returns the next one of ``results``.
    """

    def __init__(self, clock, results, seconds: float = 0.1) -> None:
        self.clock = clock
        self.results = list(results)
        self.seconds = seconds
        self.during_call = lambda: None

    def call(self, request, deadline, cancellation):
        self.clock.advance(self.seconds)
        self.during_call()
        return self.results.pop(0)


class FakeDisconnectNotifier:
    """Reports a disconnect of the caller when the test calls ``disconnect``."""

    def __init__(self) -> None:
        self.actions = []

    def on_disconnect(self, action) -> None:
        self.actions.append(action)

    def disconnect(self) -> None:
        for action in self.actions:
            action()


def declined_with_pause(until: float) -> Declined:
    return Declined(503, False, None, ServerNotice(False, until))


def make_registration(name: str, service: str, started_ms: int = 1) -> Item:
    entry = {
        "service": service,
        "address": "10.0.0.1:80",
        "zone": "kingston",
        "slots": 4,
        "state": "ready",
        "born": started_ms,
    }
    return Item(f"servers/{name}", json.dumps(entry).encode(), 2)


class RequestHandlerHarness:
    """A request handler with scripted servers. It also stands in for the ``CrashDetector``."""

    def __init__(self, task_harness, clock, monkeypatch) -> None:
        self.clock = clock
        self.monkeypatch = monkeypatch
        self.task_harness = task_harness
        self.key_counter = KeyCounter()
        routing_state = task_harness.routing_state
        dispatch_task = DispatchTask(routing_state.dispatcher, clock)
        self.request_handler = RequestHandler(
            routing_state, dispatch_task, self.key_counter, self, clock, Metrics()
        )
        self.request_handler.notice_recorder.view_task = task_harness.view_task
        self.lost_connections = []
        self.sent_to = []
        items = [Item("op/config", json.dumps(CONFIGURATION).encode(), 1)]
        for name, service in (("i-1", "a"), ("i-2", "b"), ("i-3", "b")):
            items.append(make_registration(name, service))
        table = OwnershipTable("a", 1, (Assignment(KeyRange(0, 65535), INCARNATION, 1),))
        items.append(Item(ownership_key("a"), encode_table(table), 3))
        updates = tuple(update for item in items for update in task_harness.decoder.decode(item))
        task_harness.view_task.receive(UpdatesRead(updates, 3, True))

    def record_lost_connection(self, server, request) -> None:
        """Records a server whose connection ended, in place of ``CrashDetector``."""
        self.lost_connections.append(server.server_id)

    def register(self, name: str, service: str, started_ms: int = 1) -> None:
        """Lets the daemon read a registration that says ready from the store."""
        updates = self.task_harness.decoder.decode(make_registration(name, service, started_ms))
        self.task_harness.view_task.receive(UpdatesRead(tuple(updates), 4, False))

    def send_many(self, target: str, results) -> list[str]:
        """Sends a request for each result; returns the servers to which they were sent."""
        self.sent_to.clear()
        for result in results:
            self.send(target, ScriptedServers(self.clock, [result, ANSWERED], seconds=0.01))
            self.task_harness.deliver()
        return list(self.sent_to)

    def send(
        self,
        target: str,
        servers: ScriptedServers,
        disconnect_notifier: FakeDisconnectNotifier | None = None,
    ):
        def connection_pool(_state, tracker):
            self.sent_to.append(tracker.server.server_id)
            return servers

        self.monkeypatch.setattr(RoutingState, "connection_pool", connection_pool)
        now = self.clock.now()
        request = CallerRequest("id", "h", "POST", target, (), b"", now, now + 3.0, 5)
        return self.request_handler.handle(request, disconnect_notifier or FakeDisconnectNotifier())


@pytest.fixture
def handler_harness(make_daemon, clock, monkeypatch):
    return RequestHandlerHarness(make_daemon(), clock, monkeypatch)


def test_a_non_idempotent_request_is_not_retried_after_a_lost_answer(handler_harness):
    """Guards against running an order twice: it may have run although its answer was lost."""
    servers = ScriptedServers(handler_harness.clock, [Lost(LostReason.RESET, "reset"), ANSWERED])
    reply = handler_harness.send("/o/1", servers)
    assert_that(reply, IsInstance(OutcomeUnknown))
    assert_that(len(servers.results), Equals(1))
    assert_that(len(handler_harness.lost_connections), Equals(1))


def test_a_declined_non_idempotent_request_is_retried(handler_harness):
    """Guards against refusing an order that certainly has not run and could still be served."""
    reply = handler_harness.send(
        "/o/1", ScriptedServers(handler_harness.clock, [Declined(503, False, None), ANSWERED])
    )
    assert_that(reply, Equals(ANSWERED.answer))


def test_in_flight_counts_return_to_zero_however_a_request_ends(handler_harness):
    """Guards against leaked in-flight counts, with which idle servers look full for ever."""
    for results in (
        [ANSWERED],
        [TIMED_OUT],
        [Declined(503, False, None)] * 3,
        [Declined(421, True, None)],
    ):
        handler_harness.send(
            "/o/1", ScriptedServers(handler_harness.clock, [*results, ANSWERED, ANSWERED])
        )
    trackers = handler_harness.task_harness.routing_state.trackers.values()
    assert_that({tracker.in_flight for tracker in trackers}, Equals({0}))


def test_a_disconnected_caller_gets_no_reply_and_no_retry(handler_harness):
    """Guards against a retry for a caller that disconnected during the call."""
    servers = ScriptedServers(handler_harness.clock, [Lost(LostReason.CANCELLED, "left"), ANSWERED])
    disconnect_notifier = FakeDisconnectNotifier()
    servers.during_call = disconnect_notifier.disconnect
    assert_that(
        handler_harness.send("/o/1", servers, disconnect_notifier), IsInstance(CallerDisconnected)
    )
    assert_that(len(servers.results), Equals(1))


def test_an_unknown_path_is_refused_with_404_and_a_missing_configuration_with_503(
    handler_harness, make_daemon
):
    """Guards against a 404 for a valid path from a daemon that has no configuration yet."""
    assert_that(
        handler_harness.send("/nope/1", ScriptedServers(handler_harness.clock, [])).status,
        Equals(404),
    )
    handler_harness.task_harness.routing_state.routes = None
    reply = handler_harness.send("/k/1", ScriptedServers(handler_harness.clock, []))
    assert_that((type(reply), reply.status), Equals((NotRun, 503)))


def test_a_request_late_in_the_shutdown_is_refused_and_not_sent(handler_harness):
    """Guards against a request that is lost because the process ends before it does.

    The request is accepted so long after SIGTERM that little of the time for the shutdown is left.
    """
    handler_harness.request_handler.closed = True
    servers = ScriptedServers(handler_harness.clock, [ANSWERED])
    reply = handler_harness.send("/o/1", servers)
    assert_that((type(reply), reply.reason), Equals((NotRun, "leaving")))
    assert_that(len(servers.results), Equals(1))


def shut_down_within(harness, seconds: float) -> None:
    """Begins a shutdown in which requests may be answered for so long."""
    now = harness.clock.now()
    plan = ShutdownPlan(now, now + seconds, now + seconds, now + seconds + 0.1)
    harness.request_handler.begin_shutdown(plan)


def test_a_request_that_cannot_end_before_the_shutdown_is_refused_and_not_sent(handler_harness):
    """Guards against an order that is passed on late in a planned stop and then cut (report)."""
    shut_down_within(handler_harness, 0.2)
    servers = ScriptedServers(handler_harness.clock, [ANSWERED])
    reply = handler_harness.send("/o/1", servers)
    assert_that((type(reply), reply.reason, reply.status), Equals((NotRun, "leaving", 503)))
    assert_that(len(servers.results), Equals(1))
    trackers = handler_harness.task_harness.routing_state.trackers.values()
    assert_that({tracker.in_flight for tracker in trackers}, Equals({0}))


def test_a_request_early_in_the_shutdown_is_answered(handler_harness):
    """Guards against refusals of requests for which there is time enough in a planned stop."""
    shut_down_within(handler_harness, 2.0)
    reply = handler_harness.send("/o/1", ScriptedServers(handler_harness.clock, [ANSWERED]))
    assert_that(reply, Equals(ANSWERED.answer))


def test_a_retry_that_cannot_end_before_the_shutdown_is_not_sent(handler_harness):
    """Guards against a repetition that is cut when the process ends (report)."""
    shut_down_within(handler_harness, 0.8)
    lost = Lost(LostReason.RESET, "reset")
    servers = ScriptedServers(handler_harness.clock, [lost, ANSWERED], seconds=0.5)
    assert_that(handler_harness.send("/k/1", servers), IsInstance(OutcomeUnknown))
    assert_that(len(servers.results), Equals(1))


def test_a_request_in_progress_at_the_end_of_the_shutdown_gets_an_unknown_outcome(handler_harness):
    """Guards against a connection that is cut without an answer when the process ends (report)."""
    shut_down_within(handler_harness, 2.0)
    cancelled = Lost(LostReason.CANCELLED, "cancelled")
    servers = ScriptedServers(handler_harness.clock, [cancelled, ANSWERED])
    servers.during_call = handler_harness.request_handler.end_open_requests
    reply = handler_harness.send("/k/1", servers)
    assert_that(reply, Equals(OutcomeUnknown("leaving", timed_out=True)))
    assert_that(len(servers.results), Equals(1))


def test_a_request_that_is_not_sent_at_the_end_of_the_shutdown_is_refused(handler_harness):
    """Guards against an unknown outcome for a request that no server has got, and against an
    answer that is dropped although it came at the last moment."""
    shut_down_within(handler_harness, 2.0)
    for results, expected in (([NotSent("no"), ANSWERED], NotRun), ([ANSWERED], ServerAnswer)):
        servers = ScriptedServers(handler_harness.clock, results)
        servers.during_call = handler_harness.request_handler.end_open_requests
        assert_that(handler_harness.send("/o/1", servers), IsInstance(expected))


def test_service_times_of_a_keyed_server_are_counted_for_the_decider(handler_harness):
    """Guards against slow servers that are assigned as many keys as fast ones."""
    handler_harness.send("/k/1", ScriptedServers(handler_harness.clock, [ANSWERED], seconds=0.3))
    [seconds] = handler_harness.key_counter.service_times["a"]["i-1"]
    assert_that(seconds, GreaterThan(0.29))


def test_timed_out_requests_of_a_keyed_server_are_counted_for_the_decider(handler_harness):
    """Guards against slow servers that keep their keys.

    The requests of a server that has become very slow time out. If they are not counted, the server
    does not look slow to the decider.
    """
    handler_harness.send("/k/1", ScriptedServers(handler_harness.clock, [TIMED_OUT], seconds=1.45))
    assert_that("a" in handler_harness.key_counter.service_times, Equals(True))


def test_a_pooled_server_that_announces_leaving_gets_no_more_requests(handler_harness):
    """Guards against requests to a server that says in its answers that it leaves, while its
    registration says ready: the store is away, its watch lags, or a restored store has it."""
    pool = handler_harness.task_harness.routing_state.dispatcher.pools["b"]
    [leaving] = handler_harness.send_many("/o/1", [LEAVING])
    remaining = {ServerIncarnation(name, 1) for name in ("i-2", "i-3") if name != leaving}
    assert_that(set(pool.trackers), Equals(remaining))
    handler_harness.register(leaving, "b")
    assert_that(set(pool.trackers), Equals(remaining))
    handler_harness.task_harness.routing_state.directory.record_deletion(leaving, 0.0)
    handler_harness.task_harness.routing_state.refresh()
    for started_ms in (1, 0):
        handler_harness.register(leaving, "b", started_ms)
        assert_that(set(pool.trackers), Equals(remaining))
    sent_to = handler_harness.send_many("/o/1", [ANSWERED] * 5)
    assert_that(leaving in sent_to, Equals(False))
    handler_harness.register(leaving, "b", started_ms=2)
    assert_that(set(pool.trackers), Equals(remaining | {ServerIncarnation(leaving, 2)}))


def test_an_owner_that_announces_leaving_gets_requests_only_while_its_keys_move(handler_harness):
    """Guards against requests to an owner after its drain time, and against keys without service
    while they could still be served: its registration says ready all the time."""
    routing_state = handler_harness.task_harness.routing_state
    assert_that(handler_harness.send_many("/k/1", [LEAVING, ANSWERED]), Equals(["i-1", "i-1"]))
    assert_that(routing_state.directory.eligible_servers("a"), Equals([]))
    handler_harness.register("i-1", "a")
    handler_harness.clock.advance(1.0)
    assert_that(handler_harness.send_many("/k/1", [ANSWERED]), Equals(["i-1"]))
    handler_harness.register("i-1", "a")
    handler_harness.clock.advance(0.2)
    tracker = routing_state.trackers[INCARNATION]
    assert_that(tracker.send_window.is_open(handler_harness.clock.now()), Equals(False))
    pool = routing_state.dispatcher.pools["a"]
    result = available_at(tracker, pool.limits, handler_harness.clock.now())
    assert_that(result, Equals(None))
    routing_state.refresh()
    assert_that(pool.trackers, Equals({}))


def test_a_request_that_is_withheld_goes_to_another_server(handler_harness):
    """Guards against *unreachable*, and a server that counts as unresponsive, because a request was
    held back for a pause while it waited for its connection."""
    withheld = NotSent("pause", withheld=True)
    servers = ScriptedServers(handler_harness.clock, [*[withheld] * 6, ANSWERED], seconds=0.01)
    assert_that(handler_harness.send("/o/1", servers), Equals(ANSWERED.answer))
    trackers = handler_harness.task_harness.routing_state.trackers.values()
    assert_that({tracker.consecutive_no_responses for tracker in trackers}, Equals({0}))


def test_a_declined_request_goes_to_a_server_without_a_pause(handler_harness):
    """Guards against requests to a server inside the pause that it asked for."""
    paused = declined_with_pause(handler_harness.clock.now() + 2.0)
    servers = ScriptedServers(handler_harness.clock, [paused, *[ANSWERED] * 3], seconds=0.01)
    replies = [handler_harness.send("/o/1", servers) for _ in range(3)]
    assert_that({reply.status for reply in replies}, Equals({200}))
    assert_that(handler_harness.sent_to.count(handler_harness.sent_to[0]), Equals(1))


def test_a_caller_of_a_paused_owner_is_told_when_the_pause_ends(handler_harness):
    """Guards against requests that are held for a paused owner, and against callers that are told
    to return inside the pause."""
    paused = declined_with_pause(handler_harness.clock.now() + 2.5)
    servers = ScriptedServers(handler_harness.clock, [paused, ANSWERED], seconds=0.01)
    started_at = handler_harness.clock.now()
    replies = [handler_harness.send("/k/1", servers) for _ in range(2)]
    assert_that([(reply.reason, reply.status) for reply in replies], Equals([("paused", 503)] * 2))
    assert_that(min(reply.retry_after for reply in replies), GreaterThan(2.4))
    assert_that(handler_harness.clock.now() - started_at < 0.1, Equals(True))
    assert_that(handler_harness.sent_to, Equals(["i-1"]))


def test_a_pause_outlasts_a_registration_that_lapses(handler_harness):
    """Guards against requests inside a pause to a server whose registration lapsed for a while."""
    paused = declined_with_pause(handler_harness.clock.now() + 2.5)
    handler_harness.send_many("/k/1", [paused])
    routing_state = handler_harness.task_harness.routing_state
    routing_state.unregister_server("i-1")
    routing_state.refresh()
    handler_harness.register("i-1", "a")
    assert_that(handler_harness.send_many("/k/1", [ANSWERED]), Equals([]))


def test_each_request_that_was_not_handled_is_counted_and_logged(handler_harness, monkeypatch):
    """Guards against refusals of which nobody learns, and against a log that grows with them."""
    events = []
    monkeypatch.setattr(
        "fireflylink_daemon._request_handler.log_event",
        lambda name, **fields: events.append((name, fields["reason"])),
    )
    for _ in range(500):
        handler_harness.request_handler.record_refusal("line that is no field")
    assert_that(events, Equals([("request-unread", "line that is no field")] * 400))
    assert_that(
        handler_harness.request_handler.metrics.counters[("requests_refused_unread", ())],
        Equals(500),
    )
