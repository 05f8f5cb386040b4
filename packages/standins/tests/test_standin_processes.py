"""Guards the commands as other tests and the demo start them."""

import json
import time
from typing import Any

import pytest
from geventhttpclient import HTTPClient
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from fireflylink_core import SystemClock
from fireflylink_platform_client import InstanceListClient, KeyValueClient
from fireflylink_standins import ProcessError, ProcessGroup


def ask(port: int, method: str, target: str, document: Any = None) -> Any:
    client = HTTPClient("127.0.0.1", port)
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Content-Type": "application/json"}
    response = client.request(method, target, body=body, headers=headers)
    content = response.read()
    client.close()
    assert_that(response.status_code, Equals(200))
    return json.loads(content)


def test_platform_command_takes_faults_and_counts(group: ProcessGroup) -> None:
    """Scenario tests and the demo control the platform by these calls."""
    platform = group.start("fireflylink_standins.platform", "--port=0", "--instance_lag_ms=0")
    client = KeyValueClient("127.0.0.1", platform.port)
    client.read("key").unwrap()
    ask(platform.port, "POST", "/admin/faults", {"mode": "down"})
    client.read("key").failure()
    ask(platform.port, "POST", "/admin/faults", {"mode": "ok", "lose_replies": 1})
    client.write("key", b"x", 0).failure()
    counts = ask(platform.port, "GET", "/admin/counts")
    expected = {"read": 2, "write": 1, "total": 3, "pending_watches": 0}
    assert_that(counts, Equals(expected))
    instance = {
        "instance_id": "entry-1",
        "data_centre": "kingston",
        "host": "127.0.0.1",
        "control_port": 1,
        "forward_port": 2,
        "state": "live",
    }
    ask(platform.port, "PUT", "/admin/instances", [instance])
    ask(platform.port, "PUT", "/admin/instances/entry-2", instance)
    instances = InstanceListClient("127.0.0.1", platform.port)
    listed = [member.instance_id for member in instances.read().unwrap()]
    assert_that(listed, Equals(["entry-1", "entry-2"]))


def test_backend_command_runs_many_servers(group: ProcessGroup) -> None:
    """The machine allows only a few hundred processes."""
    backend = group.start(
        "fireflylink_standins.backend", "--count=3", "--server_id=hold", "--service=holds"
    )
    ports = [int(port) for port in backend.fields["ports"].split(",")]
    assert_that(set(ports), HasLength(3))
    statuses = [ask(port, "GET", "/health") for port in ports]
    clocks = sorted(status["clock_ms"] for status in statuses)
    assert_that(clocks[1] - clocks[0], LessThan(1_010_000))
    admin = int(backend.fields["admin_port"])
    ask(admin, "POST", "/admin/faults?server=hold-2", {"fault": "turn_cold"})
    counts = ask(admin, "GET", "/admin/counts")
    states = {server_id: count["state"] for server_id, count in counts.items()}
    assert_that(states, Equals({"hold-1": "warm", "hold-2": "cold", "hold-3": "warm"}))
    journal = ask(admin, "GET", "/admin/journal")
    assert_that(journal["entries"], Equals([]))


def test_paused_process_resumes_and_is_stopped(group: ProcessGroup) -> None:
    """A paused process that could not be ended would stay behind after the test."""
    platform = group.start("fireflylink_standins.platform", "--port=0")
    client = KeyValueClient("127.0.0.1", platform.port)
    platform.pause()
    started = time.monotonic()
    client.read("key", deadline=SystemClock().now() + 0.2).failure()
    assert_that(time.monotonic() - started, LessThan(1.0))
    platform.resume()
    client.read("key").unwrap()
    platform.pause()
    assert_that(platform.stop(timeout=2.0), Equals(-15))
    assert_that(platform.running, Equals(False))


def test_process_that_ends_at_once_is_an_error_with_its_output(group: ProcessGroup) -> None:
    """Without the text of the error a failing fixture cannot be understood."""
    with pytest.raises(ProcessError) as caught:
        group.start("fireflylink_standins.platform", "--no_such_flag")
    assert_that(str(caught.value), Contains("no_such_flag"))


def test_group_ends_every_process() -> None:
    """A process that a test leaves behind takes memory and ports from the next one."""
    with ProcessGroup() as group:
        started = [group.start("fireflylink_standins.platform", "--port=0") for _ in range(2)]
    assert_that([process.running for process in started], Equals([False, False]))
