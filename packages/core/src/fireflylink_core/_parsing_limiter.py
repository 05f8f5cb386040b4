"""Limit on the processor time that input in small pieces takes."""

STEP_SECONDS = 3e-6
"""Processor time for one step of a parser: a chunk, a header field, a message."""

MAX_PARSING_SHARE = 0.2
"""Limit on the share of the time that goes into such input, over all connections together."""

FREE_STEPS = 64
"""A read with so few steps is not limited. Usual messages have a few dozen fields and chunks."""


class ParsingLimiter:
    """Gives turns to connections whose input brings many small pieces and no complete message.

    Each of them is bounded by itself, but a hundred of them at once would keep the event loop busy
    for seconds. Turns are given in the order in which they are asked for, at the rate at which
    parsing takes ``MAX_PARSING_SHARE`` of the time. Other input needs none.

    ``next_turn_at`` is in seconds on the caller's clock.

    Example::

        turn_at = limiter.reserve(clock.now(), steps_of_last_read)
    """

    __slots__ = ("next_turn_at",)

    def __init__(self) -> None:
        self.next_turn_at = 0.0

    def reserve(self, now: float, steps: int) -> float:
        """Returns when the next read may be parsed, which is expected to take so many steps."""
        if steps <= FREE_STEPS:
            return now
        turn_at = max(now, self.next_turn_at)
        self.next_turn_at = turn_at + steps * STEP_SECONDS / MAX_PARSING_SHARE
        return turn_at
