"""Which daemons relay the store's changes, and what their followers make of them."""

import collections
import math

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from fireflylink_core import ChangeFragment
from fireflylink_decisions.relay import (
    MAX_CONTACT_AGE_SECONDS,
    MAX_GAP_SECONDS,
    RelayFollower,
    RelayRoles,
)


def roles_of_all(members: dict[str, str]) -> dict[str, RelayRoles]:
    return {name: RelayRoles.of(name, members) for name in members}


def fleet(count: int, data_centres: int) -> dict[str, str]:
    return {f"d{number}": f"dc{number % data_centres}" for number in range(count)}


def fragment(after: int, revision: int, index: int = 0, count: int = 1, sender: str = "relay"):
    return ChangeFragment(sender, after, revision, index, count, f"{index}".encode(), 0, 0)


def statement(revision: int, age_ms: int = 0) -> ChangeFragment:
    return ChangeFragment("relay", revision, revision, 0, 0, b"", 0, age_ms)


def test_few_daemons_read_the_store_at_any_size():
    """Guards against calls to the store that grow with the number of daemons."""
    for count, data_centres, readers in ((9, 3, 3), (86, 3, 1), (195, 5, 1), (680, 11, 1)):
        roles = roles_of_all(fleet(count, data_centres))
        assert_that(sum(not role.has_relay for role in roles.values()), Equals(readers))


@pytest.mark.parametrize(("count", "data_centres"), [(9, 3), (21, 5), (86, 3), (195, 5), (680, 11)])
def test_changes_reach_every_daemon_in_two_steps(count, data_centres):
    """Guards against a daemon that waits for changes that nobody sends to it."""
    roles = roles_of_all(fleet(count, data_centres))
    readers = {name for name, role in roles.items() if not role.has_relay}
    for receivers in ("followers", "batch_receivers"):
        first = {other for name in readers for other in getattr(roles[name], receivers)}
        second = {other for name in first for other in getattr(roles[name], receivers)}
        assert_that(readers | first | second, Equals(set(roles)))


@pytest.mark.parametrize(("count", "data_centres"), [(9, 3), (86, 3), (195, 5), (680, 11)])
def test_each_daemon_gets_the_changes_from_one_other(count, data_centres):
    """Guards against a link that carries each change more than once: the links of some instances
    take as long as a second for a table to all daemons of a data centre."""
    roles = roles_of_all(fleet(count, data_centres))
    receivers = collections.Counter(
        name for role in roles.values() for name in role.batch_receivers
    )
    assert_that(set(receivers.values()), Equals({1}))
    assert_that(max(len(role.batch_receivers) for role in roles.values()) <= 30, Is(True))


def test_a_daemon_that_is_alone_or_not_listed_reads_by_itself():
    """Guards against a daemon that starts, or is alone, and learns nothing."""
    for members in ({}, {"d1": "dc0"}, {"d2": "dc0", "d3": "dc0"}):
        role = RelayRoles.of("d1", members)
        assert_that((role.followers, role.has_relay), Equals(((), False)))


def test_a_lost_relay_is_followed_by_another():
    """Guards against a data centre without a relay after a loss."""
    members = fleet(9, 3)
    relay = next(name for name, role in roles_of_all(members).items() if role.followers)
    del members[relay]
    roles = roles_of_all(members)
    assert_that(sum(bool(role.followers) for role in roles.values()), Equals(3))


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
    follower.record_fragment(statement(15), clock.now())
    assert_that(follower.has_gap(clock.now()), Is(False))
    clock.advance(MAX_GAP_SECONDS)
    assert_that(follower.has_gap(clock.now()), Is(True))
    follower.set_revision(15)
    assert_that(follower.has_gap(clock.now()), Is(False))


def test_silent_relays_are_noticed(clock):
    """Guards against an old configuration that stays in force: the relay is lost or cut off."""
    follower = RelayFollower()
    follower.set_revision(2)
    follower.record_fragment(statement(2, age_ms=300), clock.now())
    assert_that(
        abs(follower.outdated_at() - clock.now() - (MAX_CONTACT_AGE_SECONDS - 0.3)), LessThan(1e-9)
    )


def test_what_a_daemon_knows_is_not_confirmed_by_changes_that_it_lacks(clock):
    """Guards against an old configuration in force at a daemon that hears its relay, but has not
    received the changes that the relay states."""
    follower = RelayFollower()
    follower.set_revision(10)
    follower.record_fragment(statement(10), clock.now())
    confirmed_until = follower.outdated_at()
    clock.advance(0.2)
    follower.record_fragment(statement(12), clock.now())
    assert_that(follower.outdated_at(), Equals(confirmed_until))
    follower.record_fragment(fragment(10, 12), clock.now())
    follower.take_payload()
    assert_that(follower.outdated_at(), Equals(clock.now() + MAX_CONTACT_AGE_SECONDS))


def test_daemons_that_hear_each_other_do_not_keep_old_knowledge_alive(clock):
    """Guards against an old configuration that stays in force: two daemons with different lists of
    members take each other for relays, and neither hears the store any more."""
    first, second = RelayFollower(), RelayFollower()
    for follower in (first, second):
        follower.set_revision(10)
    first.record_fragment(statement(10), clock.now())
    outdated_at = first.outdated_at()
    for _ in range(20):
        for sender, receiver in ((first, second), (second, first)):
            clock.advance(0.1)
            age_ms = math.ceil((clock.now() - sender.contact_at) * 1000)
            receiver.record_fragment(statement(10, age_ms), clock.now())
    assert_that(max(first.outdated_at(), second.outdated_at()) <= outdated_at + 0.001, Is(True))


def test_fragments_that_never_become_whole_use_bounded_memory(clock):
    """Guards against memory that grows with lost datagrams."""
    follower = RelayFollower()
    for number in range(500):
        follower.record_fragment(fragment(number, number + 1, 0, 2), clock.now())
    assert_that(len(follower.pending) <= 32, Is(True))
