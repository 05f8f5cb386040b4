"""Limit on the memory that messages in progress use together."""

from types import TracebackType


class MemoryBudget:
    """Counts the bytes of messages that are held now; ``reserved_bytes`` is their sum.

    Example::

        with budget.reservation() as reservation:
            has_room = reservation.extend_to(len(body))
    """

    __slots__ = ("limit_bytes", "reserved_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reservation(self) -> "MemoryReservation":
        """Returns an empty reservation, which ends with its ``with`` statement."""
        return MemoryReservation(self)


class MemoryReservation:
    """The memory that is reserved for one message."""

    __slots__ = ("budget", "size_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size_bytes = 0

    def extend_to(self, size_bytes: int) -> bool:
        """Reserves memory for a message of at least ``size_bytes``.

        Returns false, and reserves nothing more, if all together would exceed the limit.
        """
        added = size_bytes - self.size_bytes
        if added <= 0:
            return True
        if self.budget.reserved_bytes + added > self.budget.limit_bytes:
            return False
        self.budget.reserved_bytes += added
        self.size_bytes = size_bytes
        return True

    def release(self) -> None:
        """Ends the reservation."""
        self.budget.reserved_bytes -= self.size_bytes
        self.size_bytes = 0

    def __enter__(self) -> "MemoryReservation":
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.release()
