"""Server registrations, draining, evacuations and outages of the store."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import ServerIncarnation, ServerState
from fireflylink_decisions.servers import (
    REGISTRATION_GRACE_SECONDS,
    STALE_REGISTRATION_SECONDS,
    LeavingServers,
    ServerDirectory,
)


def test_a_server_whose_registration_ends_is_removed_at_once(server_factory, clock):
    """Guards against sending requests to a server that has left."""
    directory = ServerDirectory()
    directory.register(server_factory("s1"), clock.now())
    assert_that(directory.record_deletion("s1", clock.now()), Is(True))
    assert_that(directory.eligible_servers("holds"), Equals([]))


def test_a_server_whose_registration_expired_in_an_outage_stays_for_the_grace_time(
    server_factory, clock
):
    """Guards against dropping every server because their registrations expired during an outage of
    the store."""
    directory = ServerDirectory()
    directory.register(server_factory("s1"), clock.now())
    directory.mark_store_unreachable()
    clock.advance(9.0)
    directory.mark_store_reachable(clock.now())
    assert_that(directory.record_deletion("s1", clock.now()), Is(False))
    assert_that(len(directory.eligible_servers("holds")), Equals(1))
    clock.advance(REGISTRATION_GRACE_SECONDS - 0.1)
    assert_that(directory.expire(clock.now()), Equals([]))
    clock.advance(0.2)
    assert_that(directory.expire(clock.now()), Equals(["s1"]))


def test_a_server_that_registers_again_within_the_grace_time_is_kept(server_factory, clock):
    """Guards against dropping a running server that registers again after an outage."""
    directory = ServerDirectory()
    directory.register(server_factory("s1"), clock.now())
    directory.mark_store_unreachable()
    directory.mark_store_reachable(clock.now())
    directory.record_deletion("s1", clock.now())
    clock.advance(1.0)
    directory.register(server_factory("s1"), clock.now())
    clock.advance(REGISTRATION_GRACE_SECONDS)
    assert_that(directory.expire(clock.now()), Equals([]))


def test_a_draining_server_is_not_eligible_and_is_removed_even_in_an_outage(server_factory, clock):
    """Guards against sending requests to a server that was draining before an outage: its
    registration ended because it left, and did not expire."""
    directory = ServerDirectory()
    directory.register(server_factory("s1").replace(state=ServerState.DRAINING), clock.now())
    assert_that(directory.eligible_servers("holds"), Equals([]))
    directory.mark_store_unreachable()
    assert_that(directory.record_deletion("s1", clock.now()), Is(True))


def test_servers_of_an_evacuated_data_centre_are_not_eligible_until_its_end(server_factory, clock):
    """Guards against sending requests to servers of a data centre that operators evacuate."""
    directory = ServerDirectory()
    directory.register(server_factory("s1", "kingston"), clock.now())
    directory.register(server_factory("s2", "mandeville"), clock.now())
    directory.set_evacuated("kingston", True, clock.now())
    eligible = [entry.server.server_id for entry in directory.eligible_servers("holds")]
    assert_that(eligible, Equals(["s2"]))
    directory.set_evacuated("kingston", False, clock.now())
    assert_that(len(directory.eligible_servers("holds")), Equals(2))


def test_a_new_incarnation_under_the_same_id_is_another_server(server_factory, clock):
    """Guards against treating a restarted server as one that still holds keys."""
    directory = ServerDirectory()
    directory.register(server_factory("s1"), clock.now())
    clock.advance(5.0)
    entry = directory.register(server_factory("s1").replace(started_ms=2), clock.now())
    assert_that(entry.joined_at, Equals(clock.now()))


def test_a_server_without_registration_is_presumed_alive_only_if_most_have_none(
    server_factory, clock
):
    """Guards against sending requests to a server that has left: a daemon that was cut off from the
    store could presume that the registration has only expired."""
    directory = ServerDirectory()
    entries = [directory.register(server_factory(f"s{number}"), clock.now()) for number in range(3)]
    directory.mark_store_unreachable()
    directory.mark_store_reachable(clock.now())
    directory.record_deletion("s0", clock.now())
    assert_that(directory.is_presumed_alive(entries[0]), Is(False))
    directory.record_deletion("s1", clock.now())
    assert_that(directory.is_presumed_alive(entries[0]), Is(True))
    assert_that(directory.is_presumed_alive(entries[2]), Is(True))


def test_a_late_registration_of_an_older_incarnation_is_ignored(server_factory, clock):
    """Guards against two holders of a key: the keys of an ended incarnation would be granted to it
    once more, and its successor under the same id would take them."""
    directory = ServerDirectory()
    newer = server_factory("s1").replace(started_ms=2)
    directory.register(newer, clock.now())
    assert_that(directory.register(server_factory("s1"), clock.now()), Is(None))
    [entry] = directory.eligible_servers("holds")
    assert_that(entry.server, Equals(newer))


def test_a_late_registration_is_ignored_also_when_the_newer_incarnation_has_left(
    server_factory, clock
):
    """Guards against grants to an ended incarnation whose successor has left as well."""
    directory = ServerDirectory()
    directory.register(server_factory("s1").replace(started_ms=2), clock.now())
    directory.record_deletion("s1", clock.now())
    assert_that(directory.register(server_factory("s1"), clock.now()), Is(None))
    assert_that(directory.eligible_servers("holds"), Equals([]))


def test_a_registration_that_lasts_is_accepted_although_its_start_time_is_older(
    server_factory, clock
):
    """Guards against a server that is never used again because its clock was set back before it
    was restarted."""
    directory = ServerDirectory()
    directory.register(server_factory("s1").replace(started_ms=2), clock.now())
    directory.register(server_factory("s1"), clock.now())
    clock.advance(STALE_REGISTRATION_SECONDS - 0.1)
    assert_that(directory.take_lasting_registrations(clock.now()), Equals([]))
    clock.advance(0.2)
    [server] = directory.take_lasting_registrations(clock.now())
    assert_that(directory.register(server, clock.now()).server, Equals(server_factory("s1")))


def test_a_late_registration_that_expires_is_not_accepted_later(server_factory, clock):
    """Guards against a server that has ended and comes into use after its registration expired."""
    directory = ServerDirectory()
    directory.register(server_factory("s1").replace(started_ms=2), clock.now())
    directory.register(server_factory("s1"), clock.now())
    directory.record_listing(frozenset(), clock.now())
    clock.advance(STALE_REGISTRATION_SECONDS + 1.0)
    assert_that(directory.take_lasting_registrations(clock.now()), Equals([]))


def test_an_incarnation_that_drains_is_never_ready_again(server_factory, clock):
    """Guards against requests to a server that is leaving, when its older registration arrives late
    or comes back with a restored store."""
    directory = ServerDirectory()
    drain_at = clock.now()
    directory.register(server_factory("s1").replace(state=ServerState.DRAINING), drain_at)
    clock.advance(1.0)
    entry = directory.register(server_factory("s1"), clock.now())
    assert_that(directory.eligible_servers("holds"), Equals([]))
    assert_that(entry.draining_since, Equals(drain_at))
    moved = directory.register(server_factory("s1").replace(port=7), clock.now())
    assert_that(moved.draining_since, Equals(drain_at))


def test_an_incarnation_that_drained_and_left_is_not_ready_when_it_comes_back(
    server_factory, clock
):
    """Guards against requests to a server that has left, when the store is restored to a state
    before its departure."""
    directory = ServerDirectory()
    drain_at = clock.now()
    directory.register(server_factory("s1").replace(state=ServerState.DRAINING), drain_at)
    directory.record_deletion("s1", clock.now())
    clock.advance(1.0)
    assert_that(
        directory.register(server_factory("s1"), clock.now()).draining_since, Equals(drain_at)
    )
    directory.register(server_factory("s1").replace(started_ms=2), clock.now())
    assert_that(len(directory.eligible_servers("holds")), Equals(1))


def test_an_announcement_to_leave_holds_for_its_incarnation_and_earlier_ones(server_factory, clock):
    """Guards against a registration, as a restored store may have it, that takes an announcement of
    its server back; the next incarnation is not bound by it."""
    leaving = LeavingServers()
    announced = server_factory("s1").replace(started_ms=5)
    assert_that(leaving.record(announced.incarnation, 1.0), Is(True))
    assert_that(leaving.record(announced.incarnation, 2.0), Is(False))
    states = [
        leaving.as_announced(announced.replace(started_ms=started_ms)).state
        for started_ms in (4, 5, 6)
    ]
    assert_that(states, Equals([ServerState.DRAINING, ServerState.DRAINING, ServerState.READY]))
    assert_that(leaving.announced_at(ServerIncarnation("s1", 6)), Is(None))
    assert_that(leaving.announced_at(announced.incarnation), Equals(1.0))


def test_leaving_marks_only_the_incarnation_that_announced_it(server_factory, clock):
    """Guards against a new incarnation that gets no keys because the earlier one has left."""
    directory = ServerDirectory()
    directory.register(server_factory("s1"), clock.now())
    directory.mark_leaving(ServerIncarnation("s1", 0), clock.now())
    assert_that(len(directory.eligible_servers("holds")), Equals(1))
    directory.mark_leaving(ServerIncarnation("s1", 1), 0.5)
    assert_that(directory.eligible_servers("holds"), Equals([]))
    assert_that(directory.find("s1").draining_since, Equals(0.5))
