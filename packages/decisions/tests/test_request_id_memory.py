"""Guards at-most-once execution (P7) and that not-run is told only of what did not run (P6)."""

from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from fireflylink_core import BaseReply, NotRun, OutcomeUnknown
from fireflylink_decisions.admission import (
    CLOCK_SKEW_MS,
    ID_WINDOW_MS,
    RequestIdMemory,
    parse_request_id,
)

WALL_MS = 1_700_000_000_000
SHARD = 3

NewNumber = Callable[[int], int]


@pytest.fixture
def new_number(new_id: Callable[[int], str]) -> NewNumber:
    return lambda issued_ms: int(parse_request_id(new_id(issued_ms)).unwrap())


@pytest.fixture
def memory() -> RequestIdMemory:
    """A memory whose term began a minute ago."""
    held = RequestIdMemory(capacity=100)
    held.start_term([SHARD], WALL_MS - 60_000)
    return held


def reason(reply: BaseReply | None) -> str:
    return "" if reply is None else str(getattr(reply, "reason", "?"))


def test_id_runs_at_most_once(memory: RequestIdMemory, new_number: NewNumber) -> None:
    """A caller that repeats an order must not place it twice."""
    number = new_number(WALL_MS)
    assert_that(reason(memory.check(SHARD, number, WALL_MS)), Equals(""))
    memory.remember(SHARD, number)
    assert_that(reason(memory.check(SHARD, number, WALL_MS)), Equals("still-running"))
    memory.ended(SHARD, number)
    assert_that(reason(memory.check(SHARD, number, WALL_MS)), Equals("already-run"))


def test_id_of_a_request_that_was_not_run_may_be_used_again(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """A refused order could never be placed under its id."""
    number = new_number(WALL_MS)
    memory.remember(SHARD, number)
    memory.forget(SHARD, number)
    assert_that(reason(memory.check(SHARD, number, WALL_MS)), Equals(""))
    assert_that(memory.size, Equals(0))


def test_id_from_before_the_term_is_not_run(new_number: NewNumber) -> None:
    """The lost gateway may have run it: its clock may be ahead by the skew."""
    memory = RequestIdMemory()
    memory.start_term([SHARD], WALL_MS)
    seen_by_former = new_number(WALL_MS + CLOCK_SKEW_MS + 100 - 1)
    reply = memory.check(SHARD, seen_by_former, WALL_MS + 1_000)
    assert_that(reply, IsInstance(OutcomeUnknown))
    later = new_number(WALL_MS + CLOCK_SKEW_MS + 100)
    assert_that(reason(memory.check(SHARD, later, WALL_MS + 3_000)), Equals(""))


def test_shard_that_was_never_started_begins_its_term_at_first_use(
    new_number: NewNumber,
) -> None:
    """A gateway task that forgets to start a term must not cause a second run."""
    reply = RequestIdMemory().check(SHARD, new_number(WALL_MS), WALL_MS)
    assert_that(reply, IsInstance(OutcomeUnknown))


def test_id_older_than_the_window_is_not_run_and_not_called_not_run(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """It may have run and been forgotten since."""
    number = new_number(WALL_MS)
    memory.remember(SHARD, number)
    memory.ended(SHARD, number)
    later = WALL_MS + ID_WINDOW_MS + 120_000
    assert_that(memory.check(SHARD, number, later), IsInstance(OutcomeUnknown))
    assert_that(memory.size, Equals(0))


def test_clock_that_is_set_back_does_not_reopen_the_window(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """Ids that were forgotten would seem to be inside the window again."""
    number = new_number(WALL_MS)
    memory.remember(SHARD, number)
    memory.expire(WALL_MS + ID_WINDOW_MS + 120_000)
    assert_that(memory.check(SHARD, number, WALL_MS), IsInstance(OutcomeUnknown))


def test_id_that_may_have_run_is_never_called_not_run_for_being_ahead(
    new_number: NewNumber,
) -> None:
    """A former gateway with a clock ahead of this one may have run it."""
    memory = RequestIdMemory()
    memory.start_term([SHARD], WALL_MS)
    reply = memory.check(SHARD, new_number(WALL_MS + 2_050), WALL_MS)
    assert_that(reply, IsInstance(OutcomeUnknown))


def test_id_far_ahead_of_the_clock_is_refused(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """It would appear newer than the term of the next gateway after it has run here."""
    reply = memory.check(SHARD, new_number(WALL_MS + CLOCK_SKEW_MS + 1), WALL_MS)
    assert_that(reply, IsInstance(NotRun))
    assert_that(reason(reply), Equals("id-ahead"))


def test_full_memory_refuses_new_ids_and_keeps_the_known_ones(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """Dropping an id to make room would allow its second run."""
    first = new_number(WALL_MS)
    memory.remember(SHARD, first)
    for _ in range(99):
        memory.remember(SHARD, new_number(WALL_MS))
    refused = memory.check(SHARD, new_number(WALL_MS), WALL_MS)
    assert_that((type(refused), reason(refused)), Equals((NotRun, "id-memory-full")))
    assert_that(reason(memory.check(SHARD, first, WALL_MS)), Equals("still-running"))


def test_full_memory_admits_again_when_the_window_of_its_ids_has_ended(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """Ids of shards that get no more requests would fill the memory for good."""
    for _ in range(100):
        memory.remember(SHARD, new_number(WALL_MS))
    later = WALL_MS + ID_WINDOW_MS + 120_000
    memory.start_term([SHARD + 1], later - 60_000)
    assert_that(reason(memory.check(SHARD + 1, new_number(later), later)), Equals(""))


def test_handover_carries_the_ids_and_the_term(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """Without it a planned move would run repeated orders again or refuse new ones for seconds."""
    known = new_number(WALL_MS)
    memory.remember(SHARD, known)
    memory.ended(SHARD, known)
    successor = RequestIdMemory()
    for shard in memory.export_shards([SHARD]):
        successor.import_shard(shard)
    assert_that(reason(successor.check(SHARD, known, WALL_MS)), Equals("already-run"))
    assert_that(reason(successor.check(SHARD, new_number(WALL_MS), WALL_MS)), Equals(""))
    before_term = new_number(WALL_MS - 59_000)
    assert_that(reason(successor.check(SHARD, before_term, WALL_MS)), Equals("id-too-old"))


def test_shard_that_returns_without_a_handover_starts_a_new_term(
    memory: RequestIdMemory, new_number: NewNumber
) -> None:
    """Another gateway may have run ids in the meantime that this memory does not hold."""
    memory.start_term([SHARD], WALL_MS)
    assert_that(reason(memory.check(SHARD, new_number(WALL_MS), WALL_MS)), Equals("id-too-old"))


@pytest.mark.parametrize(
    "text",
    ["", "0190", "01900000-0000-4000-8000-000000000001", "01900000-0000-7000-c000-000000000001"],
)
def test_text_that_is_not_a_uuid_of_version_7_is_refused(text: str) -> None:
    """An id without a time could not be recognised as older than the term."""
    assert_that(parse_request_id(text).value_or(0), Equals(0))
