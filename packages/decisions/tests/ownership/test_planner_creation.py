"""Guards the tables that are made from nothing."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from fireflylink_decisions.ownership import find_unowned, merge_tables


def test_every_shard_gets_one_owner(cluster) -> None:
    """A shard without a record would be unavailable for ever."""
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    assert_that(len(routes.shards), Equals(48 + 12))


def test_plans_come_to_rest(cluster) -> None:
    """A planner that always finds something to change would write without end."""
    assert_that(cluster.run(), Equals(0))


def test_shards_are_spread_evenly(cluster) -> None:
    """Rendezvous hashing without a bound leaves some servers with half as much again."""
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    counts: dict[str, int] = {}
    for key, route in routes.shards.items():
        if key[0] == "rooms":
            counts[route.group.group_id] = counts.get(route.group.group_id, 0) + 1
    assert_that(counts, HasLength(9))
    assert_that(max(counts.values()) / (48 / 9), LessThan(1.3))


def test_configuration_has_no_unowned_shard(cluster) -> None:
    """A false entry would make every release note be refused."""
    assert_that(find_unowned(cluster.configuration), Equals(()))
