"""The platform stand-in's list of daemon instances, which lags."""

from typing import Any

from fireflylink_core import BaseClock

InstanceDocument = dict[str, Any]


class InstanceList:
    """Instances by id, and changes that are not visible yet.

    A change becomes visible ``lag`` seconds after it was made, changes in the order in which they
    become visible.
    """

    __slots__ = ("clock", "lag", "pending", "visible")

    def __init__(self, clock: BaseClock, lag: float) -> None:
        self.clock = clock
        self.lag = lag
        self.visible: dict[str, InstanceDocument] = {}
        self.pending: list[tuple[float, str | None, InstanceDocument | None]] = []

    def put(self, instance: InstanceDocument, lag: float | None = None) -> None:
        """Adds or changes an instance."""
        self._change(str(instance["instance_id"]), instance, lag)

    def remove(self, instance_id: str, lag: float | None = None) -> None:
        """Removes an instance."""
        self._change(instance_id, None, lag)

    def replace_all(self, instances: list[InstanceDocument], lag: float | None = None) -> None:
        """Replaces the whole list."""
        self._change(None, None, lag)
        for instance in instances:
            self.put(instance, lag)

    def read(self) -> list[InstanceDocument]:
        """Returns the visible instances in the order of their ids."""
        now = self.clock.now()
        due = [change for change in self.pending if change[0] <= now]
        self.pending = [change for change in self.pending if change[0] > now]
        for _, instance_id, instance in sorted(due, key=lambda change: change[0]):
            self._apply(instance_id, instance)
        return [self.visible[instance_id] for instance_id in sorted(self.visible)]

    def _change(
        self, instance_id: str | None, instance: InstanceDocument | None, lag: float | None
    ) -> None:
        visible_at = self.clock.now() + (self.lag if lag is None else lag)
        self.pending.append((visible_at, instance_id, instance))

    def _apply(self, instance_id: str | None, instance: InstanceDocument | None) -> None:
        if instance_id is None:
            self.visible.clear()
        elif instance is None:
            self.visible.pop(instance_id, None)
        else:
            self.visible[instance_id] = instance
