"""Who decides, and for how long without the store."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_decisions.ownership import OUTAGE_GRACE_SECONDS, DeciderElection


def test_a_decider_that_wakes_after_a_suspend_sends_nothing(clock):
    """Guards against grants of a decider whose place another one has taken."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    assert_that(election.may_grant(clock.now()), Is(True))
    clock.advance(OUTAGE_GRACE_SECONDS + 0.1)
    assert_that(election.may_grant(clock.now()), Is(False))


def test_a_decider_goes_on_without_the_store_for_a_time(clock):
    """Guards against keys that lose their owners because the store is away."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    clock.advance(5.0)
    election.on_confirmed(clock.now())
    clock.advance(OUTAGE_GRACE_SECONDS - 0.1)
    assert_that(election.may_grant(clock.now()), Is(True))


def test_another_daemons_record_ends_the_decidership(clock):
    """Guards against two daemons that both take themselves for the decider."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    election.on_decider_record(9, True, clock.now())
    assert_that(election.is_decider, Is(False))
    assert_that(election.candidacy_at(0), Is(None))


def test_a_record_from_before_the_election_changes_nothing(clock):
    """Guards against an old change, read late, that ends a valid decidership."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    election.on_decider_record(6, False, clock.now())
    assert_that(election.is_decider, Is(True))


def test_candidates_stand_one_after_the_other(clock):
    """Guards against a write of every daemon each time the decider leaves."""
    election = DeciderElection()
    election.on_decider_record(3, False, clock.now())
    moments = [election.candidacy_at(rank) for rank in range(4)]
    assert_that(moments, Equals(sorted(set(moments))))
