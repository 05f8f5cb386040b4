"""Limits that the answers on several connections share."""

from fireflylink_core._memory_budget import MemoryBudget
from fireflylink_core._parsing_limiter import ParsingLimiter

MAX_UNFINISHED_BYTES = 24 * 1024 * 1024
"""Default limit on the bodies of unfinished answers together. An instance of 200 MB has about
130 MB beside the daemon itself, of which the bodies of callers may take up to 96 MB."""


class ReceiveLimits:
    """What the unfinished answers on several connections may take together.

    ``parsing`` limits the time for those in small pieces, ``memory`` the bytes of all.
    """

    __slots__ = ("memory", "parsing")

    def __init__(self, max_unfinished_bytes: int = MAX_UNFINISHED_BYTES) -> None:
        self.parsing = ParsingLimiter()
        self.memory = MemoryBudget(max_unfinished_bytes)
