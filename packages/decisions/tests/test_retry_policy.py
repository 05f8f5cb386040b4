"""Guards retries: one layer, bounded, inside the deadline, only where a second run does no harm."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, LessThan

from fireflylink_core import BackendAnswer, BaseReply, NotRun, Outcome, OutcomeUnknown
from fireflylink_decisions.retries import (
    CallOutcome,
    CallResult,
    RequestAttempts,
    RetryAt,
    RetryBudget,
    RetryPolicy,
    classify,
)

BUSY = NotRun("busy", "", 503, 20)
FINAL = NotRun("poison", "", 503, 0)
UNREACHABLE = NotRun("gateway-unreachable", "", 503, 100)
LOST = OutcomeUnknown("connection-lost", "")
ANSWERED = BackendAnswer(200, b"", "", "s1")


@pytest.fixture
def policy() -> RetryPolicy:
    return RetryPolicy(RetryBudget(0.0), random.Random(1))


def attempts(idempotent: bool = True, deadline: float = 100.0) -> RequestAttempts:
    return RequestAttempts(idempotent, deadline)


def test_order_that_may_have_run_is_not_sent_again(policy: RetryPolicy) -> None:
    """A second attempt could place the order twice (P7)."""
    assert_that(policy.decide(attempts(idempotent=False), LOST, 1.0), Equals(LOST))


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(policy: RetryPolicy) -> None:
    """The first attempt may have run, whatever the last one says (P6)."""
    tried = attempts()
    assert_that(policy.decide(tried, LOST, 1.0), IsInstance(RetryAt))
    assert_that(policy.decide(tried, FINAL, 1.1), Equals(LOST))


def test_unreachable_gateway_is_not_reported_as_not_run(policy: RetryPolicy) -> None:
    """An earlier request with the same id may have run through another daemon (P6)."""
    tried = attempts(idempotent=False, deadline=1.0)
    reply = policy.decide(tried, UNREACHABLE, 0.9999999)
    assert_that(isinstance(reply, BaseReply) and reply.outcome, Is(Outcome.UNKNOWN))


def test_retries_stay_within_the_budget(policy: RetryPolicy) -> None:
    """While servers fail, retries would multiply the load on them."""
    for _ in range(105):
        policy.decide(attempts(), ANSWERED, 0.0)
    decisions = [policy.decide(attempts(), BUSY, 0.0) for _ in range(100)]
    granted = sum(isinstance(decision, RetryAt) for decision in decisions)
    assert_that(granted, Equals(13))


def test_quiet_time_does_not_pay_for_a_burst_of_retries(policy: RetryPolicy) -> None:
    """An unbounded balance would let all retries of an outage through at once."""
    tried = [policy.decide(attempts(deadline=1e9), BUSY, 1e6) for _ in range(100)]
    assert_that(sum(isinstance(each, RetryAt) for each in tried), Equals(30))


def test_retry_that_would_start_after_the_deadline_is_not_made(policy: RetryPolicy) -> None:
    """Nobody waits for its answer any more."""
    assert_that(policy.decide(attempts(deadline=1.0), BUSY, 1.0), Equals(BUSY))


def test_retries_of_requests_that_failed_together_spread_out(policy: RetryPolicy) -> None:
    """They would all return at the same moment and fail together again."""
    waits = [policy.backoff(3) for _ in range(200)]
    assert_that(min(waits), LessThan(0.004))
    assert_that(max(waits), GreaterThan(0.036))


OUTCOMES = st.sampled_from(list(CallOutcome))


@given(OUTCOMES, st.booleans(), st.booleans())
def test_call_is_reported_and_repeated_as_its_outcome_allows(
    outcome: CallOutcome, idempotent: bool, with_answer: bool
) -> None:
    """The table of outcomes is what P6 and P7 rest on at the gateway."""
    result = CallResult(outcome, 0.1, "g1", ANSWERED if with_answer else None, "busy")
    verdict = classify(result, idempotent)
    not_run = outcome in (CallOutcome.NOT_RUN, CallOutcome.NOT_SENT)
    complete = outcome is CallOutcome.ANSWERED and with_answer
    expected = Outcome.ANSWERED if complete else Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
    assert_that(verdict.reply.outcome, Is(expected))
    if verdict.may_retry:
        assert_that(idempotent or not_run, Is(True))


REPLIES = st.sampled_from([BUSY, FINAL, UNREACHABLE, LOST, ANSWERED])


@given(st.lists(st.tuples(REPLIES, st.booleans(), st.floats(0.0, 2.0)), max_size=60))
def test_policy_agrees_with_a_naive_one_over_any_history(
    history: list[tuple[BaseReply, bool, float]],
) -> None:
    """The budget must hold over any order of successes, failures and pauses."""
    policy = RetryPolicy(RetryBudget(0.0), random.Random(1))
    now = 0.0
    tokens = 3.0
    for reply, idempotent, pause in history:
        now += pause
        tokens = min(30.0, tokens + 3.0 * pause)
        decision = policy.decide(attempts(idempotent, 1e9), reply, now)
        useful = reply in (BUSY, UNREACHABLE) or (reply is LOST and idempotent)
        if reply is ANSWERED:
            tokens = min(30.0, tokens + 0.1)
        if useful and tokens >= 1.0 - 1e-9:
            tokens -= 1.0
            assert_that(decision, IsInstance(RetryAt))
        else:
            assert_that(decision, IsInstance(BaseReply))
