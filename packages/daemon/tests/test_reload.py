"""What a running daemon takes over from a changed settings file."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from fireflylink_daemon import read_settings
from fireflylink_daemon._daemon import Daemon
from fireflylink_protocol import MemberRecord
from fireflylink_standins import DAEMON_BOUNDS


@pytest.fixture
def daemon(settings_file, clock) -> Daemon:
    """A daemon that has not been started: it has no sockets and no greenlets."""
    path = settings_file()
    return Daemon(read_settings(path).unwrap(), path, clock)


def test_a_reload_with_another_instance_name_leaves_the_daemon_listed(daemon, settings_file):
    """Guards against a daemon without a share of limits: it looks for its new name among the
    members, where its record has the name with which it was started."""
    settings_file(instance="front-9", data_centre="mandeville")
    daemon.reload()
    record = MemberRecord("front-0", 1, "kingston", "127.0.0.1", 7540)
    daemon.routing_state.set_members({"front-0": record})
    assert_that(daemon.routing_state.fleet_position.whole_share(14.0, "i-1"), GreaterThan(0))
    assert_that(daemon.routing_state.settings.data_centre, Equals("kingston"))


def test_a_reload_changes_the_retry_budgets_of_services_in_use(daemon, settings_file, clock):
    """Guards against more retries than operators allow, for as long as the daemon runs."""
    record = MemberRecord("front-0", 1, "kingston", "127.0.0.1", 7540)
    daemon.routing_state.set_members({"front-0": record})
    budget = daemon.routing_state.retry_budget("a")
    position = daemon.routing_state.fleet_position
    assert_that(budget.allows_retry(clock.now(), position), Equals(True))
    settings_file(bounds={**DAEMON_BOUNDS, "retry_extra": 0, "retry_window_seconds": 60})
    daemon.reload()
    assert_that(budget.allows_retry(clock.now(), position), Equals(False))
    assert_that(budget.retries.window_seconds, Equals(60.0))
