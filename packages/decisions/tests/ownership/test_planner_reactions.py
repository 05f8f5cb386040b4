"""Guards the planner's reaction to losses, drains and changes of the configuration."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Contains, Equals, HasLength, LessThan, Not

from fireflylink_core import DataCentreState, Isolation, MemberState, ServerState, ShardRange
from fireflylink_decisions.ownership import (
    NO_RELEASE,
    OwnershipError,
    find_unowned,
    merge_tables,
)

KEEP = "kingston.keep"


def owners_of(cluster, service="rooms"):
    """Returns the group of each shard of a service."""
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    return {key: route for key, route in routes.shards.items() if key[0] == service}


def set_centre(cluster, name, state) -> None:
    configuration = cluster.configuration
    centres = dict(configuration.data_centres)
    centres[name] = centres[name].replace(state=state)
    cluster.configuration = configuration.replace(
        version=configuration.version + 1, data_centres=centres
    )


def set_server(cluster, name, **changes) -> None:
    configuration = cluster.configuration
    servers = dict(configuration.servers)
    servers[name] = servers[name].replace(**changes)
    cluster.configuration = configuration.replace(
        version=configuration.version + 1, servers=servers
    )


def test_shards_of_a_lost_server_move_at_once(cluster) -> None:
    """A shard left on a lost server stays unavailable."""
    lost = "rooms-kingston-0"
    before = owners_of(cluster)
    cluster.down.add(lost)
    plan = cluster.step(KEEP)
    assert_that([move.planned for move in plan.moves], AllMatch(Equals(False)))
    after = owners_of(cluster)
    assert_that([route.group.group_id for route in after.values()], Not(Contains(lost)))
    for key, route in after.items():
        former = before[key]
        if former.group.group_id != lost:
            assert_that(route, Equals(former))
            continue
        assert_that(route.record.epoch, Equals(former.record.epoch + 1))
        assert_that(route.record.previous_group, Equals(lost))


def test_draining_server_is_emptied(cluster) -> None:
    """A draining server that keeps shards receives new work after its notice."""
    set_server(cluster, "rooms-kingston-1", state=ServerState.DRAINING)
    plan = cluster.step(KEEP)
    assert_that([move.planned for move in plan.moves], AllMatch(Equals(True)))
    groups = [route.group.group_id for route in owners_of(cluster).values()]
    assert_that(groups, Not(Contains("rooms-kingston-1")))


@pytest.mark.parametrize("isolation", list(Isolation))
def test_data_centre_out_of_service_is_emptied(new_cluster, isolation) -> None:
    """Shards left in a data centre that is out of service keep sending work to it."""
    cluster = new_cluster(isolation=isolation)
    cluster.run()
    set_centre(cluster, "kingston", DataCentreState.OUT)
    plan = cluster.step(f"kingston.{isolation.value}")
    assert_that(plan.tables[-1].table_id, Equals(f"kingston.{isolation.value}"))
    owners = owners_of(cluster)
    assert_that(owners, HasLength(48))
    assert_that(
        {route.table_id for route in owners.values()}, Not(Contains(plan.tables[-1].table_id))
    )


def test_returning_data_centre_is_filled_within_the_churn_bound(cluster) -> None:
    """A data centre that got all its shards back at once would be overloaded while cold."""
    set_centre(cluster, "kingston", DataCentreState.OUT)
    cluster.run()
    set_centre(cluster, "kingston", DataCentreState.IN)
    cluster.now_ms += 60_000
    counts = []
    for _ in range(40):
        for table_id in cluster.table_ids():
            cluster.step(table_id)
        cluster.settle()
        cluster.now_ms += 28_000
        local = [route for route in owners_of(cluster).values() if route.table_id == KEEP]
        counts.append(len(local))
    steps = [later - former for former, later in zip([0, 0, *counts], counts, strict=False)]
    # 10 % of 48 shards a minute, in steps of half a minute.
    assert_that(max(steps), LessThan(5))
    assert_that(counts[-1], Not(LessThan(14)))


@pytest.mark.parametrize("isolation", list(Isolation))
def test_lost_data_centre_is_taken_over(new_cluster, isolation) -> None:
    """Without a takeover the keys of a lost data centre stay unavailable."""
    cluster = new_cluster(isolation=isolation)
    cluster.run()
    cluster.lost |= {f"kingston-d{number}" for number in range(5)}
    set_centre(cluster, "kingston", DataCentreState.LOST)
    for name in ("mandeville", "spanish-town"):
        cluster.step(f"{name}.{isolation.value}")
    tables = {route.table_id for route in owners_of(cluster).values()}
    assert_that(tables, Not(Contains(f"kingston.{isolation.value}")))
    assert_that(owners_of(cluster), HasLength(48))


def test_cut_off_data_centre_yields(new_cluster) -> None:
    """Shards of a cut-off data centre of mode yield have to go to the others."""
    cluster = new_cluster(isolation=Isolation.YIELD)
    cluster.run()
    cluster.lost |= {f"kingston-d{number}" for number in range(5)}
    cluster.step("kingston.yield")
    tables = {route.table_id for route in owners_of(cluster).values()}
    assert_that(tables, Equals({"mandeville.yield", "spanish-town.yield"}))


def test_cut_off_data_centre_keeps(cluster) -> None:
    """Another data centre that took the shards would be a second owner."""
    cluster.lost |= {f"kingston-d{number}" for number in range(5)}
    before = dict(cluster.tables)
    cluster.run(2)
    assert_that(cluster.tables, Equals(before))


def test_gateways_leave_lost_members(cluster) -> None:
    """A group whose gateway is lost is unreachable."""
    former = cluster.tables[KEEP]
    gateway = next(iter(former.groups.values())).gateway
    cluster.lost.add(gateway)
    cluster.step(KEEP)
    for group in cluster.tables[KEEP].groups.values():
        before = former.groups[group.group_id]
        if before.gateway != gateway:
            assert_that(group, Equals(before))
            continue
        assert_that(group.gateway, Not(Equals(gateway)))
        assert_that(group.gateway_epoch, Equals(before.gateway_epoch + 1))
        assert_that(group.previous_gateway, Equals(NO_RELEASE))


def test_gateways_are_spread_over_new_members(new_cluster) -> None:
    """After restarts of all daemons one of them would be the gateway of everything."""
    cluster = new_cluster(members_each=5)
    for index, member in enumerate(cluster.members):
        if not member.instance_id.endswith("d0"):
            cluster.members[index] = member.replace(state=MemberState.LEAVING)
    cluster.run()
    cluster.members = [found.replace(state=MemberState.LIVE) for found in cluster.members]
    cluster.run(12)
    gateways = [group.gateway for group in cluster.tables[KEEP].groups.values()]
    counts = [gateways.count(name) for name in set(gateways)]
    assert_that(max(counts), Equals(1))


def test_replaced_voters_are_cleared_once_settled(cluster) -> None:
    """Two changes of voters at once could leave no majority that knows the latest version."""
    former = cluster.tables[KEEP]
    cluster.lost |= set(former.voters[:2])
    cluster.members += [cluster.members[0].replace(instance_id=f"kingston-n{i}") for i in range(2)]
    cluster.step(KEEP)
    table = cluster.tables[KEEP]
    assert_that(table.previous_voters, Equals(former.voters))
    assert_that(set(table.voters) & cluster.lost, Equals(set()))
    cluster.step(KEEP)
    assert_that(cluster.tables[KEEP].previous_voters, Equals(former.voters))
    cluster.settle()
    cluster.step(KEEP)
    assert_that(cluster.tables[KEEP].previous_voters, Equals(()))


def test_yield_voters_are_spread(new_cluster) -> None:
    """A data centre that holds a majority of its own voters would go on when cut off."""
    cluster = new_cluster(isolation=Isolation.YIELD)
    cluster.run()
    voters = cluster.tables["kingston.yield"].voters
    local = [voter for voter in voters if voter.startswith("kingston")]
    assert_that(voters, HasLength(5))
    assert_that(local, HasLength(2))


def test_shard_ranges_are_followed(cluster) -> None:
    """A server outside the range of a shard does not know its keys."""
    services = dict(cluster.configuration.services)
    allowed = ("rooms-kingston-0", "rooms-mandeville-2")
    ranges = (ShardRange(0, 9, allowed), ShardRange(10, 47))
    services["rooms"] = services["rooms"].replace(ranges=ranges)
    cluster.configuration = cluster.configuration.replace(version=2, services=services)
    cluster.run()
    for key, route in owners_of(cluster).items():
        if key[1] <= 9:
            assert_that(allowed, Contains(route.group.group_id))


def test_isolation_mode_can_change(cluster) -> None:
    """Shards left in the table of the former mode would keep the former voters."""
    services = {
        name: service.replace(isolation=Isolation.YIELD)
        for name, service in cluster.configuration.services.items()
    }
    cluster.configuration = cluster.configuration.replace(version=2, services=services)
    cluster.run(12)
    assert_that({route.table_id[-5:] for route in owners_of(cluster).values()}, Equals({"yield"}))


def test_hot_key_gets_an_exception_until_it_cools_down(cluster) -> None:
    """A key that flaps between owners is unavailable more often than it is balanced."""
    hot = ("rooms", 48 * 1000 + 7)
    cluster.loads = {("rooms", index): 10.0 for index in range(48)}
    cluster.loads[("rooms", 7)] = 40.0
    cluster.hot = {hot: 30.0}
    cluster.run()
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    route = routes.find_hash(*hot)
    assert_that(route.is_exception, Equals(True))
    assert_that(route.table_id, Equals(routes.shards[("rooms", 7)].table_id))
    cluster.hot = {hot: 10.0}
    cluster.now_ms += 70_000
    cluster.run()
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    assert_that(routes.find_hash(*hot).is_exception, Equals(True))
    cluster.hot = {}
    cluster.now_ms += 70_000
    cluster.run()
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    after = routes.find_hash(*hot)
    assert_that(after.is_exception, Equals(False))
    assert_that(after.record.epoch, Not(LessThan(route.record.epoch)))


def test_key_with_the_whole_load_of_its_service_is_found_hot(cluster) -> None:
    """A key would never be hot if shards without requests raised the mean load of a shard."""
    hot = ("rooms", 48 * 1000 + 7)
    cluster.run()
    cluster.loads = {("rooms", 7): 200.0}
    cluster.hot = {hot: 200.0}
    cluster.run()
    routes = merge_tables(cluster.configuration, cluster.tables.values())
    assert_that(routes.find_hash(*hot).is_exception, Equals(True))


def test_unowned_shards_are_listed(cluster) -> None:
    """A release note that leaves shards without a server has to be refused."""
    for name in cluster.configuration.servers:
        if name.startswith("bookings"):
            set_server(cluster, name, state=ServerState.DRAINING)
    unowned = find_unowned(cluster.configuration)
    assert_that(unowned, Equals(tuple(("bookings", index) for index in range(12))))


def test_withdrawn_service_is_dropped(cluster) -> None:
    """Records of a withdrawn service would stay in every table for ever."""
    services = {"bookings": cluster.configuration.services["bookings"]}
    cluster.configuration = cluster.configuration.replace(version=2, services=services)
    cluster.run()
    assert_that(owners_of(cluster), HasLength(0))
    assert_that([name for name in cluster.tables[KEEP].groups if "rooms" in name], HasLength(0))


def test_malformed_table_id_is_refused(cluster) -> None:
    """A typing error in a table id must not create a table that no one reads."""
    source = cluster.input_for(KEEP).replace(table_id="kingston.both")
    with pytest.raises(OwnershipError):
        cluster.planner.plan(source)
