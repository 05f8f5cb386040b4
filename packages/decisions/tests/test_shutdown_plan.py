"""The stages of a shutdown, and which requests may be passed on in it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from fireflylink_decisions.shutdown import ShutdownPlan


@pytest.mark.parametrize("leave_seconds", [0.0, 0.3, 1.0, 3.0, 6.0, 60.0])
def test_the_stages_of_a_shutdown_follow_each_other_within_its_time(leave_seconds):
    """Guards against a daemon with a short time for its shutdown that is killed, or that has no
    time left for the requests that it has taken."""
    plan = ShutdownPlan.of(100.0, leave_seconds)
    stages = [100.0, plan.accepts_until, plan.handles_until, plan.answers_until, plan.ends_at]
    assert_that(stages, Equals(sorted(stages)))
    assert_that(plan.ends_at <= 100.0 + leave_seconds, Is(True))
    left_seconds = plan.answers_until - plan.handles_until
    assert_that(left_seconds >= (plan.answers_until - 100.0) * 0.39, Is(True))


def test_a_request_is_passed_on_only_while_it_can_end_in_time():
    """Guards against requests that are passed on late in a planned stop and then cut."""
    plan = ShutdownPlan.of(100.0, 6.0)
    late = plan.bounded_deadline(200.0)
    assert_that(plan.may_pass_on(0.2, late, 100.1), Is(True))
    assert_that(plan.may_pass_on(0.2, late, 103.0), Is(True))
    assert_that(plan.may_pass_on(0.2, late, 105.0), Is(False))
    assert_that(plan.may_pass_on(2.0, late, 100.1), Is(False))


def test_a_request_whose_deadline_comes_before_the_end_is_passed_on():
    """Guards against refusals at a slow server from the start of a planned stop on: a request that
    ends by its own deadline is not cut."""
    plan = ShutdownPlan.of(100.0, 6.0)
    assert_that(plan.may_pass_on(2.0, plan.bounded_deadline(103.0), 100.1), Is(True))


def test_deadlines_end_before_the_connections_do():
    """Guards against an answer that is written when its connection is closed already."""
    plan = ShutdownPlan.of(100.0, 6.0)
    assert_that(plan.bounded_deadline(103.0), Equals(103.0))
    assert_that(plan.bounded_deadline(200.0), LessThan(plan.ends_at))
