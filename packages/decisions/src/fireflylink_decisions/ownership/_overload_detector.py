"""Detection of servers whose load has exceeded their share for some time."""

from fireflylink_core import ServerIncarnation

SUSTAINED_OVERLOAD_SECONDS = 2.0
"""An overload that lasts so long is not a random variation of the measured rate."""


class OverloadDetector:
    """Tracks since when the load of each server has exceeded its share.

    The planner acts on a large excess at once. A small one may be a random variation, because rates
    are measured over about one second, so it has to be sustained.
    """

    __slots__ = ("overloaded_since",)

    def __init__(self) -> None:
        self.overloaded_since: dict[ServerIncarnation, float] = {}

    def update(self, overloaded: frozenset[ServerIncarnation], now: float) -> None:
        """Replaces the set of servers whose load exceeds their share."""
        self.overloaded_since = {
            incarnation: self.overloaded_since.get(incarnation, now) for incarnation in overloaded
        }

    def sustained(self, now: float) -> frozenset[ServerIncarnation]:
        """Returns the servers that have been overloaded for ``SUSTAINED_OVERLOAD_SECONDS``."""
        return frozenset(
            incarnation
            for incarnation, since in self.overloaded_since.items()
            if now >= since + SUSTAINED_OVERLOAD_SECONDS
        )
