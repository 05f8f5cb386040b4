"""Fixture that reuses the explored states of a model in the tests of safety and progress."""

from collections.abc import Callable
from functools import cache
from typing import Any

import pytest

from fireflylink_specification import BaseModel, ModelChecker

Checkers = Callable[[type[BaseModel[Any]]], ModelChecker]


@pytest.fixture(scope="module")
def checker_of() -> Checkers:
    return cache(ModelChecker)
