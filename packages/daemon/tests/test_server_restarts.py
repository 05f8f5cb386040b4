"""Key ownership while servers restart under their ids."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from fireflylink_backend_client import CommandError, ServerMismatchError
from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import CommandCompleted
from fireflylink_decisions.ownership import GrantCommand, ReleaseCommand
from fireflylink_protocol import encode_table, ownership_key
from fireflylink_store import Commit, Put

ALL_KEYS = KeyRange(0, 65535)
FORMER = ServerIncarnation("i-1", 1)


@pytest.fixture
def decider(make_daemon, store_state, configuration_item, registration, former_decider):
    """Returns a decider whose keys are all granted to the server ``i-1``."""
    stored = OwnershipTable("a", 3, (Assignment(ALL_KEYS, FORMER, 3),), True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(stored)),)))
    daemon = make_daemon()
    daemon.record_commands()
    daemon.apply_items(configuration_item, registration("i-1", 1))
    daemon.stand_for_election()
    [grant] = daemon.run(0.1)
    daemon.complete(grant)
    daemon.answer_claims()
    return daemon


def test_a_key_is_not_granted_on_while_the_next_incarnation_of_its_holder_serves_it(
    decider, registration
):
    """Guards against two owners of a key.

    The server restarted under its id, accepted a renewal, and leaves: its keys go to another one.
    """
    [renewal] = decider.run(1.1)
    decider.complete(renewal)
    decider.apply_items(registration("i-1", 2, "draining"), registration("i-2", 1))
    commands = decider.run(0.5)
    grants = [command for command in commands if isinstance(command, GrantCommand)]
    assert_that(grants, HasLength(0))
    [release] = [command for command in commands if isinstance(command, ReleaseCommand)]
    assert_that(release.server, Equals(ServerIncarnation("i-1", 2)))
    decider.complete(release)
    grants = [command for command in decider.run(0.1) if isinstance(command, GrantCommand)]
    assert_that([grant.server for grant in grants], Equals([ServerIncarnation("i-2", 1)]))


def test_a_key_is_not_released_while_a_grant_of_it_may_still_reach_the_next_incarnation(
    decider, registration
):
    """Guards against two owners of a key.

    A renewal that still waits for its connection reached the next incarnation of the server, which
    had forgotten the release that the one before it had answered.
    """
    [renewal] = decider.run(1.1)
    decider.apply_items(registration("i-1", 1, "draining"), registration("i-2", 1))
    assert_that(decider.run(0.5), HasLength(0))
    error = CommandError("no answer", True)
    decider.ownership_task.receive(CommandCompleted("a", renewal, error, "", None))
    releases = [command for command in decider.run(0.5) if isinstance(command, ReleaseCommand)]
    assert_that([release.server for release in releases], Equals([FORMER]))
    decider.complete(*releases)
    grants = [command for command in decider.run(0.1) if isinstance(command, GrantCommand)]
    assert_that([grant.server for grant in grants], Equals([ServerIncarnation("i-2", 1)]))


def test_a_hold_counts_for_the_next_incarnation_after_another_server_used_the_address(
    decider, registration
):
    """Guards against two owners of a key.

    A command found another server at the address, and then the server is back under its id, while a
    renewal that was sent to it before is unanswered.
    """
    assert_that(decider.run(1.1), HasLength(1))
    earlier = GrantCommand(FORMER, KeyRange(0, 1), 2, "", True)
    error = ServerMismatchError()
    decider.ownership_task.receive(CommandCompleted("a", earlier, error, "", None))
    decider.apply_items(registration("i-1", 2, "draining"), registration("i-2", 1))
    assert_that(decider.run(0.5), HasLength(0))


def test_a_server_that_restarts_twice_gets_its_keys_without_a_wait(decider, registration):
    """Guards against keys that nobody owns until a hold has expired: the second restart of a server
    was not seen, because its table names the first incarnation only."""
    [renewal] = decider.run(1.1)
    decider.complete(renewal)
    decider.apply_items(registration("i-1", 2))
    decider.apply_items(registration("i-1", 3))
    tracker = decider.ownership_task.services["a"].grant_tracker
    assert_that(tracker.holds.holder(FORMER), Equals(ServerIncarnation("i-1", 3)))
