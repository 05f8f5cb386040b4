"""Registrations and evacuations that are late, or come from a store that was restored."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import BackendServer, CallerLimits, Configuration, ServerState, Service
from fireflylink_daemon._messages import UpdatesRead
from fireflylink_store import ConfigurationUpdate, ServerUpdate

CONFIGURATION = Configuration(7, (), (Service("a", 110, 0.0, 1000.0, keyed=True),), CallerLimits())


def server(name: str, started_ms: int = 1, **changes: object) -> BackendServer:
    found = BackendServer(name, "a", "127.0.0.1", 80, "kingston", 4, started_ms=started_ms)
    return found.replace(**changes)


class View:
    """The view task of a daemon, with the configuration and the registrations that it is given."""

    def __init__(self, daemon) -> None:
        self.daemon = daemon
        self.directory = daemon.routing_state.directory
        self.read(ConfigurationUpdate(CONFIGURATION, 1))

    def read(self, *updates, **flags) -> None:
        self.daemon.last_revision += 1
        message = UpdatesRead(updates, self.daemon.last_revision, flags.pop("is_snapshot", False))
        self.daemon.view_task.receive(message)
        self.daemon.deliver()

    def register(self, *servers: BackendServer, **flags) -> None:
        self.read(*(ServerUpdate(found, self.daemon.last_revision) for found in servers), **flags)

    def used_servers(self) -> list[str]:
        """Returns the incarnations to which requests are sent, as text."""
        return [str(found) for found in self.daemon.routing_state.dispatcher.pools["a"].trackers]


@pytest.fixture
def view(make_daemon) -> View:
    return View(make_daemon())


def test_a_late_registration_of_an_ended_incarnation_gets_no_requests(view):
    """Guards against requests and grants to an incarnation that has ended, after a cut is over."""
    view.register(server("i-1", started_ms=2))
    view.register(server("i-1", started_ms=1))
    assert_that(view.used_servers(), Equals(["i-1@2"]))
    assert_that([str(found) for found in view.daemon.routing_state.trackers], Equals(["i-1@2"]))


def test_an_older_registration_that_lasts_is_used_at_last(view, clock):
    """Guards against a server that stays unused because it was restarted with a slow clock."""
    view.register(server("i-1", started_ms=2))
    view.register(server("i-1", started_ms=1))
    clock.advance(31.0)
    view.daemon.view_task.on_wake()
    assert_that(view.used_servers(), Equals(["i-1@1"]))


def test_a_server_that_drains_gets_no_requests_when_an_older_registration_comes_back(view, clock):
    """Guards against requests to a server that has told this daemon that it is leaving."""
    view.register(server("i-1", state=ServerState.DRAINING))
    clock.advance(1.5)
    view.register(server("i-1"))
    assert_that(view.used_servers(), Equals([]))
