"""Clocks. Code that makes decisions gets its clock as an argument, so that tests control time."""

import abc
import time

MILLISECONDS_PER_SECOND = 1000.0


class BaseClock(abc.ABC):
    """A source of time: monotonic time for deadlines, and wall-clock time."""

    __slots__ = ()

    @abc.abstractmethod
    def now(self) -> float:
        """Returns seconds on a monotonic clock that also runs while the instance is suspended."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns the wall-clock time in milliseconds since the Unix epoch."""


class SystemClock(BaseClock):
    """The operating system's clock.

    ``now`` reads ``CLOCK_BOOTTIME``, because ``time.monotonic`` stops while the instance is
    suspended: after a suspend, a lease holder must detect that its lease has expired.
    """

    __slots__ = ()

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        return int(time.time() * MILLISECONDS_PER_SECOND)


class ManualClock(BaseClock):
    """A clock that moves only when ``advance`` is called, for tests and simulations.

    Example::

        clock = ManualClock()
        clock.advance(2.5)
    """

    __slots__ = ("current_seconds", "wall_offset_ms")

    def __init__(
        self, current_seconds: float = 1000.0, wall_offset_ms: int = 1_700_000_000_000
    ) -> None:
        self.current_seconds = current_seconds
        self.wall_offset_ms = wall_offset_ms

    def now(self) -> float:
        return self.current_seconds

    def wall_ms(self) -> int:
        return self.wall_offset_ms + int(self.current_seconds * MILLISECONDS_PER_SECOND)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self.current_seconds += seconds
