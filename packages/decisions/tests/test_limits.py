"""Shares of limits, rate limiting of cold servers, and the retry budget."""

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
    """Returns the position of each daemon among that many members."""
    names = tuple(f"d{number:03}" for number in range(members))
    return [FleetPosition(name, names) for name in names]


@pytest.mark.parametrize("members", [1, 2, 9, 12, 30, 300])
@pytest.mark.parametrize("total", [0.5, 9.45, 14.3, 110.0])
def test_shares_of_all_daemons_stay_within_the_total(members, total):
    """Guards against shares whose sum exceeds what a cold server may get from all daemons."""
    for server_id in ("i-1", "i-2", "i-3"):
        shares = [position.whole_share(total, server_id) for position in fleet(members)]
        assert_that(sum(shares), Equals(int(total)))


@pytest.mark.parametrize("joins", [True, False])
def test_a_membership_change_alters_at_most_one_other_share(joins):
    """Guards against overloading a cold server when a daemon joins or leaves: if every share
    changed, one second could hold the requests of the old and of the new shares."""
    for server_id in (f"i-{number}" for number in range(50)):
        before = {
            position.instance: position.whole_share(9.49, server_id) for position in fleet(11)
        }
        after = {position.instance: position.whole_share(9.49, server_id) for position in fleet(12)}
        if not joins:
            before, after = after, before
        most = sum(max(before.get(name, 0), after.get(name, 0)) for name in {**before, **after})
        assert_that(most, LessThan(11))


def test_the_remainder_of_a_total_goes_to_different_daemons_for_different_servers():
    """Guards against one daemon that may not use any cold server while another may use them all."""
    position = fleet(12)[11]
    shares = {position.whole_share(9.45, f"i-{number}") for number in range(40)}
    assert_that(shares, Equals({0, 1}))


def test_an_unlisted_daemon_has_no_whole_share_and_a_small_equal_share():
    """Guards against a new daemon that uses a share which the listed daemons already use."""
    unlisted = FleetPosition("new", ("a", "b"))
    assert_that((unlisted.whole_share(14.3, "i-1"), unlisted.rank), Equals((0, 2)))
    assert_that(unlisted.equal_share(58.0), LessThan(3.0))
    assert_that(FleetPosition("b", ("a", "b")).rank, Equals(1))


def cold_arrivals(members: int, demand_per_daemon: float, clock) -> list[float]:
    """Returns the times at which requests of all daemons reach one cold server, which may get
    3.7 x 1.5 + 5 requests in any second."""
    limit = ColdLimit(3.7, 1.5, 5.0)
    limiters = [ColdServerLimiter() for _ in range(members)]
    positions = fleet(members)
    for limiter in limiters:
        limiter.mark_cold(clock.now() + 6.0)
    arrivals = []
    for _ in range(500):
        for rank, (limiter, position) in enumerate(zip(limiters, positions, strict=True)):
            now = clock.now() + 0.001 * rank
            if limiter.available_at(now, limit, position, "i-1", False) <= now:
                limiter.record_sent(now)
                arrivals.append(now)
        clock.advance(1.0 / demand_per_daemon)
    return sorted(arrivals)


@pytest.mark.parametrize("members", [1, 4, 9, 12, 40])
def test_requests_to_a_cold_server_stay_within_the_limit_in_every_second(members, clock):
    """Guards against overloading a cold server: all daemons together may send it at most
    3.7 x 1.5 + 5 requests in any second."""
    arrivals = cold_arrivals(members, 100.0, clock)
    counter = SlidingWindowCounter(1.0)
    most = 0
    for arrival in arrivals:
        counter.add(arrival)
        most = max(most, counter.count(arrival))
    # 3.7 x 1.5 + 5 is 10.55.
    assert_that(most, LessThan(10.56))
    assert_that(len(arrivals), GreaterThan(10))


def test_the_limiter_counts_requests_from_before_the_server_turned_cold(clock):
    """Guards against exceeding the limit in the second in which a server turns cold: requests that
    were sent before the daemon learned of it count too."""
    limiter = ColdServerLimiter()
    limit = ColdLimit(7.3, 1.5, 5.0)
    position = fleet(9)[0]
    for _ in range(5):
        limiter.record_sent(clock.now())
    limiter.mark_cold(clock.now() + 3.0)
    assert_that(
        limiter.available_at(clock.now(), limit, position, "i-1", False), GreaterThan(clock.now())
    )


def test_a_daemon_without_the_store_assumes_that_servers_are_cold(clock):
    """Guards against overloading cold servers of a data centre whose evacuation ended during an
    outage of the store, unknown to this daemon."""
    limiter = ColdServerLimiter()
    limit = ColdLimit(3.7, 1.5, 5.0)
    position = fleet(12)[0]
    limiter.record_sent(clock.now())
    assert_that(
        limiter.available_at(clock.now(), limit, position, "i-1", False), Equals(clock.now())
    )
    earliest = limiter.available_at(clock.now(), limit, position, "i-1", True)
    assert_that(earliest, GreaterThan(clock.now() + 1.0))


def test_retries_of_all_daemons_stay_within_the_budget(clock):
    """Guards against more retries of all daemons than 0.2 of the requests plus 58 in any 10 s."""
    limits = RetryBudgetLimits(0.2, 58.0, 10.0)
    budgets = [RetryBudget(limits) for _ in range(9)]
    positions = fleet(9)
    retries = requests = 0
    for step in range(900):
        rank = step % 9
        now = clock.now()
        budgets[rank].record_request(now)
        requests += 1
        while budgets[rank].allows_retry(now, positions[rank]):
            budgets[rank].record_retry(now)
            retries += 1
        clock.advance(0.01)
    assert_that(retries, LessThan(0.2 * requests + 58))
    assert_that(retries, GreaterThan(0.1 * requests))
