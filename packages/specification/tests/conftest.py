"""Fixture that reuses the explored states of a model in all tests of a module."""

from collections.abc import Callable
from functools import cache
from typing import Any

import pytest

from fireflylink_specification import BaseModel, ModelChecker

CheckerFactory = Callable[[type[BaseModel[Any]]], ModelChecker]


@pytest.fixture(scope="module")
def checker_of() -> CheckerFactory:
    return cache(ModelChecker)
