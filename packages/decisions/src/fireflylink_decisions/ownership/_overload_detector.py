"""How long servers have had more than their part of the load."""

from fireflylink_core import ServerIncarnation

PATIENCE_SECONDS = 2.0
"""A load over so long a time is no chance variation any more."""


class OverloadDetector:
    """Since when each server is above its share of the load.

    A large excess is acted on at once. A small one may be chance, as rates are measured over about
    a second, so it has to last.
    """

    __slots__ = ("overloaded_since",)

    def __init__(self) -> None:
        self.overloaded_since: dict[ServerIncarnation, float] = {}

    def update(self, overloaded: frozenset[ServerIncarnation], now: float) -> None:
        """Replaces the set of servers that are above their share now."""
        self.overloaded_since = {
            incarnation: self.overloaded_since.get(incarnation, now) for incarnation in overloaded
        }

    def sustained(self, now: float) -> frozenset[ServerIncarnation]:
        """Returns the servers that have been above their share for long."""
        return frozenset(
            incarnation
            for incarnation, since in self.overloaded_since.items()
            if now >= since + PATIENCE_SECONDS
        )
