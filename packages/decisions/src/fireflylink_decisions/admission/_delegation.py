"""Requests of a pooled service that are run by another group."""

from fireflylink_decisions.admission._admission_values import Delegated
from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.routing import GroupChoice


class Delegation:
    """Sends a request to another group if it is expected to be answered there earlier.

    The group of a non-idempotent request is fixed by its request id. When servers of that group
    are slow or cold, the others have free slots that would stay unused.
    """

    __slots__ = ("calls", "choice", "own_group")

    def __init__(self, own_group: str, choice: GroupChoice) -> None:
        self.own_group = own_group
        self.choice = choice
        self.calls: dict[str, Call] = {}

    def target(self, own_seconds: float, now: float) -> str:
        """Returns the group that is expected to answer earlier than this one, or empty."""
        others = [group_id for group_id in self.choice.views if group_id != self.own_group]
        best = self.choice.quickest(others, now)
        return best[0] if best is not None and best[1] < own_seconds else ""

    def start(self, call: Call, group_id: str, now: float) -> Delegated:
        """Counts a request that another group runs."""
        call.group_id = group_id
        self.calls[call.call_id] = call
        self.choice.sent(group_id, now)
        return Delegated(call.call_id, call.request, group_id)

    def end(self, call_id: str) -> Call | None:
        """Stops counting a request, or returns None if it was not delegated."""
        return self.calls.pop(call_id, None)
