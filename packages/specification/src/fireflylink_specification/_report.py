"""Formats the results of the checks as lines of text."""

from collections.abc import Iterator
from typing import Any

from fireflylink_specification._check import ModelChecker
from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._models import MODELS

ROW = "{:<32}{:<64}{:>7}  {:<6}{:<11}{}"


def model_lines() -> Iterator[str]:
    """Yields a table with one row for each model, checked with all guards."""
    yield ROW.format("model", "bounds", "states", "holds", "exhaustive", "progress")
    for model in MODELS:
        checker = ModelChecker(model)
        safety, progress = checker.safety(), checker.progress()
        yield ROW.format(
            model.name,
            model.bounds,
            safety.states,
            _yes_or_no(safety.holds),
            _yes_or_no(safety.exhaustive),
            _yes_or_no(progress.holds),
        )


def removal_lines() -> Iterator[str]:
    """Yields, for each model and each guard that it needs, a violation without that guard."""
    for model, guard in _models_and_guards():
        violated_property, trace = _counterexample(model, guard)
        yield ""
        yield f"without {guard.key} ({guard.rule})"
        yield f"  {model.name}: {len(trace) - 1} steps violate '{violated_property}'"
        yield from (f"    {number}. {label}" for number, (label, _) in enumerate(trace) if number)


def trace_lines(guard: Guard) -> Iterator[str]:
    """Yields the counterexamples of one removed guard with the fields that each step changes."""
    for model, removed in _models_and_guards():
        if removed is not guard:
            continue
        violated_property, trace = _counterexample(model, guard)
        yield f"{model.name} without {guard.key}: '{violated_property}' is violated"
        before: dict[str, Any] = {}
        for number, (label, state) in enumerate(trace):
            fields = state._asdict()
            yield f"  {number}. {label}"
            yield from (
                f"       {name} = {value}"
                for name, value in fields.items()
                if before.get(name) != value or not number
            )
            before = fields


def _models_and_guards() -> Iterator[tuple[type[BaseModel[Any]], Guard]]:
    """Yields each model with each guard without which it violates a property."""
    for model in MODELS:
        for guard in model.guards:
            yield model, guard


def _counterexample(model: type[BaseModel[Any]], guard: Guard) -> tuple[str, tuple[Step[Any], ...]]:
    checker = ModelChecker(model, without=guard)
    safety = checker.safety()
    return safety.violated_property or "nothing", safety.trace


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "NO"
