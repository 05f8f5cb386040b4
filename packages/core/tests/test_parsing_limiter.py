"""The share of the time that input in small pieces may take."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from fireflylink_core import ParsingLimiter

STEP_SECONDS = 3e-6


@pytest.fixture
def limiter() -> ParsingLimiter:
    return ParsingLimiter()


def test_a_hundred_connections_together_keep_within_the_share(limiter):
    """Guards against an event loop that parses nothing but answers without end, because each of a
    hundred keeps within its own bounds."""
    turns = [limiter.reserve(10.0, 1000) for _ in range(100)]
    assert_that(len(set(turns)), Equals(100))
    busy_share = 100 * 1000 * STEP_SECONDS / (limiter.next_turn_at - 10.0)
    assert_that(busy_share, LessThan(0.21))
    assert_that(busy_share, GreaterThan(0.19))


def test_usual_input_does_not_wait_for_input_in_small_pieces(limiter):
    """Guards against sound answers, of which each has a few header fields, that are held up."""
    limiter.reserve(10.0, 1_000_000)
    assert_that(limiter.reserve(10.0, 30), Equals(10.0))


def test_the_first_turn_and_one_after_a_pause_are_given_at_once(limiter):
    """Guards against a single message in small pieces that waits although nothing else does."""
    assert_that(limiter.reserve(10.0, 1000), Equals(10.0))
    assert_that(limiter.reserve(20.0, 1000), Equals(20.0))
