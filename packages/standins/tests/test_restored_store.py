"""A store that is restored from an older copy while daemons serve, on running processes."""

import gevent
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import SystemClock
from fireflylink_protocol import MEMBERS_PREFIX
from fireflylink_standins import VERSION_PATH

IN_FORCE_SECONDS = 2.0


@pytest.fixture
def fleet(harness):
    """Four daemons, of which one hears of changes by a relay, with the second version in force."""
    harness.system.add_daemon()
    harness.await_service()
    gevent.sleep(3.0)
    harness.system.configure()
    gevent.sleep(1.0)
    return harness


def daemons_with(harness, version: int) -> list[int]:
    """Returns the daemons in which a version of the configuration, or a later one, is in force."""
    numbers = range(len(harness.system.daemons))
    return [number for number in numbers if _serves_version(harness, number, version)]


def _serves_version(harness, number: int, version: int) -> bool:
    caller = harness.caller(number)
    reply = caller.send("POST", f"{VERSION_PATH}{version}/x", body=b"order")
    caller.close()
    return reply.map(lambda response: response.status == 200).value_or(False)


def test_a_version_accepted_after_a_restore_is_in_force_everywhere_in_time(fleet):
    """Guards against requests that are handled by an older version to the end of the day: the
    changes of the restored store have revisions that daemons take for known."""
    for _ in range(20):
        fleet.system.evacuate("mandeville", True)
        fleet.system.evacuate("mandeville", False)
    gevent.sleep(0.5)
    fleet.system.restore_store(4.0)
    for version in (3, 4):
        fleet.system.configure()
        gevent.sleep(IN_FORCE_SECONDS)
        assert_that(daemons_with(fleet, version), Equals([0, 1, 2, 3]))


def test_no_daemon_goes_back_to_the_version_of_the_copy(fleet):
    """Guards against requests that are handled by an older version than one that was in force."""
    restoring = gevent.spawn(fleet.system.restore_store, 3.0)
    ends_at = SystemClock().now() + 3.0
    while SystemClock().now() < ends_at:
        assert_that(daemons_with(fleet, 2), Equals([0, 1, 2, 3]))
        gevent.sleep(0.05)
    restoring.get()


def test_daemons_whose_lease_ids_were_given_out_again_are_listed_again(fleet):
    """Guards against a daemon that the others do not know: the restore took its record back, and it
    renews a lease that has another holder by now."""
    store = fleet.system.store
    store.restore(1000.0)
    for _ in range(100):
        store.create_lease(10.0)
    store.write_again()
    gevent.sleep(2.0)
    members = [item.key for item in store.range(MEMBERS_PREFIX)]
    expected = [f"{MEMBERS_PREFIX}front-{number}" for number in range(4)]
    assert_that(members, Equals(expected))
