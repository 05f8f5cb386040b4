"""Checks the models of the ownership protocol, with all guards and with each guard removed."""

from collections.abc import Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from fireflylink_specification import MODELS, BaseModel, Guard, ModelChecker

ModelType = type[BaseModel[Any]]
REMOVALS = [(model, guard) for model in MODELS for guard in model.guards]


def _test_id(value: ModelType | Guard) -> str:
    return value.key if isinstance(value, Guard) else value.name


each_model = pytest.mark.parametrize("model", MODELS, ids=_test_id)


@each_model
def test_safety_holds_exhaustively_with_all_guards(
    checker_of: Callable[[ModelType], ModelChecker], model: ModelType
) -> None:
    """Guards against a protocol that lets two servers hold a key at once.

    An unfinished search fails too, because it proves nothing about the remaining states.
    """
    result = checker_of(model).safety()
    assert_that(result.steps, Equals(()))
    assert_that(result.holds, Is(True))
    assert_that(result.exhaustive, Is(True))


@each_model
def test_goal_is_reachable_after_any_faults(
    checker_of: Callable[[ModelType], ModelChecker], model: ModelType
) -> None:
    """Guards against a state from which the owner can never get the key after faults have ended.

    The check shows that a goal can be reached, not that every run reaches it.
    """
    result = checker_of(model).progress()
    assert_that(result.steps, Equals(()))
    assert_that(result.holds, Is(True))


@pytest.mark.parametrize(("model", "guard"), REMOVALS, ids=_test_id)
def test_removed_guard_has_a_counterexample(model: ModelType, guard: Guard) -> None:
    """Guards against a guard of a model that is unnecessary.

    The checker then finds no violation when that guard is removed.
    """
    result = ModelChecker(model, without=guard).safety()
    assert_that(result.holds, Is(False))
    assert_that(len(result.steps), GreaterThan(0))


def test_every_guard_is_listed_by_some_model() -> None:
    """Guards against a guard that no model lists: nothing would show that it is needed."""
    removed = {guard for model in MODELS for guard in model.guards}
    assert_that(removed, Equals(set(Guard)))
