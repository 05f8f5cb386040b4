"""The guarantees of the README, checked on running processes under failures.

The prefix of a test's name is the number of its guarantee:

- P1: a key has one owner at a time.
- P2: an assignment of keys survives.
- P3: no cold server is overloaded (tested in other files).
- P4: a data centre that is taken out gets no new work.
- P5: a caller gets the whole answer to its own request (tested in other files).
- P6: "not run" is true.
- P7: an order runs at most once.
- P8: a draining server gets no new work.
- P9: a planned stop cuts off no request.
- P10: an accepted configuration is in force everywhere and is never reverted.

An owner is the server that the ownership table assigns a key to; a holder is a server with an
unexpired grant of it. Servers ``a0``, ``a1``, ... own keys, servers ``b0``, ``b1``, ... do not.
"""

import collections
import re

import gevent
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from fireflylink_core import SystemClock
from fireflylink_http_client import NotSentError
from fireflylink_operator_client import history_lines
from fireflylink_protocol import decode_table, ownership_key
from fireflylink_standins import KEYED_SERVICE, ORDER_PATH, POOLED_SERVICE, Caller


def holder_counts(harness) -> set[int]:
    """Returns the distinct numbers of holders of every 257th key, which cover the whole range."""
    keyed = [server for server in harness.system.servers.values() if server.keyed]
    return {sum(server.state.holds_key(key) for server in keyed) for key in range(0, 65536, 257)}


def stored_fence(harness) -> int:
    """Returns the fence of the ownership table in the store."""
    item = harness.system.store.read(ownership_key(KEYED_SERVICE))
    return decode_table(item.value).unwrap().fence


def stored_owners(harness) -> dict[int, str]:
    """Returns the owner of every 257th key by the ownership table in the store."""
    table = decode_table(harness.system.store.read(ownership_key(KEYED_SERVICE)).value).unwrap()
    return {key: table.find(key).owner.server_id for key in range(0, 65536, 257)}


def read_logs(harness) -> list[tuple[str, str]]:
    """Returns the names of the daemons' logs and their contents."""
    return [
        (daemon.log_path.name, daemon.log_path.read_text()) for daemon in harness.system.daemons
    ]


def executed_counts(harness, service: str) -> dict[str, int]:
    """Returns the number of requests that each server of a service has executed."""
    return {
        name: len(server.state.executed)
        for name, server in harness.system.servers.items()
        if server.service == service
    }


def test_p1_keys_of_a_crashed_server_have_one_holder_again_within_seconds(harness):
    """Guards against keys that have no holder for long, or two holders, after a server crash."""
    crashed = harness.system.servers.pop("a0")
    crashed.stop()
    started_at = harness.clock.now()
    while (counts := holder_counts(harness)) != {1}:
        assert_that(counts <= {0, 1}, Equals(True))
        assert_that(harness.clock.now() - started_at, LessThan(8.0))
        gevent.sleep(0.05)
    elapsed_seconds = harness.clock.now() - started_at
    harness.await_service(2.0)
    print(f"every key has an owner again after {elapsed_seconds:.1f} s")


def test_p1_the_logs_of_all_daemons_show_who_held_the_keys_of_a_drained_server(harness):
    """Guards against a history of a key that misses its change of owner, or that takes an ordinary
    one for an overlap: the lines that daemons write and the command that reads them differ."""
    moved = [key for key, owner in stored_owners(harness).items() if owner == "a1"]
    harness.system.servers["a1"].drain()
    granted: list[str] = []
    with gevent.Timeout(10.0):
        while not granted:
            gevent.sleep(0.1)
            # Raises ``OverlapError`` if two owners of the key overlap.
            history = list(history_lines(KEYED_SERVICE, moved[0], read_logs(harness)))
            granted = [
                line for line in history if "event=keys-granted" in line and "former=a1@" in line
            ]
    assert_that(granted, HasLength(1))
    ends = [line for line in history if "event=hold-ended" in line and "server=a1@" in line]
    assert_that(ends, HasLength(1))
    assert_that(ends[0], Contains("reason=released"))
    assert_that(history.index(granted[0]), GreaterThan(history.index(ends[0])))


