"""Guards what the HTTP client tells its caller when the platform misbehaves."""

import time

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance, LessThan

from fireflylink_core import Member, MemberState
from fireflylink_platform_client import (
    InstanceListClient,
    KeyValueClient,
    OutcomeUnknownError,
    PlatformUnavailable,
)
from fireflylink_standins import PlatformMode, PlatformStandin

INSTANCE = {
    "instance_id": "entry-1",
    "data_centre": "kingston",
    "host": "127.0.0.1",
    "control_port": 1,
    "forward_port": 2,
    "operator_port": 3,
    "caller_port": 4,
    "state": "leaving",
}


def test_lost_reply_is_unknown_and_the_write_is_sent_once(
    platform: PlatformStandin, client: KeyValueClient
) -> None:
    """A client that sends the write again would be told of a conflict with its own write."""
    client.read("key")
    platform.faults.lose_replies = 1
    error = client.write("key", b"value", 0).failure()
    assert_that(error, IsInstance(OutcomeUnknownError))
    assert_that(platform.counts.calls["write"], Equals(1))
    assert_that(client.read("key").unwrap().value, Equals(b"value"))


def test_refusal_is_told_apart_from_an_unknown_outcome(
    platform: PlatformStandin, client: KeyValueClient
) -> None:
    """Reading back after a certain refusal would cost a call in the middle of an outage."""
    platform.set_mode(PlatformMode.DOWN)
    assert_that(client.write("key", b"value", 0).failure(), IsInstance(PlatformUnavailable))
    platform.set_mode(PlatformMode.OK)
    assert_that(client.read("key").unwrap(), Equals(None))


def test_refused_connection_is_unavailable(platform: PlatformStandin) -> None:
    """A write that never left must not be reported as possibly in effect."""
    platform.stop()
    client = KeyValueClient("127.0.0.1", platform.port)
    assert_that(client.write("key", b"value", 0).failure(), IsInstance(PlatformUnavailable))


@pytest.mark.parametrize("mode", [PlatformMode.SILENT, PlatformMode.SLOW])
def test_calls_end_at_their_deadline(
    platform: PlatformStandin, client: KeyValueClient, mode: PlatformMode
) -> None:
    """A call without a bound would block the task that made it for the whole outage."""
    platform.faults.delay_ms = 2000
    platform.set_mode(mode)
    started = time.monotonic()
    assert_that(client.read("key").failure(), IsInstance(PlatformUnavailable))
    deadline = client.clock.now() + 0.2
    unknown = client.write("key", b"value", 0, deadline=deadline).failure()
    assert_that(unknown, IsInstance(OutcomeUnknownError))
    assert_that(time.monotonic() - started, LessThan(1.5))


def test_closed_idle_connection_is_not_used_for_a_write(
    platform: PlatformStandin, client: KeyValueClient
) -> None:
    """After a restart of the platform, the first write would have an unknown outcome."""
    client.read("key")
    platform.server.reset_connections()
    gevent.sleep(0.05)
    assert_that(client.write("key", b"value", 0).unwrap(), Equals(1))


def test_every_socket_has_no_delay(platform: PlatformStandin, client: KeyValueClient) -> None:
    """Nagle's algorithm delays a small write by up to 40 ms."""
    client.read("key")
    (connection,) = client.connections.idle
    assert_that(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), Equals(1))


def test_key_with_special_characters_survives(client: KeyValueClient) -> None:
    """A key that is not quoted would be read from another path than it was written to."""
    key = "config/history/a b?é%2F&"
    client.write(key, b"value", 0).unwrap()
    assert_that(client.read(key).unwrap().key, Equals(key))
    assert_that(client.read_prefix("config/history/a b?").unwrap().entries, HasLength(1))


def test_instance_list_lags(platform: PlatformStandin, instances: InstanceListClient) -> None:
    """Membership decisions are tested against a list that is late, as the platform's is."""
    platform.instances.put(INSTANCE, lag=0.2)
    assert_that(instances.read().unwrap(), Equals(()))
    gevent.sleep(0.25)
    expected = Member("entry-1", "kingston", "127.0.0.1", 1, 2, MemberState.LEAVING, 3)
    assert_that(instances.read().unwrap(), Contains(expected))


def test_instance_list_outage_is_a_failure(
    platform: PlatformStandin, instances: InstanceListClient
) -> None:
    """An outage that looked like an empty list would make every peer seem gone."""
    platform.set_mode(PlatformMode.DOWN)
    assert_that(instances.read().failure(), IsInstance(PlatformUnavailable))
