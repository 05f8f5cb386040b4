"""Which attempts are retried, and which reply a caller gets."""

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

SERVER_ERROR = Answered(ServerAnswer(500, (), b""), None)
DECLINED = Declined(503, False, None)
MISDIRECTED = Declined(421, True, None)
RESET = Lost(LostReason.RESET, "reset")


@pytest.mark.parametrize("reason", list(LostReason))
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(reason):
    """Guards against running a non-idempotent request twice: it may have run, and only its answer
    was lost."""
    attempts = Attempts(idempotent=False, max_attempts=3)
    decision = attempts.decide(Lost(reason, "lost"), 1.0, True)
    assert_that(decision, IsInstance(ReturnReply))
    assert_that(decision.reply, IsInstance(OutcomeUnknown))


def test_a_declined_non_idempotent_request_is_retried_and_then_reported_as_not_run():
    """Guards against failing a request that certainly has not run without trying another server,
    and against reporting its outcome as unknown."""
    attempts = Attempts(idempotent=False, max_attempts=2)
    assert_that(attempts.decide(DECLINED, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(DECLINED, 1.0, True)
    assert_that(decision.reply, IsInstance(NotRun))


def test_a_request_that_may_have_run_is_not_reported_as_not_run():
    """Guards against a reply that guarantees that a request has not run, because its last attempt
    was declined, although an earlier one may have run."""
    attempts = Attempts(idempotent=True, max_attempts=2)
    assert_that(attempts.decide(RESET, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(DECLINED, 1.0, True)
    assert_that(decision.reply, IsInstance(OutcomeUnknown))


def test_attempts_are_limited_by_max_attempts():
    """Guards against sending one request to more servers than ``max_attempts`` allows."""
    attempts = Attempts(idempotent=True, max_attempts=2)
    assert_that(attempts.decide(SERVER_ERROR, 1.0, True), IsInstance(Retry))
    decision = attempts.decide(SERVER_ERROR, 1.0, True)
    assert_that(decision.reply, Is(SERVER_ERROR.answer))


@pytest.mark.parametrize("result", [SERVER_ERROR, DECLINED, RESET, MISDIRECTED])
def test_a_request_that_reached_a_server_is_not_retried_without_budget(result):
    """Guards against retries beyond the budget that all daemons share."""
    attempts = Attempts(idempotent=True, max_attempts=3)
    assert_that(attempts.decide(result, 1.0, False), IsInstance(ReturnReply))


def test_a_failed_connection_does_not_count_as_having_reached_a_server():
    """Guards against spending retry budget and ``max_attempts`` on servers that got no request."""
    attempts = Attempts(idempotent=False, max_attempts=1)
    decision = attempts.decide(NotSent("refused"), 1.0, False)
    assert_that(decision, IsInstance(Retry))
    assert_that(decision.reached_server, Equals(False))


def test_a_server_error_of_a_non_idempotent_request_is_returned_to_the_caller():
    """Guards against retrying a non-idempotent request that the server has begun to run."""
    attempts = Attempts(idempotent=False, max_attempts=3)
    assert_that(attempts.decide(SERVER_ERROR, 1.0, True).reply, Is(SERVER_ERROR.answer))
