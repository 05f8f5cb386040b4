"""The promises of the brief, on processes under failures."""

import collections
import re

import gevent
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from fireflylink_core import SystemClock
from fireflylink_protocol import decode_table, ownership_key
from fireflylink_standins import KEYED_SERVICE, ORDER_PATH, POOLED_SERVICE, Caller


def holders_of_keys(running) -> set[int]:
    """Returns by how many live servers keys all over the range are held."""
    keyed = [found for found in running.system.servers.values() if found.keyed]
    return {sum(server.state.holds_key(key) for server in keyed) for key in range(0, 65536, 257)}


def stored_fence(running) -> int:
    """Returns the highest fence that the store knows."""
    item = running.system.store.read(ownership_key(KEYED_SERVICE))
    return decode_table(item.value).unwrap().fence


def ran(running, service: str) -> dict[str, int]:
    """Returns how many requests each server of a service has run."""
    return {
        name: len(server.state.executed)
        for name, server in running.system.servers.items()
        if server.service == service
    }


def test_p1_the_keys_of_a_lost_server_have_one_owner_again_within_seconds(running):
    """Guards against keys that stay without owner, or get two, after the loss of a server."""
    lost = running.system.servers.pop("a0")
    lost.stop()
    began = running.clock.now()
    while (holders := holders_of_keys(running)) != {1}:
        assert_that(holders <= {0, 1}, Equals(True))
        assert_that(running.clock.now() - began, LessThan(8.0))
        gevent.sleep(0.05)
    took = running.clock.now() - began
    running.await_service(2.0)
    print(f"owners again after {took:.1f} s")


def test_p2_an_assignment_survives_the_loss_of_every_daemon(running):
    """Guards against owners that are forgotten when all daemons are killed at once."""
    before = stored_fence(running)
    for daemon in running.system.daemons:
        daemon.kill()
    for daemon in running.system.daemons:
        daemon.start()
    took = running.await_service(15.0)
    print(f"served again after {took:.1f} s")
    with gevent.Timeout(10.0):
        while stored_fence(running) <= before:
            gevent.sleep(0.1)
    running.await_service(5.0)


def test_p2_the_stores_outage_alone_fails_no_request(running):
    """Guards against owners that lose their keys while the store is away."""
    running.system.store_faults.down = True
    statuses = collections.Counter()
    for step in range(50):
        statuses[running.lookup(step * 1300, step % 3)] += 1
        gevent.sleep(0.1)
    assert_that(dict(statuses), Equals({200: 50}))
    running.system.store_faults.down = False
    assert_that(running.await_service(5.0), LessThan(5.0))


def test_p4_an_evacuated_data_centre_gets_no_new_work_and_comes_back(running):
    """Guards against work for a data centre that operators took out."""
    running.system.evacuate("kingston", True)
    gevent.sleep(4.0)
    before = ran(running, POOLED_SERVICE)["b0"], ran(running, KEYED_SERVICE)["a0"]
    running.await_service(5.0)
    after = ran(running, POOLED_SERVICE)["b0"], ran(running, KEYED_SERVICE)["a0"]
    assert_that(after, Equals(before))
    running.system.evacuate("kingston", False)
    running.await_service(5.0)


def test_p6_p7_orders_whose_answers_are_lost_run_once_and_are_not_called_not_run(running):
    """Guards against TWICE and REFUSED: the server ran the order, its answer did not arrive."""
    servers = [running.system.servers[name] for name in ("b0", "b1")]
    for server in servers:
        server.drops_answers = True
    statuses = collections.Counter(
        running.order(f"o{number}", number % 3, f"order-{number}") for number in range(30)
    )
    runs = collections.Counter(
        request_id for server in servers for request_id, _ in server.state.executed
    )
    assert_that([runs[f"order-{number}"] for number in range(30)], Equals([1] * 30))
    assert_that(set(statuses) & {429, 503, 408, 421}, Equals(set()))


