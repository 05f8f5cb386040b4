"""Shares of limits, cold servers and the retry budget."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_decisions.limits import (
    ColdLimit,
    ColdServerLimiter,
    FleetPosition,
    RetryBudget,
    RetryBudgetLimits,
    SlidingWindowCounter,
)


def fleet(members: int) -> list[FleetPosition]:
    names = tuple(f"d{number:03}" for number in range(members))
    return [FleetPosition(name, names) for name in names]


@pytest.mark.parametrize("members", [1, 2, 9, 12, 30, 300])
@pytest.mark.parametrize("total", [0.5, 9.45, 14.3, 110.0])
def test_shares_of_all_daemons_stay_within_the_total(members, total):
    """Guards against a cold server that gets more than it bears from all daemons together."""
    for subject in ("i-1", "i-2", "i-3"):
        shares = [position.share(total, subject) for position in fleet(members)]
        assert_that(sum(shares), Equals(int(total)))


@pytest.mark.parametrize("joins", [True, False])
def test_a_changed_membership_changes_one_other_share_at_most(joins):
    """Guards against FAILBACK: every daemon got another share of a cold server at a join, and the
    one second held the requests of two divisions."""
    for subject in (f"i-{number}" for number in range(50)):
        before = {position.instance: position.share(9.49, subject) for position in fleet(11)}
        after = {position.instance: position.share(9.49, subject) for position in fleet(12)}
        if not joins:
            before, after = after, before
        most = sum(max(before.get(name, 0), after.get(name, 0)) for name in {**before, **after})
        assert_that(most, LessThan(11))


def test_the_rest_of_a_share_goes_to_other_daemons_for_other_servers():
    """Guards against one daemon that may warm no server at all while another warms every one."""
    position = fleet(12)[11]
    given = {position.share(9.45, f"i-{number}") for number in range(40)}
    assert_that(given, Equals({0, 1}))


def test_a_daemon_that_is_not_listed_takes_the_share_of_a_large_fleet():
    """Guards against a new daemon that spends shares which the others use already."""
    new = FleetPosition("new", ("a", "b"))
    assert_that((new.share(14.3, "i-1"), new.rank), Equals((0, 2)))
    assert_that(new.fraction(58.0), LessThan(3.0))
    assert_that(FleetPosition("b", ("a", "b")).rank, Equals(1))


def cold_arrivals(members: int, demand_per_daemon: float, clock) -> list[float]:
    """Returns when requests of all daemons reach one cold server."""
    limit = ColdLimit(3.7, 1.5, 5.0)
    gates = [ColdServerLimiter() for _ in range(members)]
    positions = fleet(members)
    for limiter in gates:
        limiter.mark_cold(clock.now() + 6.0)
    arrivals = []
    for _ in range(500):
        for rank, (limiter, position) in enumerate(zip(gates, positions, strict=True)):
            now = clock.now() + 0.001 * rank
            if limiter.available_at(now, limit, position, "i-1", False) <= now:
                limiter.record_sent(now)
                arrivals.append(now)
        clock.advance(1.0 / demand_per_daemon)
    return sorted(arrivals)


@pytest.mark.parametrize("members", [1, 4, 9, 12, 40])
def test_a_cold_server_is_within_its_bound_in_every_sliding_second(members, clock):
    """Guards against FAILBACK: 3.7 x 1.5 + 5 requests in a second, over all daemons."""
    arrivals = cold_arrivals(members, 100.0, clock)
    counter = SlidingWindowCounter(1.0)
    most = 0
    for arrival in arrivals:
        counter.add(arrival)
        most = max(most, counter.count(arrival))
    assert_that(most, LessThan(10.56))
    assert_that(len(arrivals), GreaterThan(10))


def test_the_gate_counts_requests_from_before_the_server_turned_cold(clock):
    """Guards against a second in which the requests before the news are forgotten."""
    limiter = ColdServerLimiter()
    limit = ColdLimit(7.3, 1.5, 5.0)
    position = fleet(9)[0]
    for _ in range(5):
        limiter.record_sent(clock.now())
    limiter.mark_cold(clock.now() + 3.0)
    assert_that(
        limiter.available_at(clock.now(), limit, position, "i-1", False), GreaterThan(clock.now())
    )


def test_a_daemon_that_cannot_know_keeps_to_its_share_of_a_cold_server(clock):
    """Guards against FAILBACK: a data centre was taken back cold while the store was away."""
    limiter = ColdServerLimiter()
    limit = ColdLimit(3.7, 1.5, 5.0)
    position = fleet(12)[0]
    limiter.record_sent(clock.now())
    assert_that(
        limiter.available_at(clock.now(), limit, position, "i-1", False), Equals(clock.now())
    )
    opens = limiter.available_at(clock.now(), limit, position, "i-1", True)
    assert_that(opens, GreaterThan(clock.now() + 1.0))


def test_repeats_stay_within_the_budget_of_the_fleet(clock):
    """Guards against BUDGET: 0.2 of the requests and 58 more in any 10 s, over all daemons."""
    limits = RetryBudgetLimits(0.2, 58.0, 10.0)
    budgets = [RetryBudget(limits) for _ in range(9)]
    positions = fleet(9)
    repeats = requests = 0
    for step in range(900):
        rank = step % 9
        now = clock.now()
        budgets[rank].record_request(now)
        requests += 1
        while budgets[rank].allows_retry(now, positions[rank]):
            budgets[rank].record_retry(now)
            repeats += 1
        clock.advance(0.01)
    assert_that(repeats, LessThan(0.2 * requests + 58))
    assert_that(repeats, GreaterThan(0.1 * requests))
