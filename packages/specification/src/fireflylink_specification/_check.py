"""Checks of a model: safety over steps and faults, progress over steps after any faults."""

from collections.abc import Callable
from typing import Any

import minicheck

from fireflylink_specification._guards import ALL_GUARDS, Guard, Guards
from fireflylink_specification._model import BaseModel, Step

MAX_STATES = 1_000_000


class SafetyResult:
    """Whether the properties hold; ``trace`` is a shortest run that breaks ``broken_property``."""

    __slots__ = ("broken_property", "exhaustive", "holds", "model_name", "states", "trace")

    def __init__(
        self,
        model_name: str,
        states: int,
        holds: bool,
        exhaustive: bool,
        broken_property: str | None,
        trace: tuple[Step[Any], ...],
    ) -> None:
        self.model_name = model_name
        self.states = states
        self.holds = holds
        self.exhaustive = exhaustive
        self.broken_property = broken_property
        self.trace = trace

    @property
    def steps(self) -> tuple[str, ...]:
        """What happens in the trace, without the initial state."""
        return tuple(label for label, _ in self.trace[1:])


class ProgressResult:
    """Whether every reachable state leads to the goal without further faults."""

    __slots__ = ("holds", "model_name", "note", "states", "trace")

    def __init__(
        self, model_name: str, states: int, holds: bool, note: str, trace: tuple[Step[Any], ...]
    ) -> None:
        self.model_name = model_name
        self.states = states
        self.holds = holds
        self.note = note
        self.trace = trace


def check_safety(model_type: type[BaseModel[Any]], without: Guard | None = None) -> SafetyResult:
    """Checks the safety properties of a model with all guards or with one removed.

    The search stops at the first broken property, so ``states`` counts the whole space only if the
    properties hold.
    """
    model = model_type(Guards(without) if without else ALL_GUARDS)
    search = _Search(model)
    found = minicheck.check_safety(search.safety_protocol(), max_states=MAX_STATES)
    broken = next(
        (name for name, result in found["properties"].items() if result["holds"] is False), None
    )
    trace: tuple[Step[Any], ...] = ()
    if broken is not None:
        trace = _trace(found["properties"][broken]["counterexample"])
    holds = all(result["holds"] is True for result in found["properties"].values())
    return SafetyResult(
        model.name, found["reachable_states"], holds, found["exhaustive"], broken, trace
    )


def check_progress(model_type: type[BaseModel[Any]]) -> ProgressResult:
    """Checks that the goal is reachable from every reachable state without further faults."""
    model = model_type(ALL_GUARDS)
    found = minicheck.check_liveness(_Search(model).progress_protocol())
    return ProgressResult(
        model.name,
        found.get("reachable_states", 0),
        found["holds"] is True,
        found.get("note", ""),
        _trace(found.get("counterexample") or []),
    )


class _Search:
    """Adapts a model to the library and stops the search at the first broken property."""

    __slots__ = ("broken", "model", "successors")

    def __init__(self, model: BaseModel[Any]) -> None:
        self.model = model
        self.broken = False
        self.successors: dict[Any, list[Step[Any]]] = {}

    def safety_protocol(self) -> Any:
        fields = type(self.model.initial())._fields
        return minicheck.Protocol(
            name=self.model.name,
            candidate=False,
            fields=fields,
            initial=self.model.initial(),
            transitions=self._all_successors,
            invariants={
                name: self._watched(holds) for name, holds in self.model.properties().items()
            },
        )

    def progress_protocol(self) -> Any:
        """States are (state, healed); once healed, no fault happens any more."""
        return minicheck.Protocol(
            name=self.model.name,
            candidate=False,
            fields=("state", "healed"),
            initial=(self.model.initial(), False),
            transitions=self._healing_successors,
            invariants={},
            goal=lambda values: values["healed"] and self.model.is_goal(values["state"]),
        )

    def _watched(self, holds: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
        make = type(self.model.initial())._make

        def watched(values: dict[str, Any]) -> bool:
            result = holds(make(values.values()))
            self.broken = self.broken or not result
            return result

        return watched

    def _all_successors(self, state: Any) -> list[Step[Any]]:
        if self.broken:
            return []
        return [*self.model.steps(state), *self.model.faults(state)]

    def _healing_successors(self, pair: tuple[Any, bool]) -> list[Step[Any]]:
        known = self.successors.get(pair)
        if known is not None:
            return known
        state, healed = pair
        successors = [(label, (after, healed)) for label, after in self.model.steps(state)]
        if not healed:
            successors += [(label, (after, False)) for label, after in self.model.faults(state)]
            successors.append(("no fault happens from here on", (state, True)))
        self.successors[pair] = successors
        return successors


def _trace(counterexample: list[dict[str, Any]]) -> tuple[Step[Any], ...]:
    return tuple((entry["label"] or "start", entry["state"]) for entry in counterexample)
