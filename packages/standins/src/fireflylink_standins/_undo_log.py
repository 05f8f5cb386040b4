"""How to take back the changes of the stand-in of the store, as a restore from a copy does."""

from collections.abc import Callable

Undo = Callable[[], None]
"""Takes back one change; later changes must have been taken back before."""


class UndoLog:
    """Changes in the order in which they were made, each with its time in seconds on the clock."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: list[tuple[float, Undo]] = []

    def record(self, made_at: float, undo: Undo) -> None:
        """Records a change and how it is taken back."""
        self.entries.append((made_at, undo))

    def undo_since(self, moment: float) -> None:
        """Takes back all changes that were made after a moment, the latest one first."""
        while self.entries and self.entries[-1][0] > moment:
            _, undo = self.entries.pop()
            undo()
