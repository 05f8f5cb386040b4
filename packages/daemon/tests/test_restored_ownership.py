"""Key ownership after a restore of the store, and after a loss of the decider record."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Is

from fireflylink_backend_client import CommandError
from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import CommandCompleted, DeciderChanged
from fireflylink_decisions.ownership import (
    OUTAGE_GRACE_SECONDS,
    GrantCommand,
    ReleaseCommand,
    first_fence,
)
from fireflylink_protocol import DECIDER_KEY, encode_table, ownership_key
from fireflylink_store import Commit, Put

ALL_KEYS = KeyRange(0, 65535)
FIRST = ServerIncarnation("i-1", 1)
SECOND = ServerIncarnation("i-2", 1)
FORMER_HOLDS_SECONDS = 11.8
"""For how long a decider from before the restore may keep servers holding keys, less 0.1 s."""

KEYS_OWNED_SECONDS = 12.2
"""From when a decider learns of a restore until it has granted all keys: 11.9 s and some rounds."""


@pytest.fixture
def stored_table(store_state, former_decider) -> OwnershipTable:
    """The table that the copies of the store have: all keys belong to ``i-1``."""
    table = OwnershipTable("a", 3, (Assignment(ALL_KEYS, FIRST, 3),), True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(table)),)))
    return table


@pytest.fixture
def make_candidate(make_daemon, configuration_item, registration):
    """Returns a function that makes a daemon that knows servers of a keyed service."""

    def make(name: str = "front-0", servers: tuple[str, ...] = ("i-1", "i-2")):
        daemon = make_daemon(name)
        daemon.record_commands()
        daemon.apply_items(configuration_item, *(registration(server, 1) for server in servers))
        return daemon

    return make


def fail(daemon, *commands) -> None:
    """Lets commands end without an answer."""
    for command in commands:
        error = CommandError("no answer", True)
        daemon.ownership_task.receive(CommandCompleted("a", command, error, "", None))
    daemon.deliver()


def grants_in(commands: list) -> list:
    return [command for command in commands if isinstance(command, GrantCommand)]


def grants_without_answers_of(server: ServerIncarnation, daemon, rounds: int) -> list:
    """Returns the grants of so many rounds of 0.1 s in which all servers but one answer."""
    grants = []
    for _ in range(rounds):
        commands = daemon.run(0.1)
        grants += grants_in(commands)
        for command in commands:
            if command.server == server:
                fail(daemon, command)
            else:
                daemon.complete(command)
    return grants


def test_a_decider_that_never_saw_the_lost_table_has_all_servers_release_keys_first(
    make_candidate, store_state, stored_table
):
    """Guards against two owners of a key.

    The table that gave the keys to i-2 is lost, and the daemon that was elected has started since.
    """
    store_state.restore(0.0)
    successor = make_candidate()
    successor.stand_for_election()
    commands = successor.run(0.5)
    assert_that(grants_in(commands), HasLength(0))
    expected = ReleaseCommand(SECOND, ALL_KEYS, first_fence(1))
    assert_that(set(commands), Equals({expected}))
    successor.complete(*commands)
    learned_at = successor.ownership_task.era_seen_at
    assert_that(grants_until(successor, learned_at + FORMER_HOLDS_SECONDS), HasLength(0))
    first_grant = grants_until(successor, learned_at + KEYS_OWNED_SECONDS)[0]
    assert_that((first_grant.server, first_grant.fence), Equals((FIRST, first_fence(1))))


def test_the_decider_goes_on_with_its_own_table_when_the_store_has_lost_it(
    make_candidate, store_state, clock, stored_table
):
    """Guards against keys that go back to a former owner, and against a decider whose writes are
    refused for the rest of its life, because it expects the revision of a table that is lost."""
    decider = make_candidate()
    decider.stand_for_election()
    decider.complete(*decider.run(0.1))
    decider.answer_claims()
    copied_at = clock.now()
    service = decider.ownership_task.services["a"]
    for _ in range(30):
        decider.complete(*decider.run(0.1))
    known = service.table
    assert_that({assignment.owner for assignment in known.assignments}, Equals({FIRST, SECOND}))
    store_state.restore(clock.now() - copied_at)
    commands = decider.run(0.6)
    assert_that(grants_in(commands), HasLength(0))
    decider.complete(*commands)
    grants = grants_in(decider.run(0.2))
    owners = {(assignment.keys, assignment.owner) for assignment in known.assignments}
    assert_that({(grant.keys, grant.server) for grant in grants}, Equals(owners))
    assert_that({grant.fence for grant in grants}, Equals({first_fence(1)}))
    assert_that(decider.ownership_task.is_decider, Is(True))
    for _ in range(20):
        decider.complete(*decider.run(0.1))
    assert_that(service.table.has_unknown_holders, Is(False))
    assert_that(service.table.fence, GreaterThan(first_fence(1) - 1))


def test_a_lease_that_outlives_its_record_does_not_make_a_decider(
    make_candidate, store_state, clock
):
    """Guards against two owners of a key: the store deletes the decider record in an outage, and
    the renewal of its lease starts the time anew for which it grants without the store."""
    decider = make_candidate()
    decider.stand_for_election()
    decider.run(0.1)
    decider.store.reachable = False
    clock.advance(OUTAGE_GRACE_SECONDS / 2)
    [(lease_id, (ttl_seconds, _))] = store_state.leases.items()
    store_state.leases[lease_id] = (ttl_seconds, clock.now() + 60.0)
    store_state.commit(Commit(deletions=(DECIDER_KEY,)))
    decider.store.reachable = True
    decider.decider_task.on_wake()
    assert_that(decider.decider_task.election.is_decider, Is(False))


def test_a_record_of_another_daemon_is_not_verified_as_its_own(make_candidate, store_state, clock):
    """Guards against two deciders after a restore: the copy has the record of an earlier one."""
    former = make_candidate("front-1")
    former.stand_for_election()
    copied_at = clock.now()
    clock.advance(3.0)
    decider = make_candidate("front-0")
    decider.decider_task.receive(DeciderChanged(None, 0))
    decider.stand_for_election()
    assert_that(decider.decider_task.election.is_decider, Is(True))
    store_state.restore(clock.now() - copied_at)
    decider.run(0.5)
    assert_that(decider.decider_task.election.is_decider, Is(False))


@pytest.mark.parametrize("decides_seconds", [0.3, 15.0])
def test_a_decider_that_another_one_had_replaced_does_not_go_on_with_its_own_holds(
    make_candidate, store_state, clock, stored_table, decides_seconds
):
    """Guards against two owners of a key: the copy has the record of a decider that was cut off,
    and the one that was elected in the lost time has moved keys to i-2."""
    former = make_candidate("front-0", ("i-1",))
    former.stand_for_election()
    former.complete(*former.run(0.1))
    ends_at = clock.now() + decides_seconds
    while clock.now() < ends_at:
        former.complete(*former.run(0.1))
    assert_that(former.decider_task.election.is_decider, Is(True))
    copied_at = clock.now()
    # The machine of the former decider is frozen or cut off; the next one is elected.
    former.store.reachable = False
    clock.advance(1.5)
    latest = make_candidate("front-1")
    latest.stand_for_election()
    assert_that(latest.decider_task.election.is_decider, Is(True))
    granted_to_second = []
    # It moves keys when the time has passed for which the former decider may have granted them.
    for _ in range(130):
        commands = latest.run(0.1)
        granted_to_second += [g for g in grants_in(commands) if g.server == SECOND]
        latest.complete(*commands)
    assert_that(len(granted_to_second) > 0, Is(True))
    store_state.restore(clock.now() - copied_at)
    # i-2 holds keys of ``latest`` for 3 s from now on.
    former.store.reachable = True
    from_registration = latest.routing_state.directory.entries["i-2"].server
    former.routing_state.register_server(from_registration)
    commands = former.run(0.5)
    assert_that(former.decider_task.election.is_decider, Is(True))
    assert_that(grants_in(commands), HasLength(0))


def test_a_decider_that_another_one_had_replaced_waits_for_a_server_that_does_not_answer(
    make_candidate, store_state, clock, stored_table
):
    """As above, right after the election: i-2 does not answer the release of the sweep."""
    former = make_candidate("front-0", ("i-1",))
    former.stand_for_election()
    former.complete(*former.run(0.1))
    copied_at = clock.now()
    former.store.reachable = False
    clock.advance(1.5)
    latest = make_candidate("front-1")
    latest.stand_for_election()
    for _ in range(15):
        latest.complete(*latest.run(0.1))
    store_state.restore(clock.now() - copied_at)
    former.store.reachable = True
    former.routing_state.register_server(latest.routing_state.directory.entries["i-2"].server)
    grants = grants_without_answers_of(SECOND, former, 10)
    assert_that(former.decider_task.election.is_decider, Is(True))
    assert_that(grants, HasLength(0))


def test_a_second_restore_does_not_cut_the_sweep_short(
    make_candidate, store_state, clock, stored_table
):
    """Guards against two owners of a key: the decider of the unfinished sweep goes on in the copy,
    and takes its own holds for all that there are."""
    store_state.restore(0.0)
    successor = make_candidate()
    successor.stand_for_election()
    fail(successor, *successor.run(0.5))
    store_state.restore(0.1)
    grants = grants_without_answers_of(SECOND, successor, 30)
    assert_that(successor.decider_task.election.is_decider, Is(True))
    assert_that(grants, HasLength(0))


def test_a_known_owner_is_waited_for_when_the_copy_has_no_table(make_candidate, store_state, clock):
    """Guards against two owners of a key: the copy is older than the first table, but this daemon
    knows it; its owner is gone from the store."""
    copied_at = clock.now()
    clock.advance(1.0)
    table = OwnershipTable("a", 3, (Assignment(ALL_KEYS, FIRST, 3),))
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(table)),)))
    daemon = make_candidate(servers=("i-2",))
    daemon.apply_items(*daemon.store.list("", 0.0).unwrap().items)
    assert_that(daemon.ownership_task.services["a"].table, Equals(table))
    store_state.restore(clock.now() - copied_at)
    assert_that(store_state.read(ownership_key("a")), Is(None))
    daemon.stand_for_election()
    elected_at = clock.now()
    grants = []
    while clock.now() < elected_at + OUTAGE_GRACE_SECONDS:
        commands = daemon.run(0.1)
        grants += [(round(clock.now() - elected_at, 1), g) for g in grants_in(commands)]
        daemon.complete(*commands)
    assert_that([g for g in grants if g[1].server == SECOND], HasLength(0))


def test_a_server_that_restarts_during_the_sweep_does_not_hold_it_up(
    make_candidate, store_state, clock, stored_table, registration
):
    """Guards against keys without an owner for longer than former holds last: the former
    incarnation of a server that the table does not name is asked for a release that nobody can
    answer."""
    store_state.restore(0.0)
    daemon = make_candidate()
    daemon.stand_for_election()
    learned_at = daemon.ownership_task.era_seen_at
    fail(daemon, *daemon.run(0.3))
    daemon.apply_items(registration("i-2", 2))
    grants = grants_until(daemon, learned_at + KEYS_OWNED_SECONDS)
    assert_that(len(grants) > 0, Is(True))


def grants_until(daemon, ends_at: float) -> list:
    """Returns the grants up to a time; all servers answer all commands at once."""
    grants = []
    while daemon.clock.now() < ends_at:
        commands = daemon.run(0.1)
        grants += grants_in(commands)
        daemon.complete(*commands)
    return grants


def test_a_holder_that_registers_late_is_waited_for(
    make_candidate, store_state, clock, stored_table, registration
):
    """Guards against two owners of a key: i-2 holds keys by a table that is lost, and registers
    only when all servers that are known have released theirs."""
    store_state.restore(0.0)
    decider = make_candidate(servers=("i-1",))
    decider.stand_for_election()
    elected_at = decider.ownership_task.elected_at
    assert_that(grants_until(decider, elected_at + 3.0), HasLength(0))
    decider.apply_items(registration("i-2", 1))
    assert_that(grants_until(decider, elected_at + FORMER_HOLDS_SECONDS), HasLength(0))


def test_a_release_of_an_unknown_holder_is_not_final(
    make_candidate, store_state, clock, stored_table, registration
):
    """Guards against two owners of a key: i-2 restarts under its id when it has released its keys,
    and accepts a renewal of a decider from before the restore that is cut off from the store."""
    store_state.restore(0.0)
    decider = make_candidate()
    decider.stand_for_election()
    elected_at = decider.ownership_task.elected_at
    commands = decider.run(0.5)
    assert_that({command.server for command in commands}, Equals({SECOND}))
    decider.complete(*commands)
    decider.apply_items(registration("i-2", 2))
    assert_that(grants_until(decider, elected_at + FORMER_HOLDS_SECONDS), HasLength(0))
    assert_that(len(grants_until(decider, elected_at + KEYS_OWNED_SECONDS)) > 0, Is(True))


def test_a_first_table_after_a_restore_does_not_prove_that_there_was_no_decider(
    make_candidate, store_state, clock
):
    """Guards against two owners of a key: the copy is older than the first table, whose decider
    is cut off from the store and may still grant keys."""
    store_state.restore(0.0)
    decider = make_candidate()
    decider.stand_for_election()
    elected_at = decider.ownership_task.elected_at
    while decider.ownership_task.services["a"].table is None:
        decider.run(0.1)
    tracker = decider.ownership_task.services["a"].grant_tracker
    assert_that(tracker.is_sole_decider(elected_at + OUTAGE_GRACE_SECONDS), Is(False))
    grants = grants_until(decider, elected_at + FORMER_HOLDS_SECONDS)
    assert_that(grants, HasLength(0))


def test_the_next_decider_does_not_begin_the_wait_anew(
    make_candidate, store_state, clock, stored_table
):
    """Guards against keys without an owner for more than 15 s after the store is back, because
    the decider changes during the wait. No decider of before the restore has been confirmed since
    the next one learned of it."""
    store_state.restore(0.0)
    first = make_candidate()
    first.stand_for_election()
    first.complete(*first.run(0.5))
    restored_table = first.ownership_task.services["a"].table
    assert_that(restored_table.has_unknown_holders, Is(True))
    following = make_candidate("front-1")
    following.apply_items(*following.store.list("", 0.0).unwrap().items)
    learned_at = clock.now()
    following.run(8.0)
    store_state.commit(Commit(deletions=(DECIDER_KEY,)))
    following.stand_for_election()
    assert_that(following.decider_task.election.is_decider, Is(True))
    assert_that(clock.now() - learned_at, GreaterThan(OUTAGE_GRACE_SECONDS))
    following.answer_claims()
    assert_that(len(grants_until(following, learned_at + 15.0)) > 0, Is(True))


def test_the_next_decider_waits_until_former_holds_have_expired(
    make_candidate, store_state, clock, stored_table
):
    """Guards against two owners of a key: the wait of the lost decider does not count."""
    store_state.restore(0.0)
    first = make_candidate()
    first.stand_for_election()
    first.complete(*first.run(0.5))
    following = make_candidate("front-1")
    following.apply_items(*following.store.list("", 0.0).unwrap().items)
    learned_at = clock.now()
    store_state.commit(Commit(deletions=(DECIDER_KEY,)))
    following.stand_for_election()
    grants = grants_until(following, learned_at + FORMER_HOLDS_SECONDS)
    assert_that(following.decider_task.election.is_decider, Is(True))
    assert_that(grants, HasLength(0))


@pytest.fixture
def divided_table(store_state, former_decider) -> OwnershipTable:
    """The table that the copies of the store have: each server owns half of the keys."""
    assignments = (
        Assignment(KeyRange(0, 32767), FIRST, 3),
        Assignment(KeyRange(32768, 65535), SECOND, 3),
    )
    table = OwnershipTable("a", 3, assignments, True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(table)),)))
    return table


def test_an_owner_that_answers_again_during_the_wait_keeps_its_keys(
    make_candidate, store_state, divided_table
):
    """Guards against moves of keys from an owner that did not answer right after the restore."""
    store_state.restore(0.0)
    daemon = make_candidate()
    daemon.stand_for_election()
    learned_at = daemon.ownership_task.era_seen_at
    assert_that(grants_without_answers_of(SECOND, daemon, 30), HasLength(0))
    assert_that(daemon.ownership_task.services["a"].is_reachable(SECOND), Is(False))
    grants = grants_until(daemon, learned_at + KEYS_OWNED_SECONDS)
    owners = {(assignment.keys, assignment.owner) for assignment in divided_table.assignments}
    assert_that({(grant.keys, grant.server) for grant in grants}, Equals(owners))


def test_keys_of_an_owner_that_does_not_answer_are_granted_on_after_the_wait(
    make_candidate, store_state, clock, divided_table
):
    """Guards against keys without an owner for more than 15 s: a grant to the server that has not
    answered in all of the wait counts as a hold, which is then waited for as well."""
    store_state.restore(0.0)
    daemon = make_candidate()
    daemon.stand_for_election()
    learned_at = daemon.ownership_task.era_seen_at
    rounds = round((learned_at + 13.0 - clock.now()) / 0.1)
    grants = grants_without_answers_of(SECOND, daemon, rounds)
    keys_of_first = {
        key for g in grants if g.server == FIRST for key in (g.keys.first, g.keys.last)
    }
    assert_that(keys_of_first, Equals({0, 32767, 32768, 65535}))