def test_p2_daemons_killed_together_serve_again_and_advance_the_stored_fence(harness):
    """Guards against daemons that cannot serve again after all of them were killed at once.

    The restarted daemons read the ownership table from the store and advance its fence, and most
    keys stay with their owners: a key that changes hands is slow for some seconds.
    """
    fence_before = stored_fence(harness)
    owners_before = stored_owners(harness)
    for daemon in harness.system.daemons:
        daemon.kill()
    for daemon in harness.system.daemons:
        daemon.start()
    elapsed_seconds = harness.await_service(15.0)
    print(f"served again after {elapsed_seconds:.1f} s")
    with gevent.Timeout(10.0):
        while stored_fence(harness) <= fence_before:
            gevent.sleep(0.1)
    harness.await_service(5.0)
    owners = stored_owners(harness)
    kept = sum(owners[key] == owner for key, owner in owners_before.items())
    assert_that(kept, GreaterThan(len(owners_before) // 2))


def test_p2_lookups_succeed_during_an_outage_of_the_store(harness):
    """Guards against servers that lose their keys while only the store is unreachable.

    The lookups take 5 s or more and go to all three daemons. Orders are not sent.
    """
    harness.system.store_faults.down = True
    statuses = collections.Counter()
    for step in range(50):
        statuses[harness.lookup(step * 1300, step % 3)] += 1
        gevent.sleep(0.1)
    assert_that(dict(statuses), Equals({200: 50}))
    harness.system.store_faults.down = False
    assert_that(harness.await_service(5.0), LessThan(5.0))


def test_p4_servers_of_an_evacuated_data_centre_execute_no_requests(harness):
    """Guards against requests that run in a data centre that operators have evacuated.

    Requests that these servers decline are not counted.
    """
    harness.system.evacuate("kingston", True)
    gevent.sleep(4.0)
    executed_before = (
        executed_counts(harness, POOLED_SERVICE)["b0"],
        executed_counts(harness, KEYED_SERVICE)["a0"],
    )
    harness.await_service(5.0)
    executed_after = (
        executed_counts(harness, POOLED_SERVICE)["b0"],
        executed_counts(harness, KEYED_SERVICE)["a0"],
    )
    assert_that(executed_after, Equals(executed_before))
    harness.system.evacuate("kingston", False)
    harness.await_service(5.0)


def test_p6_p7_orders_with_lost_answers_run_once_and_are_not_reported_as_not_run(harness):
    """Guards against an order that runs twice, or is reported as not run although it ran.

    The servers run each order and close the connection without an answer.
    """
    servers = [harness.system.servers[name] for name in ("b0", "b1")]
    for server in servers:
        server.drops_answers = True
    statuses = collections.Counter(
        harness.order(f"o{number}", number % 3, f"order-{number}") for number in range(30)
    )
    runs = collections.Counter(
        request_id for server in servers for request_id, _ in server.state.executed
    )
    assert_that([runs[f"order-{number}"] for number in range(30)], Equals([1] * 30))
    assert_that(set(statuses) & {429, 503, 408, 421}, Equals(set()))


def test_p6_an_order_that_every_server_declines_is_reported_as_not_run(harness):
    """Guards against an unknown outcome for an order that certainly did not run.

    Every server declines the order before it runs it.
    """
    for name in ("b0", "b1"):
        harness.system.servers[name].declines_requests = True
    executed_before = sum(executed_counts(harness, POOLED_SERVICE).values())
    assert_that(harness.order("o"), Equals(503))
    assert_that(sum(executed_counts(harness, POOLED_SERVICE).values()), Equals(executed_before))


def test_p8_a_draining_server_executes_no_new_requests(harness):
    """Guards against requests that run on a server that has registered itself as draining.

    Requests that these servers decline are not counted.
    """
    harness.system.servers["b0"].drain()
    harness.system.servers["a1"].drain()
    gevent.sleep(2.0)
    executed_before = (
        executed_counts(harness, POOLED_SERVICE)["b0"],
        executed_counts(harness, KEYED_SERVICE)["a1"],
    )
    harness.await_service(5.0)
    executed_after = (
        executed_counts(harness, POOLED_SERVICE)["b0"],
        executed_counts(harness, KEYED_SERVICE)["a1"],
    )
    assert_that(executed_after, Equals(executed_before))


def test_p9_every_answer_of_a_daemon_that_shuts_down_has_status_200(harness):
    """Guards against requests that are cut off or answered with an error in a planned shutdown.

    One caller sends orders, one after the other, until the daemon refuses connections.
    """
    daemon = harness.system.daemons[0]
    caller = Caller(daemon.caller_port, SystemClock())
    for name in ("b0", "b1"):
        harness.system.servers[name].work_seconds = 0.3
    outcomes = [_order_outcome(caller)]
    daemon.terminate()
    while outcomes[-1] != "not sent" and len(outcomes) < 30:
        outcomes.append(_order_outcome(caller))
    print(f"{len(outcomes)} orders: {collections.Counter(outcomes)}")
    assert_that(daemon.wait(8.0), Equals(0))
    assert_that(set(outcomes[:-1]), Equals({"200"}))
    assert_that(outcomes[-1], Equals("not sent"))
    assert_that(len(outcomes), GreaterThan(5))


def _order_outcome(caller: Caller) -> str:
    """Returns the status of an order, or whether it was not sent or its reply was lost."""
    reply = caller.send("POST", f"{ORDER_PATH}x", body=b"order")
    if isinstance(reply, Success):
        return str(reply.unwrap().status)
    error = reply.failure()
    return "not sent" if isinstance(error, NotSentError) else f"lost: {error}"


def test_p10_every_daemon_applies_a_configuration_and_none_reverts_it(harness):
    """Guards against a daemon that misses a new configuration, or applies an older one after it.

    One of the daemons is killed and restarted after the change.
    """
    harness.system.configure(order_timeout_ms=1500)
    gevent.sleep(1.0)
    harness.system.daemons[1].kill()
    harness.system.daemons[1].start()
    harness.await_service(10.0)
    for daemon in harness.system.daemons:
        versions = re.findall(
            r"event=configuration-applied version=(\d+)", daemon.log_path.read_text()
        )
        assert_that(versions[-1], Equals("2"))
        log_since_start = daemon.log_path.read_text().rsplit("event=started", 1)[1]
        applied = re.findall(r"event=configuration-applied version=(\d+)", log_since_start)
        assert_that(applied, Equals(sorted(applied, key=int)))


def test_a_daemon_that_starts_without_the_store_answers_503(harness):
    """Guards against a daemon without a configuration that answers that there is no route."""
    harness.system.store_faults.down = True
    harness.system.daemons[2].kill()
    harness.system.daemons[2].start()
    # On a busy machine the start of a daemon may exceed a fixed waiting time.
    harness.await_reply(2)
    assert_that({harness.lookup(5, 2) for _ in range(5)}, Equals({503}))
    gevent.sleep(1.0)
    assert_that({harness.lookup(5, 2) for _ in range(5)}, Equals({503}))
    harness.system.store_faults.down = False
    harness.await_service(5.0)


def test_an_order_is_logged_with_its_outcome(harness):
    """Guards against an answered order whose outcome cannot be found in the daemon's log."""
    harness.order("explained", 0, "explain-me")
    gevent.sleep(0.2)
    log = harness.system.daemons[0].log_path.read_text()
    [line] = [line for line in log.splitlines() if "request=explain-me" in line]
    for part in (
        "event=request ",
        "outcome=answered",
        "service=bookings",
        "servers=b",
        "version=1",
    ):
        assert_that(line, Contains(part))
