"""Limit on the memory that the bodies of all requests in progress use together."""

from types import TracebackType

from fireflylink_caller_frontend._errors import RefusedRequestError

MAX_BODIES_BYTES = 48 * 1024 * 1024
"""Default limit. An instance of 200 MB has about 130 MB beside the daemon itself, and a body is
held twice for a moment while its parts are joined."""

NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_SECONDS = 0.5
"""About the time in which some of the bodies have been sent on."""


class BodyMemory:
    """Counts the bytes of the bodies that are held now; ``reserved_bytes`` is their sum.

    Example::

        with memory.reservation() as reservation:
            reservation.extend_to(len(body))
    """

    __slots__ = ("limit_bytes", "reserved_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reservation(self) -> "BodyReservation":
        """Returns an empty reservation, which ends with its ``with`` statement."""
        return BodyReservation(self)


class BodyReservation:
    """The memory that is reserved for the body of one request."""

    __slots__ = ("memory", "size_bytes")

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.size_bytes = 0

    def extend_to(self, size_bytes: int) -> None:
        """Reserves memory for a body of at least ``size_bytes``.

        Raises ``RefusedRequestError`` if the bodies of all requests would exceed the limit.
        """
        added = size_bytes - self.size_bytes
        if added <= 0:
            return
        if self.memory.reserved_bytes + added > self.memory.limit_bytes:
            raise RefusedRequestError(
                NO_MEMORY_STATUS, "no memory for the body", NO_MEMORY_RETRY_SECONDS
            )
        self.memory.reserved_bytes += added
        self.size_bytes = size_bytes

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.memory.reserved_bytes -= self.size_bytes
        self.size_bytes = 0
