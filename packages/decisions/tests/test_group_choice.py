"""Guards the choice of a group: load that is older than one's own requests misleads."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_decisions.routing import GroupChoice, GroupReport


@pytest.fixture
def choice() -> GroupChoice:
    """Two groups, the second one 6 ms away."""
    made = GroupChoice({"near": 0.0, "far": 0.006})
    made.report(GroupReport("near", 0, 8, 0.010, received_at=0.0))
    made.report(GroupReport("far", 0, 8, 0.010, received_at=0.0))
    return made


def test_busy_group_is_left_for_one_that_is_free(choice: GroupChoice) -> None:
    """Requests would wait in one group while servers of another do nothing."""
    assert_that(choice.choose(("near", "far"), 0.1), Equals("near"))
    choice.report(GroupReport("near", 16, 8, 0.010, received_at=0.1))
    assert_that(choice.choose(("near", "far"), 0.1), Equals("far"))


def test_own_requests_since_the_report_count(choice: GroupChoice) -> None:
    """Every request until the next report would go to the group that was free at the last one."""
    for _ in range(14):
        choice.sent("near", 0.1)
    assert_that(choice.choose(("near", "far"), 0.1), Equals("far"))


def test_requests_on_their_way_during_a_report_still_count(choice: GroupChoice) -> None:
    """A report does not include them, so the group would look free too early."""
    for _ in range(20):
        choice.sent("far", 0.099)
    choice.report(GroupReport("far", 0, 8, 0.010, received_at=0.1))
    seconds = choice.views["far"].expected_seconds(0.1)
    assert_that(seconds is not None and seconds > 0.03, Is(True))


def test_group_that_does_not_report_is_not_preferred(choice: GroupChoice) -> None:
    """Its gateway may be lost."""
    choice.report(GroupReport("far", 0, 8, 0.010, received_at=10.0))
    assert_that(choice.choose(("near", "far"), 10.0), Equals("far"))


def test_group_without_capacity_is_not_chosen(choice: GroupChoice) -> None:
    """A data centre that is taken out of service must get no new work (P4)."""
    choice.report(GroupReport("near", 0, 0, 0.010, received_at=0.1))
    assert_that(choice.choose(("near", "far"), 0.1), Equals("far"))
