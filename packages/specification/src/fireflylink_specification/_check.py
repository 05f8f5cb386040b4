"""Explores the states of a model and checks its safety and its progress.

Safety is checked over steps and faults. Progress is checked over steps alone: from every
state that steps and faults can reach, some sequence of steps must reach a goal. The check does not
show that every sequence does.
"""

from itertools import chain
from typing import Any

import minicheck

from fireflylink_specification._guards import ALL_GUARDS, Guard, Guards
from fireflylink_specification._model import BaseModel, Step

MAX_STATES = 200_000
"""Default bound of a safety check. minicheck's progress check has the same bound."""


class SafetyResult:
    """Whether the properties hold; ``trace`` is a shortest run that violates ``violated_property``.

    The search stops at the first violation, so ``states`` counts the whole state space only if the
    properties hold.
    """

    __slots__ = ("exhaustive", "holds", "states", "trace", "violated_property")

    def __init__(
        self,
        states: int,
        holds: bool,
        exhaustive: bool,
        violated_property: str | None,
        trace: tuple[Step[Any], ...],
    ) -> None:
        self.states = states
        self.holds = holds
        self.exhaustive = exhaustive
        self.violated_property = violated_property
        self.trace = trace

    @property
    def steps(self) -> tuple[str, ...]:
        """The labels of the trace's transitions (steps and faults), without the initial state."""
        return tuple(label for label, _ in self.trace[1:])


class ProgressResult:
    """Whether a goal can be reached without further faults from every reachable state.

    If not, ``trace`` is a shortest run to a state from which no goal can be reached. If the search
    did not finish, ``holds`` is false, ``trace`` is empty and ``note`` says why.
    """

    __slots__ = ("holds", "note", "trace")

    def __init__(self, holds: bool, note: str, trace: tuple[Step[Any], ...]) -> None:
        self.holds = holds
        self.note = note
        self.trace = trace

    @property
    def steps(self) -> tuple[str, ...]:
        """The labels of the trace's transitions (steps and faults), without the initial state."""
        return tuple(label for label, _ in self.trace[1:])


class ModelChecker:
    """Checks one model with all guards, or with all but one.

    The safety check and the progress check share the explored states. ``states`` has the explored
    representatives by number; ``state_numbers`` maps them, and the states that they stand for, to
    these numbers. ``successors`` has the labels and numbers of the states that follow by steps,
    and those that follow by faults.

    Example::

        checker = ModelChecker(SteadyDeciderModel, without=Guard.HOLD_WAIT)
        checker.safety().steps
    """

    __slots__ = ("model", "state_numbers", "states", "successors", "violation_found")

    def __init__(self, model_type: type[BaseModel[Any]], without: Guard | None = None) -> None:
        self.model = model_type(Guards(without) if without else ALL_GUARDS)
        self.violation_found = False
        self.states: list[Any] = []
        self.state_numbers: dict[Any, int] = {}
        self.successors: dict[int, tuple[list[tuple[str, int]], list[tuple[str, int]]]] = {}

    def safety(self, max_states: int = MAX_STATES) -> SafetyResult:
        """Checks the safety properties over steps and faults."""
        self.violation_found = False
        protocol = minicheck.Protocol(
            name=self.model.name,
            candidate=False,
            fields=("number",),
            initial=(self._state_number(self.model.initial()),),
            transitions=self._transitions,
            invariants={name: self._invariant(name) for name in self.model.properties()},
        )
        report = minicheck.check_safety(protocol, max_states=max_states)
        results = report["properties"]
        violated_property = next(
            (name for name in results if results[name]["holds"] is False), None
        )
        trace: tuple[Step[Any], ...] = ()
        if violated_property is not None:
            trace = self._trace(results[violated_property]["counterexample"])
        holds = all(result["holds"] is True for result in results.values())
        return SafetyResult(
            report["reachable_states"], holds, report["exhaustive"], violated_property, trace
        )

    def progress(self) -> ProgressResult:
        """Checks that steps without faults can reach a goal from every reachable state.

        Each state of this search also records whether faults have ended.
        """
        self.violation_found = False
        protocol = minicheck.Protocol(
            name=self.model.name,
            candidate=False,
            fields=("number", "faults_ended"),
            initial=(self._state_number(self.model.initial()), False),
            transitions=self._transitions_until_faults_end,
            invariants={},
            goal=lambda values: (
                values["faults_ended"] and self.model.is_goal(self.states[values["number"]])
            ),
        )
        report = minicheck.check_liveness(protocol)
        trace = self._trace(report.get("counterexample") or [])
        return ProgressResult(report["holds"] is True, report.get("note", ""), trace)

    def _state_number(self, state: Any) -> int:
        """Returns the number of the representative of ``state``; numbers a new representative."""
        known = self.state_numbers.get(state)
        if known is not None:
            return known
        representative = self.model.representative(state)
        number = self.state_numbers.setdefault(representative, len(self.states))
        if number == len(self.states):
            self.states.append(representative)
        self.state_numbers[state] = number
        return number

    def _successors(self, number: int) -> tuple[list[tuple[str, int]], list[tuple[str, int]]]:
        known = self.successors.get(number)
        if known is None:
            state = self.states[number]
            known = (
                [(label, self._state_number(after)) for label, after in self.model.steps(state)],
                [(label, self._state_number(after)) for label, after in self.model.faults(state)],
            )
            self.successors[number] = known
        return known

    def _transitions(self, values: tuple[int]) -> list[tuple[str, tuple[int]]]:
        """Returns the transitions of a state. After a violation there are none: the search ends."""
        if self.violation_found:
            return []
        steps, faults = self._successors(values[0])
        return [(label, (number,)) for label, number in steps + faults]

    def _transitions_until_faults_end(
        self, values: tuple[int, bool]
    ) -> list[tuple[str, tuple[int, bool]]]:
        number, faults_ended = values
        steps, faults = self._successors(number)
        if faults_ended:
            return [(label, (after, True)) for label, after in steps]
        transitions = [(label, (after, False)) for label, after in steps + faults]
        transitions.append(("no fault happens from here on", (number, True)))
        return transitions

    def _invariant(self, name: str) -> Any:
        holds = self.model.properties()[name]

        def invariant(values: dict[str, int]) -> bool:
            result = holds(self.states[values["number"]])
            self.violation_found = self.violation_found or not result
            return result

        return invariant

    def _trace(self, counterexample: list[dict[str, Any]]) -> tuple[Step[Any], ...]:
        """Returns the transitions of a counterexample, found by replaying it in the model.

        The checker explores representatives of states. The replay starts from the initial state, so
        that a label names the same server or decider in every step.
        """
        if not counterexample:
            return ()
        state = self.model.initial()
        trace: list[Step[Any]] = [("start", state)]
        for entry in counterexample[1:]:
            number = entry["state"]["number"]
            if number == self._state_number(state):
                continue  # The step that ends the faults leaves the state unchanged.
            successors = chain(self.model.steps(state), self.model.faults(state))
            label, state = next(
                step for step in successors if self._state_number(step[1]) == number
            )
            trace.append((label, state))
        return tuple(trace)
