"""What may be repeated, and what a caller is told."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, IsInstance

from fireflylink_core import (
    Answered,
    Declined,
    Lost,
    LostReason,
    NotRun,
    NotSent,
    OutcomeUnknown,
    ServerAnswer,
)
from fireflylink_decisions.retries import Attempts, Retry, ReturnReply

FAILED = Answered(ServerAnswer(500, (), b""), None)
SHED = Declined(503, False, None)
MISDIRECTED = Declined(421, True, None)
RESET = Lost(LostReason.RESET, "reset")


@pytest.mark.parametrize("reason", list(LostReason))
def test_an_order_that_may_have_run_is_never_sent_again(reason):
    """Guards against TWICE: an order that ran although its answer was lost."""
    attempts = Attempts(idempotent=False, max_attempts=3)
    decision = attempts.decide(Lost(reason, "lost"), 1.0, True)
    assert_that(decision, IsInstance(ReturnReply))
    assert_that(decision.reply, IsInstance(OutcomeUnknown))


def test_an_order_that_a_server_declined_is_sent_again_and_then_told_not_run():
    """Guards against giving up an order that certainly has not run."""
    attempts = Attempts(idempotent=False, max_attempts=2)
    assert_that(attempts.decide(SHED, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(SHED, 1.0, True)
    assert_that(decision.reply, IsInstance(NotRun))


def test_a_request_that_may_have_run_is_not_told_not_run():
    """Guards against REFUSED: a promise after an attempt that may have run."""
    attempts = Attempts(idempotent=True, max_attempts=2)
    assert_that(attempts.decide(RESET, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(SHED, 1.0, True)
    assert_that(decision.reply, IsInstance(OutcomeUnknown))


def test_no_more_servers_than_the_route_allows():
    """Guards against BUDGET: one request on more servers than ``max_attempts``."""
    attempts = Attempts(idempotent=True, max_attempts=2)
    assert_that(attempts.decide(FAILED, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(FAILED, 1.0, True)
    assert_that(decision.reply, Is(FAILED.answer))


@pytest.mark.parametrize("result", [FAILED, SHED, RESET, MISDIRECTED])
def test_nothing_that_arrived_is_repeated_without_budget(result):
    """Guards against BUDGET: repeats beyond what all daemons may send."""
    attempts = Attempts(idempotent=True, max_attempts=3)
    assert_that(attempts.decide(result, 1.0, False), IsInstance(ReturnReply))


def test_a_connection_that_could_not_be_opened_is_no_arrival():
    """Guards against spending the budget on servers that got nothing."""
    attempts = Attempts(idempotent=False, max_attempts=1)
    decision = attempts.decide(NotSent("refused"), 1.0, False)
    assert_that(decision, IsInstance(Retry))
    assert_that(decision.reached_server, Equals(False))


def test_a_failure_that_the_server_reports_is_passed_on_for_an_order():
    """Guards against repeating an order that the server began to run."""
    attempts = Attempts(idempotent=False, max_attempts=3)
    assert_that(attempts.decide(FAILED, 1.0, True).reply, Is(FAILED.answer))
