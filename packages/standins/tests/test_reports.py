"""Faults that operators of similar systems have reported, brought about on running processes."""

import json
import random
import re

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan, Not

from fireflylink_platform import names
from fireflylink_protocol import MEMBERS_PREFIX, ownership_key
from fireflylink_standins import ORDER_PATH, POOLED_SERVICE
from fireflylink_store import Commit, Put

JUNK = [
    b"\x00\xff\xfe junk",
    b"GET / HTTP/9.9\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\r\n" * 200,
    b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
    bytes(random.Random(7).randbytes(4096)),
]
SERVER = {
    "service": POOLED_SERVICE,
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
MEMBER = {"instance": "odd", "started_ms": 1, "data_centre": "z", "host": "127.0.0.1", "port": 9}
VALUES = [b"", b"\xff\xfe", b"[]", b"{}", b'{"service": 7, "address": []}', b"1" * 5000]


def send_junk(port: int) -> None:
    """Sends each piece of junk on a connection of its own and closes it."""
    for data in JUNK:
        with socket.create_connection(("127.0.0.1", port), timeout=2.0) as sock:
            try:
                sock.sendall(data)
                sock.settimeout(0.1)
                sock.recv(65536)
            except OSError:
                # The daemon may answer, reset the connection or wait for more.
                continue


def check_serving(harness) -> None:
    """Checks that all daemons are the processes that were started, and serve."""
    for number, daemon in enumerate(harness.system.daemons):
        assert_that(daemon.process.poll(), Is(None))
        assert_that(harness.serves_requests(number), Is(True))


@pytest.mark.parametrize("target", ["callers", "readiness", "metrics", "datagrams"])
def test_malformed_messages_do_not_end_a_daemon(harness, target):
    """Guards against one malformed message that takes a whole process down (report)."""
    daemon = harness.system.daemons[0]
    if target == "datagrams":
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in [*(junk[:1400] for junk in JUNK), b"\x91\x01", b"\x94\x02\xa1a\x00\xc0"]:
                sock.sendto(data, ("127.0.0.1", daemon.peer_port))
    else:
        ports = {
            "callers": daemon.caller_port,
            "readiness": daemon.readiness_port,
            "metrics": daemon.metrics_port,
        }
        send_junk(ports[target])
    gevent.sleep(0.3)
    check_serving(harness)


def test_malformed_items_of_the_store_do_not_end_a_daemon(harness):
    """Guards against one malformed item that takes daemons down, or the others with it (report)."""
    prefixes = (names.SERVERS_PREFIX, MEMBERS_PREFIX, ownership_key(""), "other/")
    for number, value in enumerate(VALUES):
        puts = tuple(Put(f"{prefix}junk-{number}", value, 0) for prefix in prefixes)
        harness.system.store.commit(Commit(puts=puts))
    harness.system.store.commit(Commit(puts=(Put(names.CONFIGURATION_KEY, b"\xff", 0),)))
    gevent.sleep(0.8)
    check_serving(harness)
    log = harness.system.daemons[0].log_path.read_text()
    assert_that(log, Contains("event=item-unreadable"))
    assert_that(log, Contains("event=record-unreadable"))


ODD_VALUES = [
    b"[" * 100_000,
    b'{"slots": ' + b"9" * 5000 + b"}",
    *(
        json.dumps({**SERVER, **change}).encode()
        for change in (
            {"slots": 10**30},
            {"slots": 10**400},
            {"warmup-left-ms": 1e308},
            {"warmup-left-ms": float("inf")},
            {"warmup-left-ms": float("nan")},
            {"born": 2**64},
            {"address": "127.0.0.1:65536"},
        )
    ),
    *(
        json.dumps({**MEMBER, **change}).encode()
        for change in ({"started_ms": float("inf")}, {"port": 10**30}, {"host": "h" * 80})
    ),
]


def test_odd_entries_among_the_servers_do_not_keep_daemons_from_following_the_list(harness):
    """Guards against one odd entry of another writer with which the daemons end again and again, or
    stop following the list (report): servers that come and go later are not noticed."""
    for number, value in enumerate(ODD_VALUES):
        prefixes = (names.SERVERS_PREFIX, MEMBERS_PREFIX, ownership_key(""), "op/evacuate/")
        puts = tuple(Put(f"{prefix}odd-{number}", value, 0) for prefix in prefixes)
        harness.system.store.commit(Commit(puts=puts))
    gevent.sleep(0.8)
    harness.system.daemons[1].kill()
    harness.system.daemons[1].start()
    harness.system.add_server("b9", POOLED_SERVICE, 0, keyed=False).register()
    for name in ("b0", "b1"):
        harness.system.servers.pop(name).stop()
    harness.await_service(12.0)
    check_serving(harness)
    for daemon in harness.system.daemons:
        log = daemon.log_path.read_text()
        assert_that(log, Not(Contains("event=task-error")))
        assert_that(re.findall(r"event=server-registered server=(odd-\S+)", log), Equals([]))


def test_a_server_that_answers_with_junk_without_end_does_not_end_a_daemon(harness):
    """Guards against memory and tasks that a faulty server takes with it: bytes that are no answer
    come until the caller closes (report)."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)

    def flood(sock) -> None:
        try:
            while True:
                sock.sendall(JUNK[-1])
        except OSError:
            sock.close()

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            gevent.spawn(flood, sock)

    accepting = gevent.spawn(accept)
    server = harness.system.add_server("b9", POOLED_SERVICE, 0, keyed=False)
    server.advertised_port = listener.getsockname()[1]
    server.register()
    gevent.sleep(0.5)
    statuses = {harness.order(f"o{number}") for number in range(30)}
    server.stop()
    accepting.kill()
    listener.close()
    assert_that(statuses <= {200, 502, 503, 504}, Is(True))
    for daemon in harness.system.daemons:
        assert_that(daemon.process.poll(), Is(None))


def test_a_server_that_closes_within_the_head_of_its_answer_yields_no_answer(harness):
    """Guards against a 200 with an empty or short body, framed as whole (report): the only server
    for orders stops after each byte of its head in turn."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    answer = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nServer-Signature: s\r\nContent-Length: 12\r\n\r\n"
    )
    lengths = iter(range(1, len(answer)))
    read = []

    def accept() -> None:
        while True:
            sock, _ = listener.accept()
            gevent.spawn(answer_in_part, sock)

    def answer_in_part(sock) -> None:
        if sock.recv(65536):
            length = next(lengths)
            read.append(length)
            sock.sendall(answer[:length])
        sock.close()

    accepting = gevent.spawn(accept)
    server = harness.system.add_server("b9", POOLED_SERVICE, 0, keyed=False)
    server.advertised_port = listener.getsockname()[1]
    server.register()
    for name in ("b0", "b1"):
        harness.system.servers.pop(name).stop()
    gevent.sleep(0.8)
    statuses = {harness.order("x", number % 3, "cut") for number in range(len(answer) - 1)}
    accepting.kill()
    listener.close()
    server.stop()
    assert_that(statuses <= {502, 503}, Is(True))
    assert_that(len(read), GreaterThan(20))


