"""Registrations, drains, evacuations and outages of the store."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import ServerState
from fireflylink_decisions.servers import REGISTRATION_GRACE_SECONDS, ServerDirectory


def test_a_registration_that_ends_is_gone_at_once(servers, clock):
    """Guards against DRAIN: requests for a server that has left."""
    directory = ServerDirectory()
    directory.register(servers("s1"), clock.now())
    assert_that(directory.remove("s1", clock.now()), Is(True))
    assert_that(directory.eligible_servers("holds"), Equals([]))


def test_a_registration_that_lapsed_in_an_outage_stays_for_the_grace_time(servers, clock):
    """Guards against giving up every server because the store forgot them while it was down."""
    directory = ServerDirectory()
    directory.register(servers("s1"), clock.now())
    directory.mark_store_unreachable()
    clock.advance(9.0)
    directory.mark_store_reachable(clock.now())
    assert_that(directory.remove("s1", clock.now()), Is(False))
    assert_that(len(directory.eligible_servers("holds")), Equals(1))
    clock.advance(REGISTRATION_GRACE_SECONDS - 0.1)
    assert_that(directory.expire(clock.now()), Equals([]))
    clock.advance(0.2)
    assert_that(directory.expire(clock.now()), Equals(["s1"]))


def test_a_registration_that_comes_back_within_the_grace_time_is_kept(servers, clock):
    """Guards against losing a live server that registers again after an outage."""
    directory = ServerDirectory()
    directory.register(servers("s1"), clock.now())
    directory.mark_store_unreachable()
    directory.mark_store_reachable(clock.now())
    directory.remove("s1", clock.now())
    clock.advance(1.0)
    directory.register(servers("s1"), clock.now())
    clock.advance(REGISTRATION_GRACE_SECONDS)
    assert_that(directory.expire(clock.now()), Equals([]))


def test_a_draining_server_gets_no_work_and_is_gone_although_the_store_was_away(servers, clock):
    """Guards against work for a server that had announced its leaving before an outage."""
    directory = ServerDirectory()
    directory.register(servers("s1").replace(state=ServerState.DRAINING), clock.now())
    assert_that(directory.eligible_servers("holds"), Equals([]))
    directory.mark_store_unreachable()
    assert_that(directory.remove("s1", clock.now()), Is(True))


def test_an_evacuated_data_centre_gets_no_work_until_it_is_taken_back(servers, clock):
    """Guards against EVAC: requests for servers of a data centre that operators took out."""
    directory = ServerDirectory()
    directory.register(servers("s1", "kingston"), clock.now())
    directory.register(servers("s2", "mandeville"), clock.now())
    directory.set_evacuated("kingston", True, clock.now())
    usable = [entry.server.server_id for entry in directory.eligible_servers("holds")]
    assert_that(usable, Equals(["s2"]))
    directory.set_evacuated("kingston", False, clock.now())
    assert_that(len(directory.eligible_servers("holds")), Equals(2))


def test_a_new_life_under_the_same_id_is_another_server(servers, clock):
    """Guards against taking a restarted server for one that still holds keys."""
    directory = ServerDirectory()
    directory.register(servers("s1"), clock.now())
    clock.advance(5.0)
    entry = directory.register(servers("s1").replace(started_ms=2), clock.now())
    assert_that(entry.joined_at, Equals(clock.now()))


def test_one_missing_server_among_registered_ones_is_not_believed_to_live(servers, clock):
    """Guards against DRAIN: a daemon that was cut off takes a server that left for lapsed."""
    directory = ServerDirectory()
    entries = [directory.register(servers(f"s{number}"), clock.now()) for number in range(3)]
    directory.mark_store_unreachable()
    directory.mark_store_reachable(clock.now())
    directory.remove("s0", clock.now())
    assert_that(directory.is_presumed_alive(entries[0]), Is(False))
    directory.remove("s1", clock.now())
    assert_that(directory.is_presumed_alive(entries[0]), Is(True))
    assert_that(directory.is_presumed_alive(entries[2]), Is(True))
