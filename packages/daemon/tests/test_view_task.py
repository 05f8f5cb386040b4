"""Registrations and evacuations that are late, or come from a store that was restored."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import BackendServer, CallerLimits, Configuration, ServerState, Service
from fireflylink_daemon._messages import StoreReadFailed, StoreReadSucceeded, UpdatesRead
from fireflylink_decisions.servers import REGISTRATION_GRACE_SECONDS, REGISTRATION_LAPSE_SECONDS
from fireflylink_store import ConfigurationUpdate, EvacuationUpdate, ServerRemoved, ServerUpdate

RESTORED = {"is_snapshot": True, "is_restored": True}
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

    def read(self, *updates, is_snapshot: bool = False, is_restored: bool = False) -> None:
        self.daemon.last_revision += 1
        message = UpdatesRead(updates, self.daemon.last_revision, is_snapshot, is_restored)
        self.daemon.view_task.receive(message)
        self.daemon.deliver()

    def register(self, *servers: BackendServer, **flags) -> None:
        self.read(*(ServerUpdate(found, self.daemon.last_revision) for found in servers), **flags)

    def unregister(self, name: str) -> None:
        self.read(ServerRemoved(name, self.daemon.last_revision))

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


@pytest.fixture
def restored_view(view) -> View:
    """A view of a restored store that still has the registration of i-1, which has left."""
    view.register(server("i-1"), server("i-2"))
    view.unregister("i-1")
    view.register(server("i-1"), server("i-2"), **RESTORED)
    return view


def test_a_server_that_had_left_gets_nothing_when_the_store_is_restored(restored_view):
    """Guards against requests and keys for a server that left without draining."""
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))
    [candidate] = restored_view.directory.eligible_servers("a")
    assert_that(candidate.server.server_id, Equals("i-2"))
    restored_view.register(server("i-1"), server("i-2"), is_snapshot=True)
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))


def test_a_server_that_writes_its_registration_after_a_restore_is_used_at_once(restored_view):
    """Guards against leaving out a server that had lapsed although it runs."""
    restored_view.register(server("i-1"))
    assert_that(sorted(restored_view.used_servers()), Equals(["i-1@1", "i-2@1"]))


def test_a_restored_registration_is_used_when_it_lasts_longer_than_that_of_an_ended_server(
    restored_view, clock
):
    """Guards against leaving out for good a server whose registration needs no new write."""
    clock.advance(REGISTRATION_LAPSE_SECONDS - 0.1)
    restored_view.daemon.view_task.on_wake()
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))
    clock.advance(0.2)
    restored_view.daemon.view_task.on_wake()
    assert_that(sorted(restored_view.used_servers()), Equals(["i-1@1", "i-2@1"]))


def test_a_restored_registration_that_expires_is_never_used(restored_view, clock):
    """Guards against the use of an ended server after its registration has expired again."""
    restored_view.unregister("i-1")
    clock.advance(REGISTRATION_LAPSE_SECONDS + 1.0)
    restored_view.daemon.view_task.on_wake()
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))


def test_a_server_that_returned_before_a_restore_is_used_after_it(view):
    """Guards against leaving out a running server because it had lapsed some time before."""
    view.register(server("i-1"))
    view.unregister("i-1")
    view.register(server("i-1"))
    view.register(server("i-1"), **RESTORED)
    assert_that(view.used_servers(), Equals(["i-1@1"]))


def test_a_second_restore_starts_the_wait_anew(restored_view, clock):
    """Guards against the use of an ended server whose registration was restored twice."""
    clock.advance(REGISTRATION_LAPSE_SECONDS - 0.1)
    restored_view.register(server("i-1"), server("i-2"), **RESTORED)
    clock.advance(3.0)
    restored_view.daemon.view_task.on_wake()
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))


def test_a_restored_registration_is_not_used_before_it_could_expire_after_an_outage(
    restored_view, clock
):
    """Guards against the use of an ended server whose registration cannot expire in an outage."""
    view_task = restored_view.daemon.view_task
    view_task.receive(StoreReadFailed("down"))
    clock.advance(20.0)
    view_task.receive(StoreReadSucceeded())
    clock.advance(3.0)
    view_task.on_wake()
    assert_that(restored_view.used_servers(), Equals(["i-2@1"]))


@pytest.fixture
def evacuated_view(view) -> View:
    """A view of a restored store that lacks the evacuation that was requested before."""
    view.register(server("i-1"))
    view.read(EvacuationUpdate("kingston", True, 3))
    view.register(server("i-1"), **RESTORED)
    return view


def test_an_evacuation_that_a_restored_store_lacks_holds_until_the_grace_time_ends(
    evacuated_view, clock
):
    """Guards against requests to an evacuated data centre before the operators' request has been
    written to the restored store again."""
    clock.advance(REGISTRATION_GRACE_SECONDS - 0.1)
    evacuated_view.daemon.view_task.on_wake()
    evacuated_view.register(server("i-1"), is_snapshot=True)
    assert_that(evacuated_view.directory.eligible_servers("a"), Equals([]))
    clock.advance(0.2)
    evacuated_view.daemon.view_task.on_wake()
    assert_that(len(evacuated_view.directory.eligible_servers("a")), Equals(1))


def test_an_evacuation_that_is_written_again_after_a_restore_stays(evacuated_view, clock):
    """Guards against an evacuation that ends by itself although operators still request it."""
    evacuated_view.read(EvacuationUpdate("kingston", True, 5))
    clock.advance(REGISTRATION_GRACE_SECONDS + 1.0)
    evacuated_view.daemon.view_task.on_wake()
    assert_that(evacuated_view.directory.eligible_servers("a"), Equals([]))


def test_an_evacuation_that_is_taken_back_after_a_restore_ends_at_once(evacuated_view):
    """Guards against a data centre that stays unused after its evacuation was taken back."""
    evacuated_view.read(EvacuationUpdate("kingston", False, 5))
    assert_that(len(evacuated_view.directory.eligible_servers("a")), Equals(1))


def test_an_evacuation_that_a_store_without_its_history_lacks_ends_at_once(view):
    """Guards against a data centre that stays unused because its end was missed."""
    view.register(server("i-1"))
    view.read(EvacuationUpdate("kingston", True, 3))
    view.register(server("i-1"), is_snapshot=True)
    assert_that(len(view.directory.eligible_servers("a")), Equals(1))


def test_a_server_that_a_restored_store_lacks_gets_a_grace_time(view, clock):
    """Guards against dropping running servers that registered after the copy was made."""
    view.register(server("i-1"), server("i-2"))
    view.read(**RESTORED)
    assert_that(sorted(view.used_servers()), Equals(["i-1@1", "i-2@1"]))
    clock.advance(REGISTRATION_GRACE_SECONDS + 0.1)
    view.daemon.view_task.on_wake()
    assert_that(view.used_servers(), Equals([]))


def test_a_server_that_a_restored_store_lacks_is_used_though_it_has_the_others(view):
    """Guards against a server without requests that registered after the copy was made."""
    view.register(server("i-1"), server("i-2"), server("i-3"))
    view.register(server("i-2"), server("i-3"), **RESTORED)
    assert_that(sorted(view.used_servers()), Equals(["i-1@1", "i-2@1", "i-3@1"]))


def test_a_warm_server_is_not_cold_again_because_an_old_copy_says_so(view, clock):
    """Guards against rejected requests: the copy is from the time when the server was cold."""
    view.register(server("i-1", cold_ms=4000))
    clock.advance(4.1)
    view.register(server("i-1", cold_ms=0))
    view.register(server("i-1", cold_ms=4000), **RESTORED)
    [tracker] = view.daemon.routing_state.trackers.values()
    assert_that(tracker.cold_limiter.is_cold(clock.now()), Equals(False))
