"""When every grant under an earlier version of a table has ended."""

from fireflylink_decisions.authority._timing import FENCE_WAIT


class Settlement:
    """Tells up to which version of a table everything older has ended.

    Once a majority has acknowledged a version, no authority for an earlier one can arise, and what
    was given before ends within ``FENCE_WAIT``. The state is kept only in memory; a new root waits
    again, which delays but never endangers a takeover.
    """

    __slots__ = ("_ends", "_settled")

    def __init__(self) -> None:
        self._ends: dict[int, float] = {}
        self._settled = 0

    def note_majority(self, version: int, now: float) -> None:
        """Takes the time at which a majority was seen to have acknowledged a version."""
        if version > self._settled:
            self._ends.setdefault(version, now + FENCE_WAIT)

    def note_settled(self, version: int) -> None:
        """Takes a version that another daemon has found settled."""
        self._advance(version)

    def settled_version(self, now: float) -> int:
        """Returns the highest version for which all earlier grants have ended."""
        for version, end in sorted(self._ends.items()):
            if end <= now:
                self._advance(version)
        return self._settled

    def _advance(self, version: int) -> None:
        self._settled = max(self._settled, version)
        self._ends = {key: end for key, end in self._ends.items() if key > self._settled}
