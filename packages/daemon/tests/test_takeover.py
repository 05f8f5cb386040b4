"""A decider that takes over from one that may not know of it, and the talk between the two."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import (
    DeciderChanged,
    DeciderClaimReceived,
    DeciderElected,
    DeciderRetiredReceived,
)
from fireflylink_decisions.ownership import GrantCommand, ReleaseCommand
from fireflylink_protocol import (
    DeciderClaim,
    DeciderRetired,
    decode_table,
    encode_table,
    ownership_key,
)
from fireflylink_store import Commit, Put

ALL_KEYS = KeyRange(0, 65535)
SERVER = ServerIncarnation("i-1", 1)
SUCCESSOR = ("127.0.0.2", 7540)


@pytest.fixture
def decider(make_daemon, store_state, configuration_item, registration, former_decider):
    """A new decider; ``former_decider`` wrote the stored table, in which ``i-1`` owns all keys."""
    stored = OwnershipTable("a", 3, (Assignment(ALL_KEYS, SERVER, 3),), True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(stored)),)))
    daemon = make_daemon()
    daemon.record_commands()
    daemon.apply_items(configuration_item, registration("i-1", 1))
    daemon.stand_for_election()
    daemon.complete(*daemon.run(0.1))
    return daemon


def claims_to(daemon, address) -> list[DeciderClaim]:
    return [
        message
        for message, receiver in daemon.peers.take()
        if isinstance(message, DeciderClaim) and receiver == (address.host, address.port)
    ]


def receive_claim(daemon, revision: int) -> None:
    claim = DeciderClaim("front-8", revision)
    daemon.ownership_task.receive(DeciderClaimReceived(claim, SUCCESSOR))


def answers_to_claims(daemon) -> list:
    return [sent for sent in daemon.peers.take() if isinstance(sent[0], DeciderRetired)]


def commands_of_a_drain(decider, registration) -> list:
    """Lets the owner of all keys drain; returns the commands of the next second."""
    decider.apply_items(registration("i-1", 1, "draining"), registration("i-2", 1))
    return decider.run(1.0)


def test_keys_move_only_after_the_former_decider_has_answered(
    decider, registration, former_decider
):
    """Guards against two owners of a key: a server that has released it restarts under its id, and
    the former decider, which is cut off from the store, renews its grant."""
    commands = commands_of_a_drain(decider, registration)
    assert_that([c for c in commands if isinstance(c, ReleaseCommand)], HasLength(0))
    decider.answer_claims()
    commands = decider.run(0.1)
    assert_that([type(command) for command in commands], Equals([ReleaseCommand]))


def test_a_claim_is_sent_until_it_is_answered(decider, former_decider):
    """Guards against a lost datagram that holds up all moves for the whole grace time."""
    decider.run(0.5)
    revision = decider.decider_task.election.revision
    claims = claims_to(decider, former_decider)
    assert_that(len(claims) > 1, Is(True))
    assert_that(set(claims), Equals({DeciderClaim("front-0", revision)}))
    decider.run(0.1)
    decider.answer_claims()
    decider.run(0.5)
    assert_that(claims_to(decider, former_decider), HasLength(0))


def test_a_claim_is_sent_only_when_the_store_has_taken_the_table(
    make_daemon, store_state, configuration_item, registration, former_decider, clock
):
    """Guards against keys without an owner: the former decider steps down, and the store is too
    slow, or away again, to take the table without which the next one cannot grant keys."""
    stored = OwnershipTable("a", 3, (Assignment(ALL_KEYS, SERVER, 3),), True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(stored)),)))
    daemon = make_daemon()
    daemon.record_commands()
    daemon.apply_items(configuration_item, registration("i-1", 1))
    daemon.decider_task.receive(DeciderChanged(None, 0))
    clock.advance(5.0)
    daemon.decider_task.on_wake()
    daemon.store.reachable = False
    daemon.run(1.0)
    assert_that(daemon.ownership_task.is_decider, Is(True))
    assert_that(claims_to(daemon, former_decider), HasLength(0))
    daemon.store.reachable = True
    daemon.run(3.0)
    assert_that(len(claims_to(daemon, former_decider)) > 0, Is(True))


@pytest.mark.parametrize(
    ("sender", "revision_offset"), [(("127.0.0.3", 7540), 0), (("127.0.0.9", 7540), -1)]
)
def test_other_answers_do_not_let_keys_move(decider, registration, sender, revision_offset):
    """Guards against two owners of a key: another daemon answers, or an answer to an earlier claim
    arrives late."""
    revision = decider.decider_task.election.revision + revision_offset
    notice = DeciderRetired("front-9", revision)
    decider.ownership_task.receive(DeciderRetiredReceived(notice, sender))
    commands = commands_of_a_drain(decider, registration)
    assert_that([c for c in commands if isinstance(c, ReleaseCommand)], HasLength(0))


def test_a_decider_that_reads_a_claim_of_a_later_one_steps_down_and_says_so(decider):
    """Guards against two owners of a key: a decider that is cut off from the store grants keys for
    seconds after another one was elected."""
    decider.store.reachable = False
    later = decider.decider_task.election.revision + 1
    receive_claim(decider, later)
    assert_that(decider.ownership_task.is_decider, Is(False))
    assert_that(answers_to_claims(decider), Equals([(DeciderRetired("front-0", later), SUCCESSOR)]))
    decider.deliver()
    assert_that(decider.decider_task.election.is_decider, Is(False))
    commands = decider.run(2.0)
    assert_that([c for c in commands if isinstance(c, GrantCommand)], HasLength(0))


def test_a_decider_does_not_step_down_for_an_earlier_one(decider):
    """Guards against a fleet without a decider: a claim of an earlier decider arrives late."""
    receive_claim(decider, decider.decider_task.election.revision - 1)
    assert_that(decider.ownership_task.is_decider, Is(True))
    assert_that(answers_to_claims(decider), HasLength(0))


def test_an_election_that_is_older_than_an_answered_claim_is_given_up(make_daemon):
    """Guards against two owners of a key: a daemon has said that it does not decide while the news
    of its own, older election was still on the way between its tasks."""
    daemon = make_daemon()
    receive_claim(daemon, 9)
    assert_that(answers_to_claims(daemon), HasLength(1))
    daemon.ownership_task.receive(DeciderElected(0.0, 8, ()))
    assert_that(daemon.ownership_task.is_decider, Is(False))
    daemon.ownership_task.receive(DeciderElected(0.0, 10, ()))
    assert_that(daemon.ownership_task.is_decider, Is(True))


def test_a_table_names_the_decider_that_wrote_it(decider, store_state):
    """Guards against a successor that does not know whom to ask."""
    stored = decode_table(store_state.read(ownership_key("a")).value).unwrap()
    assert_that(stored.writer, Equals(decider.record.address))


def test_a_decider_that_is_elected_again_does_not_ask_itself(decider, clock, registration):
    """Guards against a wait for a decider that has stopped its own commands."""
    decider.answer_claims()
    decider.apply_items(registration("i-2", 1))
    decider.complete(*decider.run(3.0))
    assert_that(decider.ownership_task.services["a"].table.written_by_sole_decider, Is(True))
    receive_claim(decider, decider.decider_task.election.revision + 1)
    decider.deliver()
    decider.stand_for_election()
    assert_that(decider.ownership_task.is_decider, Is(True))
    decider.run(0.1)
    tracker = decider.ownership_task.services["a"].grant_tracker
    assert_that(tracker.is_sole_decider(clock.now()), Is(True))


def test_two_deciders_agree_on_the_one_that_was_elected_last(
    decider, make_daemon, configuration_item, registration, clock
):
    """Guards against two owners of a key, on both daemons: the former decider is cut off from the
    store, the later one takes over and has a server release its keys."""
    decider.answer_claims()
    decider.apply_items(registration("i-2", 1))
    for _ in range(20):
        decider.complete(*decider.run(0.1))
        decider.answer_claims()
    decider.store.reachable = False
    clock.advance(1.5)
    later = make_daemon("front-1")
    later.record_commands()
    items = (registration("i-1", 1), registration("i-2", 1))
    later.apply_items(configuration_item, *items, *later.store.list("", 0.0).unwrap().items)
    later.stand_for_election()
    later.complete(*later.run(0.1))
    [claim, *_] = claims_to(later, decider.record.address)
    decider.ownership_task.receive(DeciderClaimReceived(claim, ("127.0.0.1", 7540)))
    [(answer, _)] = answers_to_claims(decider)
    later.ownership_task.receive(DeciderRetiredReceived(answer, ("127.0.0.1", 7540)))
    for _ in range(15):
        assert_that(decider.run(0.1), Equals([]))
        later.complete(*later.run(0.1))
    later.apply_items(registration("i-1", 1, "draining"))
    assert_that([type(command) for command in later.run(0.5)], Contains(ReleaseCommand))