def test_p6_an_order_that_every_server_declines_is_called_not_run(running):
    """Guards against a promise that is not given although it is certain."""
    for name in ("b0", "b1"):
        running.system.servers[name].sheds_load = True
    before = sum(ran(running, POOLED_SERVICE).values())
    assert_that(running.order("o"), Equals(503))
    assert_that(sum(ran(running, POOLED_SERVICE).values()), Equals(before))


def test_p8_a_draining_server_gets_no_new_work(running):
    """Guards against DRAIN: work for a server that has said that it leaves."""
    running.system.servers["b0"].drain()
    running.system.servers["a1"].drain()
    gevent.sleep(2.0)
    before = ran(running, POOLED_SERVICE)["b0"], ran(running, KEYED_SERVICE)["a1"]
    running.await_service(5.0)
    after = ran(running, POOLED_SERVICE)["b0"], ran(running, KEYED_SERVICE)["a1"]
    assert_that(after, Equals(before))


def test_p9_a_daemon_that_leaves_cuts_off_no_request(running):
    """Guards against LOST: requests on kept connections around a planned stop."""
    daemon = running.system.daemons[0]
    caller = Caller(daemon.callers, SystemClock())
    for name in ("b0", "b1"):
        running.system.servers[name].work_seconds = 0.3
    statuses = [_order(caller)]
    daemon.terminate()
    while daemon.process.poll() is None and len(statuses) < 30:
        statuses.append(_order(caller))
    print(f"{len(statuses)} orders: {collections.Counter(statuses)}")
    assert_that(daemon.wait(8.0), Equals(0))
    # A connection that is refused was not read: its order has not run.
    answered = [status for status in statuses if status != 0]
    assert_that(set(answered), Equals({200}))
    assert_that(len(answered), GreaterThan(5))


def _order(caller: Caller) -> int:
    reply = caller.send("POST", f"{ORDER_PATH}x", body=b"order")
    return 0 if reply is None else reply.status


def test_p10_a_configuration_is_in_force_everywhere_and_never_reverted(running):
    """Guards against CONFIG: a daemon that lags, or that starts again with an older version."""
    running.system.configure(order_timeout_ms=1500)
    gevent.sleep(1.0)
    running.system.daemons[1].kill()
    running.system.daemons[1].start()
    running.await_service(10.0)
    for daemon in running.system.daemons:
        versions = re.findall(r"event=configuration-applied version=(\d+)", daemon.log.read_text())
        assert_that(versions[-1], Equals("2"))
        last_life = daemon.log.read_text().rsplit("event=started", 1)[1]
        applied = re.findall(r"event=configuration-applied version=(\d+)", last_life)
        assert_that(applied, Equals(sorted(applied, key=int)))


def test_a_daemon_that_starts_without_the_store_answers_503(running):
    """Guards against DENIED: a daemon without a configuration that says there is no route."""
    running.system.store_faults.down = True
    running.system.daemons[2].kill()
    running.system.daemons[2].start()
    # Beside busy processes a daemon may take longer than a fixed time to start.
    running.await_reply(2)
    assert_that({running.lookup(5, 2) for _ in range(5)}, Equals({503}))
    gevent.sleep(1.0)
    assert_that({running.lookup(5, 2) for _ in range(5)}, Equals({503}))
    running.system.store_faults.down = False
    running.await_service(5.0)


def test_every_request_leaves_a_line_with_its_outcome(running):
    """Guards against a failure that nobody can explain afterwards."""
    running.order("explained", 0, "explain-me")
    gevent.sleep(0.2)
    log = running.system.daemons[0].log.read_text()
    [line] = [found for found in log.splitlines() if "request=explain-me" in found]
    for part in (
        "event=request ",
        "outcome=answered",
        "service=bookings",
        "servers=b",
        "version=1",
    ):
        assert_that(line, Contains(part))
