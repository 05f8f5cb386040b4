"""The interface of a model: states, steps, faults, safety properties and a goal."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import Generic, TypeVar

from fireflylink_specification._guards import Guard, Guards

State = TypeVar("State", bound=tuple[object, ...])

Step = tuple[str, State]
"""The label of a step or a fault, and the state after it."""


class BaseModel(ABC, Generic[State]):
    """A finite model of one part of the protocol.

    States are named tuples because the checking library works on tuples. ``steps`` are the
    transitions of a system without faults, including the passing of time; ``faults`` are crashes,
    losses and delays. Safety is checked over both, progress over ``steps`` after any sequence of
    both. ``bounds`` is the text in which the report states the size of the model.
    """

    name: str
    bounds: str
    guards: tuple[Guard, ...]
    """The guards without which this model violates a property."""

    def __init__(self, guards: Guards) -> None:
        self.applied_guards = guards

    @abstractmethod
    def initial(self) -> State:
        """Returns the state in which every run starts."""

    @abstractmethod
    def steps(self, state: State) -> Iterator[Step[State]]:
        """Yields the possible transitions without a fault."""

    @abstractmethod
    def faults(self, state: State) -> Iterator[Step[State]]:
        """Yields the possible faults."""

    def representative(self, state: State) -> State:
        """Returns the state that stands for all states that are symmetric to this one."""
        return state

    @abstractmethod
    def properties(self) -> Mapping[str, Callable[[State], bool]]:
        """Returns the safety properties by name."""

    @abstractmethod
    def is_goal(self, state: State) -> bool:
        """Returns whether the state is a goal of the progress check."""
