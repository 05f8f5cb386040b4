"""A step of a plan."""

import abc

from fireflylink_decisions.ownership._draft import PlanningDraft


class BaseRule(abc.ABC):
    """Changes the draft of a plan for one reason."""

    __slots__ = ()

    @abc.abstractmethod
    def apply(self, draft: PlanningDraft) -> None:
        """Changes the draft."""