def test_a_restarted_daemon_does_not_use_a_server_that_has_left_or_an_older_version(harness):
    """Guards against a server that had left, or a route that had been withdrawn, being in use again
    after a restart of the system's processes (report)."""
    left = harness.system.servers.pop("b1")
    left.drain()
    gevent.sleep(2.5)
    left.heartbeat.kill()
    harness.system.store.revoke_lease(left.lease_id)
    for _ in range(3):
        harness.system.configure()
    gevent.sleep(0.5)
    before = len(left.state.executed)
    for daemon in harness.system.daemons:
        daemon.kill()
        daemon.start()
    harness.await_service(15.0)
    for number in range(30):
        harness.order(f"after-{number}", number % 3)
    assert_that(len(left.state.executed), Equals(before))
    left.stop()
    for daemon in harness.system.daemons:
        log = daemon.log_path.read_text().rsplit("event=started", 1)[1]
        assert_that(log, Contains("event=configuration-applied version=4"))
        for version in (1, 2, 3):
            assert_that(f"event=configuration-applied version={version} " in log, Is(False))


def test_a_silent_server_keeps_its_running_work(harness):
    """Guards against work that is started again elsewhere, or given up, because a server is silent
    for a while (report): its registration ends while it runs an order."""
    for server in harness.system.servers.values():
        server.work_seconds = 1.2
    silent = [harness.system.servers[name] for name in ("b0", "b1")]
    outcome = gevent.spawn(harness.order, "slow", 0, "slow-order")
    gevent.sleep(0.3)
    for server in silent:
        server.heartbeat.kill()
        harness.system.store.revoke_lease(server.lease_id)
    assert_that(outcome.get(timeout=5.0), Equals(200))
    runs = [request for server in silent for request, _ in server.state.executed]
    assert_that(runs.count("slow-order"), Equals(1))


def patient_order(harness, caller=None, request_id: str = ""):
    """Sends an order that has 20 s; returns its reply, None if there is none."""
    caller = caller or harness.caller()
    reply = caller.send("POST", f"{ORDER_PATH}x", None, b"order", 20.0, request_id)
    return reply.value_or(None)


def slow_down_orders(harness, work_seconds: float) -> None:
    """Makes every order take ``work_seconds``, and its route wait for that."""
    harness.system.configure(order_timeout_ms=20_000)
    gevent.sleep(0.8)
    for name in ("b0", "b1"):
        harness.system.servers[name].work_seconds = work_seconds


def test_requests_in_progress_at_the_end_of_a_planned_stop_are_answered(harness):
    """Guards against orders that are cut without an answer when the process ends (report).

    They come at three times of the grace, and the server works for longer than what is left.
    """
    slow_down_orders(harness, 9.0)
    daemon = harness.system.daemons[0]
    daemon.terminate()
    orders = []
    for delay_seconds in (0.1, 1.0, 1.2):
        gevent.sleep(delay_seconds)
        orders.append(gevent.spawn(patient_order, harness))
    replies = [order.get(timeout=10.0) for order in orders]
    assert_that(daemon.wait(3.0), Equals(0))
    assert_that([reply and reply.status for reply in replies], Equals([504, 504, 504]))


def test_an_order_that_cannot_end_before_a_planned_stop_is_refused_and_not_run(harness):
    """Guards against orders that are passed on late in the grace and then cut (report): each may
    have run, and its caller must not repeat it."""
    slow_down_orders(harness, 4.0)
    for _ in range(2):
        known = [gevent.spawn(patient_order, harness) for _ in range(4)]
        assert_that({order.get(timeout=15.0).status for order in known}, Equals({200}))
    caller = harness.caller()
    daemon = harness.system.daemons[0]
    daemon.terminate()
    gevent.sleep(2.3)
    started_at = harness.clock.now()
    reply = patient_order(harness, caller, "late-order")
    seconds = harness.clock.now() - started_at
    assert_that(daemon.wait(5.0), Equals(0))
    assert_that((reply.status, reply.header("Connection")), Equals((503, "close")))
    assert_that(float(reply.header("Retry-After")), LessThan(1.0))
    assert_that(seconds, LessThan(1.0))
    servers = [harness.system.servers[name] for name in ("b0", "b1")]
    runs = [request for server in servers for request, _ in server.state.executed]
    assert_that(runs.count("late-order"), Equals(0))
