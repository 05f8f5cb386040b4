"""Which servers of a large service a daemon uses, and in which order."""

import collections
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from fireflylink_core import ServerLoad
from fireflylink_decisions.dispatch import Dispatched, Dispatcher, QueuedRequest, ServicePool
from fireflylink_decisions.servers import (
    MAX_GROUP_SIZE,
    ServerRanking,
    ServerTracker,
    choose_server,
    group_size,
)

DATA_CENTRES = ("kingston", "spanish-town", "mandeville", "may-pen", "old-harbour")
LOW_RATE = 2.0
"""Requests per second of one daemon among hundreds for one service."""


@pytest.fixture
def fleet_of_servers(server_factory):
    """Returns trackers of the given number of servers, spread over five data centres."""

    def make(count: int) -> dict:
        servers = (
            server_factory(f"i-{number:04}", DATA_CENTRES[number % len(DATA_CENTRES)])
            for number in range(count)
        )
        return {server.incarnation: ServerTracker(server) for server in servers}

    return make


def names(trackers) -> list[str]:
    return [tracker.server.server_id for tracker in trackers]


def fill(tracker: ServerTracker, now: float) -> None:
    """Makes a server report that all its slots and as many queue places are taken by others."""
    tracker.record_load(ServerLoad(4, 6, 4, 1.0), now)


def test_the_preferred_servers_of_a_slow_daemon_are_few_and_in_its_own_data_centre(
    fleet_of_servers,
):
    """Guards against spreading few requests over so many servers that no connection stays open."""
    ranking = ServerRanking("d1", "kingston", fleet_of_servers(90))
    preferred = ranking.preferred(LOW_RATE)
    assert_that(len(preferred), LessThan(MAX_GROUP_SIZE))
    assert_that({tracker.server.data_centre for tracker in preferred}, Equals({"kingston"}))


def test_a_server_that_leaves_or_joins_changes_the_order_in_one_place(fleet_of_servers):
    """Guards against new connections to many servers after each change of the membership."""
    trackers = fleet_of_servers(90)
    before = names(ServerRanking("d1", "kingston", trackers).ranked)
    left = list(trackers)[25]
    del trackers[left]
    after = names(ServerRanking("d1", "kingston", trackers).ranked)
    assert_that(after, Equals([name for name in before if name != left.server_id]))


@pytest.mark.parametrize(
    ("daemons", "servers"), [(9, 30), (86, 45), (195, 90), (195, 178), (680, 620)]
)
def test_every_server_is_preferred_by_some_daemons_and_none_by_many(
    daemons, servers, fleet_of_servers
):
    """Guards against servers that no daemon uses, and against a few that all of them use."""
    trackers = fleet_of_servers(servers)
    users = collections.Counter(
        name
        for number in range(daemons)
        for name in names(
            ServerRanking(
                f"front-{number}", DATA_CENTRES[number % len(DATA_CENTRES)], trackers
            ).preferred(LOW_RATE)
        )
    )
    mean = sum(users.values()) / servers
    print(f"{daemons} daemons, {servers} servers: {mean:.1f} users, at most {max(users.values())}")
    if daemons * group_size(LOW_RATE, servers) > 10 * servers:
        assert_that(len(users), Equals(servers))
    assert_that(max(users.values()), LessThan(max(4.0 * mean, mean + daemons / 4)))


def test_the_next_servers_are_used_when_the_preferred_ones_are_full(
    fleet_of_servers, limits, clock
):
    """Guards against requests that wait for preferred servers while others are idle."""
    now = clock.now()
    ranking = ServerRanking("d1", "kingston", fleet_of_servers(90))
    for tracker in ranking.preferred(LOW_RATE):
        fill(tracker, now)
    chosen = ranking.choose(limits, now, frozenset(), LOW_RATE)
    preferred = names(ranking.preferred(LOW_RATE))
    assert_that(chosen.server.server_id in preferred, Is(False))


def test_the_next_servers_are_used_when_the_preferred_ones_fail(fleet_of_servers, limits, clock):
    """Guards against requests that go on failing at the few servers of a daemon."""
    now = clock.now()
    ranking = ServerRanking("d1", "kingston", fleet_of_servers(90))
    for tracker in ranking.preferred(LOW_RATE):
        for _ in range(4):
            tracker.record_failure(now)
    chosen = ranking.choose(limits, now, frozenset(), LOW_RATE)
    assert_that(chosen.server.server_id in names(ranking.preferred(LOW_RATE)), Is(False))


def test_a_retry_goes_to_a_server_that_was_not_tried(fleet_of_servers, limits, clock):
    """Guards against a retry at the server that has just failed the request."""
    now = clock.now()
    ranking = ServerRanking("d1", "kingston", fleet_of_servers(90))
    tried = frozenset(names(ranking.preferred(LOW_RATE)))
    chosen = ranking.choose(limits, now, tried, LOW_RATE)
    assert_that(chosen.server.server_id in tried, Is(False))


@pytest.mark.parametrize("seed", range(5))
def test_a_service_with_few_servers_is_compared_as_a_whole(seed, fleet_of_servers, limits, clock):
    """Guards against a worse choice than that of a full comparison in a small deployment."""
    generator = random.Random(seed)
    for _ in range(40):
        trackers = fleet_of_servers(generator.randrange(1, MAX_GROUP_SIZE + 1))
        now = clock.now()
        for tracker in trackers.values():
            load = ServerLoad(generator.randrange(5), generator.randrange(8), 4, 1.0)
            tracker.record_load(load, now)
            tracker.idle_service_seconds = generator.uniform(0.05, 0.4)
        ranking = ServerRanking("d1", "kingston", trackers)
        expected = choose_server(ranking.ranked, limits, now, frozenset())
        assert_that(ranking.choose(limits, now, frozenset(), LOW_RATE), Is(expected))


def test_servers_that_replace_others_are_used_at_once(server_factory, limits, clock):
    """Guards against requests to servers that have left because as many others have joined."""
    pool = ServicePool(False, limits)
    dispatcher = Dispatcher()
    dispatcher.pools["holds"] = pool
    for generation in ("old", "new"):
        servers = [server_factory(f"{generation}-{number}") for number in range(3)]
        pool.trackers = {server.incarnation: ServerTracker(server) for server in servers}
        now = clock.now()
        result = dispatcher.submit(QueuedRequest("holds", 1, now, now + 2.0, -1), now)
        assert_that(isinstance(result, Dispatched), Is(True))
        assert_that(result.tracker.server.server_id.startswith(generation), Is(True))


def test_the_number_of_compared_servers_grows_with_the_rate_up_to_a_bound():
    """Guards against a choice whose cost grows with the number of servers."""
    assert_that(group_size(1000.0, 600), Equals(MAX_GROUP_SIZE))
    assert_that(group_size(LOW_RATE, 600), LessThan(MAX_GROUP_SIZE))
    assert_that(group_size(LOW_RATE, 10), GreaterThan(9))
