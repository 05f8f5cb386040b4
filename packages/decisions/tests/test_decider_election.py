"""Election of the decider, and how long it may grant keys without the store."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_decisions.ownership import OUTAGE_GRACE_SECONDS, DeciderElection


def test_a_decider_may_not_grant_after_the_grace_time(clock):
    """Guards against grants of a decider whose process was paused while another one was elected."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    assert_that(election.may_grant(clock.now()), Is(True))
    clock.advance(OUTAGE_GRACE_SECONDS + 0.1)
    assert_that(election.may_grant(clock.now()), Is(False))


def test_a_decider_may_grant_without_the_store_during_the_grace_time(clock):
    """Guards against keys that lose their owners because the store is not reachable."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    clock.advance(5.0)
    election.on_confirmed(clock.now())
    clock.advance(OUTAGE_GRACE_SECONDS - 0.1)
    assert_that(election.may_grant(clock.now()), Is(True))


def test_a_later_decider_record_demotes_the_decider(clock):
    """Guards against two daemons that act as the decider after one has replaced the other."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    election.on_decider_record(9, True, clock.now())
    assert_that(election.is_decider, Is(False))
    assert_that(election.candidacy_at(0), Is(None))


def test_a_decider_record_from_before_the_election_is_ignored(clock):
    """Guards against the demotion of a valid decider by an old change that is received late."""
    election = DeciderElection()
    election.on_elected(7, clock.now())
    election.on_decider_record(6, False, clock.now())
    assert_that(election.is_decider, Is(True))


def test_daemons_of_different_ranks_run_for_election_at_different_times(clock):
    """Guards against a write by every daemon each time the decider leaves."""
    election = DeciderElection()
    election.on_decider_record(3, False, clock.now())
    candidacy_times = [election.candidacy_at(rank) for rank in range(4)]
    assert_that(candidacy_times, Equals(sorted(set(candidacy_times))))
