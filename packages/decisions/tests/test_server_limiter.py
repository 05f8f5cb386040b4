"""Guards the limits of a backend server: a cold one never gets more than it can handle (P3)."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from fireflylink_decisions.limits import ConnectionLimit, ReportedState, ServerLimiter


def test_cold_server_never_exceeds_its_limit_when_it_turns_cold_silently(
    warm_limiter: ServerLimiter,
) -> None:
    """A server that restarts unnoticed would get its full load while its caches are empty."""
    for _ in range(4):
        warm_limiter.start()
    warm_limiter.end()
    warm_limiter.answered("g2", sent_at=1.0)
    assert_that(warm_limiter.free, LessThan(1))
    warm_limiter.end()
    warm_limiter.end()
    assert_that(warm_limiter.free, Equals(0))
    warm_limiter.end()
    assert_that(warm_limiter.free, Equals(1))


def test_request_beyond_the_cold_limit_needs_a_connection_of_the_generation(
    warm_limiter: ServerLimiter,
) -> None:
    """New connections reach a restarted server before any reply tells that it has restarted."""
    needed = [warm_limiter.start() for _ in range(4)]
    assert_that(needed, Equals(["", "g1", "g1", "g1"]))


def test_limit_stays_cold_until_the_new_generation_reports_that_it_is_warm(
    warm_limiter: ServerLimiter,
) -> None:
    """Successes of a server that is still cold would raise its limit above what it can handle."""
    warm_limiter.answered("g2", sent_at=1.0)
    for _ in range(50):
        warm_limiter.answered("g2", sent_at=2.0)
    assert_that(warm_limiter.limit, Equals(1))
    warm_limiter.reported("g2", ReportedState.WARM, sent_at=3.0)
    warm_limiter.answered("g2", sent_at=3.0)
    assert_that(warm_limiter.limit, Equals(2))


def test_server_that_only_claims_to_be_warm_is_ramped_up_by_its_answers() -> None:
    """A misleading report must not give a cold server its full load at once."""
    limiter = ServerLimiter("s1", slots=4, cold_slots=1, connections=110)
    limiter.reported("g1", ReportedState.WARM, sent_at=0.0)
    assert_that(limiter.limit, Equals(1))


def test_late_reply_of_a_former_generation_changes_nothing(warm_limiter: ServerLimiter) -> None:
    """A reply that was delayed would make the former generation, or its limit, current again."""
    warm_limiter.answered("g2", sent_at=1.0)
    warm_limiter.answered("g1", sent_at=0.5)
    assert_that(warm_limiter.generation, Equals("g2"))
    assert_that(warm_limiter.limit, Equals(1))


def test_lost_connection_applies_the_cold_limit_until_a_later_request_is_answered(
    warm_limiter: ServerLimiter,
) -> None:
    """An answer that was on its way before the loss does not show that the server still lives."""
    warm_limiter.doubt(5.0)
    warm_limiter.answered("g1", sent_at=4.9)
    assert_that(warm_limiter.limit, Equals(1))
    warm_limiter.answered("g1", sent_at=5.1)
    assert_that(warm_limiter.limit, Equals(4))


def test_limit_handed_over_applies_only_once_the_generation_is_confirmed() -> None:
    """The server may have restarted during the handover."""
    limiter = ServerLimiter("s1", slots=4, cold_slots=1, connections=110)
    limiter.adopt("g1", 4, now=1.0)
    assert_that(limiter.limit, Equals(1))
    limiter.answered("g1", sent_at=2.0)
    assert_that(limiter.limit, Equals(4))


def test_draining_server_gets_no_new_requests(warm_limiter: ServerLimiter) -> None:
    """A server that leaves must get no new work although it still has free slots (P8)."""
    warm_limiter.reported("g1", ReportedState.DRAINING, sent_at=1.0)
    assert_that(warm_limiter.free, Equals(0))


def test_server_that_refuses_connections_is_left_alone_for_a_while(
    warm_limiter: ServerLimiter,
) -> None:
    """Requests would fail one after the other while the server restarts."""
    warm_limiter.block(1.0)
    assert_that(warm_limiter.free, Equals(0))
    assert_that(warm_limiter.retry(1.01), Is(False))
    assert_that(warm_limiter.retry(1.06), Is(True))
    assert_that(warm_limiter.free, Equals(1))


def test_dead_connections_count_until_they_are_closed() -> None:
    """Replacing connections that are still open at the server would exceed its limit."""
    limit = ConnectionLimit(2)
    assert_that([limit.open(), limit.open(), limit.open()], Equals([True, True, False]))
    limit.mark_dead()
    assert_that((limit.may_open, limit.usable), Equals((False, 1)))
    limit.close(was_dead=True)
    assert_that((limit.may_open, limit.usable), Equals((True, 2)))


def test_requests_do_not_outnumber_the_connections_that_work(
    warm_limiter: ServerLimiter,
) -> None:
    """A request without a connection would hold a slot and wait."""
    connections = warm_limiter.connections
    connections.limit = 3
    for _ in range(2):
        connections.open()
        connections.mark_dead()
    warm_limiter.connections_changed()
    assert_that(warm_limiter.limit, Equals(1))


class NaiveLimiter:
    """Recomputes the limit from the whole history of events."""

    def __init__(self) -> None:
        self.events: list[tuple[str, str, float]] = []

    def limit(self) -> int:
        """Returns the limit that the history implies for 3 slots, 1 of them cold, 2 successes."""
        generation, seen, ramped, successes = "", set(), 1, 0
        warm, doubted, draining = False, None, False
        for name, value, time in self.events:
            if name == "doubt":
                doubted = time
                continue
            if value in seen - {generation}:
                continue
            if value != generation:
                seen.add(value)
                generation, ramped, successes, warm, doubted = value, 1, 0, False, None
            elif doubted is not None and time > doubted:
                doubted = None
            if name in ("warm", "cold", "draining"):
                draining = name == "draining"
                warm = name != "cold"
                if not warm:
                    ramped, successes = 1, 0
            elif warm and ramped < 3:
                successes += 1
                ramped, successes = (ramped + 1, 0) if successes == 2 else (ramped, successes)
        if draining:
            return 0
        return ramped if generation and doubted is None else 1


EVENTS = st.tuples(
    st.sampled_from(["answer", "answer", "answer", "warm", "cold", "draining", "doubt"]),
    st.sampled_from(["g1", "g1", "g2", "g3"]),
    st.floats(-0.5, 0.0),
)


@given(st.lists(EVENTS, max_size=60))
def test_limiter_agrees_with_a_naive_one_over_any_history(
    events: list[tuple[str, str, float]],
) -> None:
    """A shortcut of the limiter could diverge from the rules in a rare order of events."""
    limiter = ServerLimiter("s1", slots=3, cold_slots=1, connections=9, ramp_successes=2)
    naive = NaiveLimiter()
    for now, (name, generation, delay) in enumerate(events, start=1):
        sent_at = now + delay * 4
        naive.events.append((name, generation, now if name == "doubt" else sent_at))
        if name == "doubt":
            limiter.doubt(float(now))
        elif name == "answer":
            limiter.answered(generation, sent_at)
        else:
            limiter.reported(generation, ReportedState(name), sent_at)
        assert_that(limiter.limit, Equals(naive.limit()))


@pytest.mark.parametrize("in_flight", [0, 1, 3])
def test_busy_server_is_not_given_more_than_it_runs(
    warm_limiter: ServerLimiter, in_flight: int
) -> None:
    """A server that sheds load knows better than its configured number of slots."""
    for _ in range(in_flight):
        warm_limiter.start()
    warm_limiter.busy()
    assert_that(warm_limiter.limit, Equals(max(1, in_flight)))
