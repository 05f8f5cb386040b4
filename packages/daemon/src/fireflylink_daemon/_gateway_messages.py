"""Messages of the gateway task's mailbox that other tasks and requests send."""

from fireflylink_core import BaseValue
from fireflylink_daemon._view import View


class ViewChanged(BaseValue):
    """The control task has a newer view."""

    __slots__ = ("view",)

    def __init__(self, view: View) -> None:
        self.view = view


class GrantMissing(BaseValue):
    """A server refused a request because it has no grant, as after a restart."""

    __slots__ = ("group_id",)

    def __init__(self, group_id: str) -> None:
        self.group_id = group_id
