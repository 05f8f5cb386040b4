"""Clocks that decisions take as an argument."""

import abc
import time

MILLISECONDS_PER_SECOND = 1000.0


class BaseClock(abc.ABC):
    """A source of time for deadlines and for request identifiers."""

    __slots__ = ()

    @abc.abstractmethod
    def now(self) -> float:
        """Returns seconds on a clock that never goes back and runs through a suspend."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch on the instance's wall clock."""


class SystemClock(BaseClock):
    """The clock of this instance.

    ``CLOCK_BOOTTIME`` is used because ``time.monotonic`` stops while the instance is suspended, and
    a lease holder must notice after a suspend that its lease has ended.
    """

    __slots__ = ()

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        return int(time.time() * MILLISECONDS_PER_SECOND)


class ManualClock(BaseClock):
    """A clock that moves only when told to, for tests and measurements.

    Example::

        clock = ManualClock()
        clock.advance(2.5)
    """

    __slots__ = ("current", "wall_offset_ms")

    def __init__(self, current: float = 1000.0, wall_offset_ms: int = 1_700_000_000_000) -> None:
        self.current = current
        self.wall_offset_ms = wall_offset_ms

    def now(self) -> float:
        return self.current

    def wall_ms(self) -> int:
        return self.wall_offset_ms + int(self.current * MILLISECONDS_PER_SECOND)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by a number of seconds."""
        self.current += seconds
