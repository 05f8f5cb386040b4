"""Guards the ownership protocol: each property of each model and the need for each of its guards."""

from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from fireflylink_specification import (
    BaseModel,
    Guard,
    TakeoverModel,
    check_progress,
    check_safety,
)

MODELS: tuple[type[BaseModel[Any]], ...] = (TakeoverModel,)
REMOVALS = [(model, guard) for model in MODELS for guard in model.guards]


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_safety_holds_exhaustively_with_all_guards(model: type[BaseModel[Any]]) -> None:
    """A protocol with all its rules must not let two owners act or lose a told version."""
    result = check_safety(model)
    assert_that(result.steps, Equals(()))
    assert_that(result.holds, Is(True))
    assert_that(result.exhaustive, Is(True))


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_goal_is_reachable_after_any_faults(model: type[BaseModel[Any]]) -> None:
    """Faults that have ended must not leave a shard without an owner for ever."""
    result = check_progress(model)
    assert_that([label for label, _ in result.trace], Equals([]))
    assert_that(result.holds, Is(True))


@pytest.mark.parametrize(
    ("model", "guard"), REMOVALS, ids=[f"{model.name}-{guard.key}" for model, guard in REMOVALS]
)
def test_removed_guard_has_a_counterexample(model: type[BaseModel[Any]], guard: Guard) -> None:
    """A rule that could be dropped without effect would be unnecessary or not modelled."""
    result = check_safety(model, without=guard)
    assert_that(result.holds, Is(False))
    assert_that(len(result.steps), GreaterThan(0))
