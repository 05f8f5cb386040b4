"""Which daemons relay the store's changes, and what their followers make of them."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from fireflylink_core import ChangeFragment
from fireflylink_decisions.relay import (
    MAX_GAP_SECONDS,
    RELAY_SILENCE_SECONDS,
    RelayFollower,
    RelayRoles,
)


def roles_of_all(members: dict[str, str]) -> dict[str, RelayRoles]:
    return {name: RelayRoles.of(name, members, where) for name, where in members.items()}


def fleet(count: int, data_centres: int) -> dict[str, str]:
    return {f"d{number}": f"dc{number % data_centres}" for number in range(count)}


def fragment(after: int, revision: int, index: int = 0, count: int = 1, sender: str = "relay"):
    return ChangeFragment(sender, after, revision, index, count, f"{index}".encode(), 0)


def test_few_daemons_read_the_store_at_any_size():
    """Guards against calls to the store that grow with the number of daemons."""
    for count, data_centres, readers in ((9, 3, 3), (86, 3, 6), (195, 5, 10), (680, 11, 22)):
        roles = roles_of_all(fleet(count, data_centres))
        assert_that(sum(role.is_relay for role in roles.values()), Equals(readers))
        assert_that(sum(role.has_relay for role in roles.values()), Equals(count - readers))


def test_every_follower_is_served_by_each_relay_of_its_data_centre():
    """Guards against a daemon that waits for changes that nobody sends to it."""
    members = fleet(86, 3)
    roles = roles_of_all(members)
    for name, role in roles.items():
        senders = [other for other, theirs in roles.items() if name in theirs.followers]
        assert_that(len(senders), Equals(0 if role.is_relay else 2))
        assert_that({members[sender] for sender in senders} <= {members[name]}, Is(True))


def test_a_daemon_that_is_alone_or_not_listed_reads_by_itself():
    """Guards against a daemon that starts, or is alone, and learns nothing."""
    for members in ({}, {"d1": "dc0"}, {"d2": "dc0", "d3": "dc0"}):
        role = RelayRoles.of("d1", members, "dc0")
        assert_that((role.is_relay, role.has_relay), Equals((False, False)))


def test_a_lost_relay_is_followed_by_another():
    """Guards against a data centre without a relay after a loss."""
    members = fleet(9, 3)
    relay = next(name for name, role in roles_of_all(members).items() if role.is_relay)
    del members[relay]
    roles = roles_of_all(members)
    assert_that(sum(role.is_relay for role in roles.values()), Equals(3))


def test_fragments_of_a_batch_may_arrive_in_any_order_and_twice(clock):
    """Guards against changes that are lost or applied twice: datagrams have no order."""
    follower = RelayFollower()
    follower.set_revision(10)
    for index in (2, 0, 0):
        follower.record_fragment(fragment(10, 14, index, 3), clock.now())
        assert_that(follower.take_payload(), Is(None))
    follower.record_fragment(fragment(10, 14, 1, 3), clock.now())
    assert_that(follower.take_payload(), Equals(b"012"))
    follower.record_fragment(fragment(10, 14, 1, 3), clock.now())
    assert_that((follower.take_payload(), follower.revision), Equals((None, 14)))


def test_a_batch_waits_for_the_one_before_it(clock):
    """Guards against changes that are skipped, as a daemon would never learn of them."""
    follower = RelayFollower()
    follower.set_revision(10)
    follower.record_fragment(fragment(12, 14), clock.now())
    assert_that(follower.take_payload(), Is(None))
    follower.record_fragment(fragment(10, 12, sender="other"), clock.now())
    assert_that([follower.take_payload(), follower.take_payload()], Equals([b"0", b"0"]))
    assert_that((follower.revision, follower.behind_since), Equals((14, None)))


def test_an_older_batch_changes_nothing(clock):
    """Guards against going back: a relay that was frozen sends what it knew before."""
    follower = RelayFollower()
    follower.set_revision(20)
    follower.record_fragment(fragment(10, 14), clock.now())
    assert_that((follower.take_payload(), follower.revision), Equals((None, 20)))
    assert_that(follower.pending, HasLength(0))


def test_a_gap_is_read_from_the_store_soon(clock):
    """Guards against a daemon that stays behind after a lost datagram."""
    follower = RelayFollower()
    follower.set_revision(10)
    statement = ChangeFragment("relay", 15, 15, 0, 0, b"", 0)
    follower.record_fragment(statement, clock.now())
    assert_that(follower.has_gap(clock.now()), Is(False))
    clock.advance(MAX_GAP_SECONDS)
    assert_that(follower.has_gap(clock.now()), Is(True))
    follower.set_revision(15)
    assert_that(follower.has_gap(clock.now()), Is(False))


def test_silent_relays_are_noticed(clock):
    """Guards against an old configuration that stays in force: the relay is lost or cut off."""
    follower = RelayFollower()
    follower.record_fragment(fragment(1, 2), clock.now())
    assert_that(follower.hears_relay(clock.now()), Is(True))
    clock.advance(RELAY_SILENCE_SECONDS)
    assert_that(follower.hears_relay(clock.now()), Is(False))


def test_fragments_that_never_become_whole_use_bounded_memory(clock):
    """Guards against memory that grows with lost datagrams."""
    follower = RelayFollower()
    for number in range(500):
        follower.record_fragment(fragment(number, number + 1, 0, 2), clock.now())
    assert_that(len(follower.pending) <= 32, Is(True))
