import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan, MatchesListwise

from fireflylink_core import LoadReport
from fireflylink_daemon.control import LOAD_PERIOD, LoadMeter
from fireflylink_decisions.ownership import merge_tables
from fireflylink_experiments._control_system import ControlSystem
from fireflylink_experiments._fits import fit_line

SHARD = ("service", 1)


def test_root_that_stepped_back_is_not_followed(settled_system: ControlSystem) -> None:
    """The interim root went on naming itself, so its relays asked it and it asked them."""
    root = settled_system.roots()[0].member.instance_id
    followed = {daemon.task.state.root for daemon in settled_system.daemons.values()}
    assert_that(settled_system.roots(), HasLength(1))
    assert_that(followed, Equals({root}))


def test_settled_table_is_not_written_again(settled_system: ControlSystem) -> None:
    """Gateways were given in turn to daemons that were silent but not watched, without end."""
    settled_system.reset()
    settled_system.run(2.0)
    assert_that(settled_system.platform.calls["write"], Equals(0))


def test_control_bytes_of_a_leaf_stay_in_budget(settled_system: ControlSystem) -> None:
    """Loads were repeated in every sync, which cost a leaf 2 kB/s and a root 239 kB/s."""
    settled_system.reset()
    settled_system.run(5.0)
    leaves = [d.tally.bytes for d in settled_system.daemons.values() if not d.tally.children]
    assert_that(max(leaves) / 5.0, LessThan(1000.0))


def test_merged_changes_equal_a_full_merge(settled_system: ControlSystem) -> None:
    """Routes that were merged change by change must not keep an owner that a table took away."""
    for daemon in settled_system.daemons.values():
        cache = daemon.task.state.cache
        full = merge_tables(cache.configuration, cache.tables.values())
        assert_that(daemon.routes.shards, Equals(full.shards))


@pytest.fixture
def meter() -> LoadMeter:
    """A meter that has reported 100 requests of a shard."""
    meter = LoadMeter(0.0)
    for number in range(100):
        meter.count(SHARD, False, number)
    meter.report(LOAD_PERIOD)
    return meter


@pytest.mark.parametrize(("requests", "reports"), [(100, 0), (105, 0), (120, 1), (80, 1)])
def test_only_changed_loads_are_reported(meter: LoadMeter, requests: int, reports: int) -> None:
    """Every shard was reported each period, which was most of what a root received."""
    for number in range(requests):
        meter.count(SHARD, False, number)
    shards = [report for report in meter.report(2 * LOAD_PERIOD) if not report.exception]
    assert_that(shards, HasLength(reports))


def test_idle_shard_is_reported_once(meter: LoadMeter) -> None:
    """Without a report of zero the root would plan with the load of a shard that has none."""
    assert_that(meter.report(2 * LOAD_PERIOD), Equals((LoadReport(SHARD, False, 0.0),)))
    assert_that(meter.report(3 * LOAD_PERIOD), Equals(()))


def test_line_through_points() -> None:
    """A wrong fit would give wrong figures in the capacity page."""
    line = fit_line([(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)])
    assert_that(
        [line.slope, line.intercept, line.residual],
        MatchesListwise([Equals(2.0), Equals(3.0), Equals(0.0)]),
    )
