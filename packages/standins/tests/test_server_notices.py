"""Servers that announce that they leave, or ask for a pause, with running daemons."""

import gevent
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from fireflylink_protocol import decode_table, ownership_key
from fireflylink_standins import DAEMON_BOUNDS, KEYED_SERVICE, LOOKUP_PATH, ORDER_PATH

DRAIN_SECONDS = DAEMON_BOUNDS["drain_ms"] / 1000.0
DAEMONS = 3
PAUSE_SECONDS = 2.0
MAX_LATE_ARRIVALS = 2
ARRIVALS_COUNT_AFTER_SECONDS = 0.5


def owned_key(harness, owner: str) -> int:
    """Returns a key that a server owns by the table in the store."""
    table = decode_table(harness.system.store.read(ownership_key(KEYED_SERVICE)).value).unwrap()
    return next(key for key in range(0, 65536, 97) if table.find(key).owner.server_id == owner)


def send(harness, daemon: int, method: str, path: str, key: int | None = None):
    """Returns the reply to one request, and how long it took."""
    caller = harness.caller(daemon)
    started_at = harness.clock.now()
    reply = caller.send(method, path, key=key, body=b"x" if method == "POST" else b"")
    caller.close()
    return reply.unwrap(), harness.clock.now() - started_at


def arrivals_between(server, start: float, end: float) -> int:
    return sum(start < time < end for time in server.arrived_at)


def test_an_announcement_to_leave_holds_while_the_store_is_away(harness):
    """Guards against requests to a server that has said that it leaves, by a daemon that cannot
    read its registration, or reads one that still says ready."""
    leaving = harness.system.servers["b0"]
    harness.system.store_faults.down = True
    leaving.announces_leaving = True
    for number in range(60):
        harness.order(f"seen-{number}", number % DAEMONS)
    assert_that(len(leaving.arrived_at), GreaterThan(0))
    gevent.sleep(DRAIN_SECONDS)
    harness.system.store_faults.down = False
    leaving.register()
    gevent.sleep(1.0)
    # Each daemon may still have to get its first answer with the announcement.
    for number in range(60):
        harness.order(f"again-{number}", number % DAEMONS)
    gevent.sleep(DRAIN_SECONDS)
    seen_by = [
        number
        for number, daemon in enumerate(harness.system.daemons)
        if "event=server-leaving server=b0@" in daemon.log_path.read_text()
    ]
    assert_that(len(seen_by), GreaterThan(0))
    before = len(leaving.arrived_at)
    statuses = {harness.order(f"late-{number}", number) for number in seen_by * 20}
    assert_that((statuses, len(leaving.arrived_at)), Equals(({200}, before)))


def test_keys_of_an_owner_that_announces_leaving_move_without_a_gap(harness):
    """Guards against keys without service, or requests after the drain time, while the registration
    of their owner still says ready."""
    leaving = harness.system.servers["a0"]
    key = owned_key(harness, "a0")
    leaving.announces_leaving = True
    started_at = harness.clock.now()
    statuses = []
    while harness.clock.now() < started_at + DRAIN_SECONDS + 1.5:
        statuses += [harness.lookup(key, daemon) for daemon in range(DAEMONS)]
        gevent.sleep(0.02)
    assert_that(set(statuses), Equals({200}))
    assert_that(max(leaving.arrived_at), LessThan(started_at + DRAIN_SECONDS))


def test_two_pauses_of_the_owner_of_a_hot_key(harness):
    """Guards against requests inside the pauses that an owner asks for, and against callers that
    are held for it or told to return inside the pause: from the queue, retries and new ones."""
    owner = harness.system.servers["a0"]
    key = owned_key(harness, "a0")
    for _ in range(2):
        owner.declines_requests, owner.pause_seconds = True, PAUSE_SECONDS
        load = [
            gevent.spawn(send, harness, 0, "GET", f"{LOOKUP_PATH}{key}", key) for _ in range(30)
        ]
        replies = [greenlet.get(timeout=5.0) for greenlet in load]
        paused_at = owner.arrived_at[-1]
        assert_that({reply.status for reply, _ in replies}, Equals({503}))
        assert_that(max(seconds for _, seconds in replies), LessThan(0.5))
        owner.declines_requests = False
        reply, seconds = send(harness, 0, "GET", f"{LOOKUP_PATH}{key}", key)
        wait = float(reply.header("Retry-After"))
        assert_that((reply.status, seconds < 0.2), Equals((503, True)))
        assert_that(harness.clock.now() + wait, GreaterThan(paused_at + PAUSE_SECONDS))
        ends_at = paused_at + PAUSE_SECONDS
        served = []
        while harness.clock.now() < ends_at + 1.5:
            reply, _ = send(harness, 0, "GET", f"{LOOKUP_PATH}{key}", key)
            served.append(reply.status)
            gevent.sleep(0.02)
        late = arrivals_between(owner, paused_at + ARRIVALS_COUNT_AFTER_SECONDS, ends_at)
        assert_that(late <= MAX_LATE_ARRIVALS, Equals(True))
        assert_that(served[-1], Equals(200))
    log = harness.system.daemons[0].log_path.read_text()
    assert_that(log, Contains("event=server-paused server=a0@"))


def test_orders_go_to_another_server_during_a_pause(harness):
    """Guards against orders that are refused, or sent into the pause of one server, although
    another one takes them."""
    paused = harness.system.servers["b0"]
    paused.declines_requests, paused.pause_seconds = True, PAUSE_SECONDS
    harness.system.servers["b1"].work_seconds = 0.05
    ends_at = harness.clock.now() + PAUSE_SECONDS
    statuses = []

    def send_orders(number: int) -> None:
        while harness.clock.now() < ends_at:
            reply, _ = send(harness, 0, "POST", f"{ORDER_PATH}{number}-{len(statuses)}")
            statuses.append(reply.status)

    # More at a time than one server is given, so that some wait for a server to be free.
    gevent.joinall([gevent.spawn(send_orders, number) for number in range(16)])
    assert_that(set(statuses), Equals({200}))
    first = min(paused.arrived_at)
    late = arrivals_between(paused, first + ARRIVALS_COUNT_AFTER_SECONDS, first + PAUSE_SECONDS)
    assert_that(late <= MAX_LATE_ARRIVALS, Equals(True))
