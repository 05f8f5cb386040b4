"""Guards the rules by which a daemon may act on a table: majorities, promises and fences."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from fireflylink_core import AuthorityReport, EndorseReply, OwnershipTable
from fireflylink_decisions.authority import (
    FENCE_WAIT,
    GRANT_TERM,
    Authority,
    AuthorityBook,
    EndorsementRound,
    ServerClock,
    Settlement,
    VoterLedger,
)

TABLE = "kingston.keep"
VOTERS = ("a", "b", "c")
HELD = OwnershipTable(TABLE, 2, "w", VOTERS, {}, {}, {})
START = 90.0
NOW = 100.0


@pytest.fixture
def ledgers() -> dict[str, VoterLedger]:
    """Three voters that have read the platform while the table had version 1."""
    ledgers = {voter: VoterLedger(voter, START) for voter in VOTERS}
    for ledger in ledgers.values():
        ledger.note_platform_read({TABLE: 1})
    return ledgers


def _round(version: int, ledgers: dict[str, VoterLedger], asked: str) -> EndorsementRound:
    endorsement_round = EndorsementRound(TABLE, version, VOTERS, (), NOW)
    for voter in asked:
        endorsement_round.record(ledgers[voter].endorse(TABLE, version), NOW)
    return endorsement_round


def test_version_is_not_endorsed_after_a_majority_knows_a_newer_one(
    ledgers: dict[str, VoterLedger],
) -> None:
    """Without the promise a cut-off root renews grants of an owner that was replaced (P1)."""
    assert_that(_round(2, ledgers, "ab").has_majority, Is(True))
    stale = _round(1, ledgers, "abc")
    assert_that(stale.has_majority, Is(False))
    assert_that(stale.highest_known, Equals(2))


def test_changed_voters_need_a_majority_of_the_former_voters_too() -> None:
    """Two disjoint majorities could each renew grants for another owner (P1)."""
    endorsement_round = EndorsementRound(TABLE, 2, ("c", "d", "e"), VOTERS, NOW)
    for voter in ("d", "e"):
        endorsement_round.record(EndorseReply(voter, True, 2, False), NOW)
    assert_that(endorsement_round.has_majority, Is(False))
    for voter in ("a", "c"):
        endorsement_round.record(EndorseReply(voter, True, 2, False), NOW)
    assert_that(endorsement_round.has_majority, Is(True))


def test_restarted_voter_is_silent_until_it_has_recovered(
    ledgers: dict[str, VoterLedger],
) -> None:
    """A voter that forgot its promise would help to renew grants of a former owner (P1, P2)."""
    _round(2, ledgers, "ab")
    ledgers["a"] = VoterLedger("a", START)
    assert_that(_round(1, ledgers, "ac").has_majority, Is(False))
    ledgers["a"].note_peer_answer(HELD, ledgers["c"].endorse(TABLE, 0), NOW)
    assert_that(ledgers["a"].is_recovering(TABLE), Is(True))
    ledgers["a"].note_peer_answer(HELD, ledgers["b"].endorse(TABLE, 0), NOW)
    assert_that(ledgers["a"].is_recovering(TABLE), Is(False))
    assert_that(ledgers["a"].known_version(TABLE), Equals(2))


def test_answers_of_recovering_voters_do_not_help_another_to_recover() -> None:
    """Two restarted voters would otherwise confirm to each other that nothing is known (P2)."""
    ledger = VoterLedger("a", START)
    for voter in ("b", "c"):
        ledger.note_peer_answer(HELD, EndorseReply(voter, False, 0, True), NOW)
    assert_that(ledger.is_recovering(TABLE), Is(True))


def test_authority_from_a_parent_counts_from_the_request_that_asked_for_it() -> None:
    """Counting from the reply would stretch authority by the delay of the network (P1)."""
    book = AuthorityBook()
    report = AuthorityReport(TABLE, 3, 1000, 0, True)
    book.add_report(report, sent=NOW, now=NOW + 0.9)
    assert_that(book.deadline(TABLE, 3, 3), LessThan(NOW + 1.0))


def test_authority_for_an_older_version_does_not_cover_a_changed_record() -> None:
    """A gateway that hears of a change first must not act on it before a majority has (P1)."""
    book = AuthorityBook()
    book.add(Authority(TABLE, 3, NOW + 1, True), NOW)
    assert_that(book.deadline(TABLE, 4, 4), Equals(0.0))
    assert_that(book.deadline(TABLE, 2, 4), Equals(NOW + 1))


def test_platform_authority_does_not_count_as_a_majority() -> None:
    """A release without a majority behind it can be undone by a stale peer (P1)."""
    book = AuthorityBook()
    book.add(Authority(TABLE, 3, NOW + 1, False), NOW)
    assert_that(book.deadline(TABLE, 3, 3, by_majority=True), Equals(0.0))


def test_version_settles_only_after_the_fence_wait() -> None:
    """A new owner that starts earlier meets grants of the former one (P1)."""
    settlement = Settlement()
    settlement.note_majority(5, NOW)
    assert_that(settlement.settled_version(NOW + GRANT_TERM), Equals(0))
    assert_that(settlement.settled_version(NOW + FENCE_WAIT), Equals(5))


@pytest.mark.parametrize("server_rate", [0.99, 1.0, 1.01])
def test_deadline_on_the_server_clock_never_lies_after_the_local_one(server_rate: float) -> None:
    """A server that counts too long serves a key after its gateway lost the authority (P1)."""
    clock = ServerClock()
    clock.observe(server_ms=50_000, received=NOW)
    deadline_ms = clock.deadline_ms(NOW + GRANT_TERM)
    server_seconds = (deadline_ms - 50_000) / 1000
    local_end = NOW + server_seconds / server_rate
    assert_that(local_end, LessThan(NOW + GRANT_TERM + 0.001))
    assert_that(local_end, GreaterThan(NOW + GRANT_TERM * 0.97))


def test_answer_from_before_a_voter_could_restart_does_not_count_late(
    ledgers: dict[str, VoterLedger],
) -> None:
    """A root would count an endorsement that its voter has forgotten since (P1)."""
    endorsement_round = EndorsementRound(TABLE, 2, VOTERS, (), NOW)
    endorsement_round.record(ledgers["a"].endorse(TABLE, 2), NOW)
    endorsement_round.record(ledgers["b"].endorse(TABLE, 2), NOW + GRANT_TERM + 0.1)
    assert_that(endorsement_round.has_majority, Is(False))


def test_restarted_voter_asks_its_peers_only_after_the_fence_wait(
    ledgers: dict[str, VoterLedger],
) -> None:
    """A peer may acknowledge a newer version right after it was asked (P1)."""
    restarted = VoterLedger("a", NOW)
    for voter in ("b", "c"):
        restarted.note_peer_answer(HELD, ledgers[voter].endorse(TABLE, 0), NOW + 1)
    assert_that(restarted.is_recovering(TABLE), Is(True))
    for voter in ("b", "c"):
        restarted.note_peer_answer(HELD, ledgers[voter].endorse(TABLE, 0), NOW + FENCE_WAIT)
    assert_that(restarted.is_recovering(TABLE), Is(False))


def test_recovery_waits_for_the_table_that_an_answer_names(
    ledgers: dict[str, VoterLedger],
) -> None:
    """The newer table may have other voters, whose quorum is the one that counts (P2)."""
    _round(3, ledgers, "bc")
    restarted = VoterLedger("a", START)
    for voter in ("b", "c"):
        restarted.note_peer_answer(HELD, ledgers[voter].endorse(TABLE, 0), NOW)
    assert_that(restarted.is_recovering(TABLE), Is(True))


def test_authority_above_the_held_table_is_not_used() -> None:
    """The version that is not held yet may have moved the shard to another owner (P1)."""
    book = AuthorityBook()
    book.add(Authority(TABLE, 4, NOW + 1, True), NOW)
    assert_that(book.deadline(TABLE, 2, 3), Equals(0.0))
