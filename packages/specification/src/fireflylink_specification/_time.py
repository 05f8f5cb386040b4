"""Durations of the models, in ticks, and countdowns."""

GRANT_TERM = 2
CLOCK_DRIFT = 1
LONGEST_TERM = GRANT_TERM + CLOCK_DRIFT
"""Ticks that a grant term takes on the slowest clock."""

FENCE_WAIT = LONGEST_TERM
"""Ticks that the fence wait takes on the fastest clock."""

NOT_STARTED = -1


def after_tick(remaining: int) -> int:
    """Returns a countdown one tick later; a countdown that has not started stays as it is."""
    return remaining - 1 if remaining > 0 else remaining
