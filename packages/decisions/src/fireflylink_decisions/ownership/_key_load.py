"""How often each key was asked for lately, over all daemons."""

import bisect
import math

from fireflylink_core import FIRST_KEY, KEY_COUNT, LAST_KEY, KeyRange

HALF_LIFE_SECONDS = 0.7
FORGOTTEN_BELOW = 0.02
ASSUMED_RATE = 1.0
"""Requests a second that are assumed over all keys together."""

ASSUMED_KEYS = 512
_ASSUMED = range(FIRST_KEY, LAST_KEY + 1, KEY_COUNT // ASSUMED_KEYS)


class KeyLoad:
    """Requests a second of each key, averaged with exponential decay.

    Sparse: a key that was not asked for costs nothing. ``rate_factor`` turns the decayed count into
    a rate.

    Example::

        load.add(513, 1.0)
        load.decay(clock.now())
    """

    __slots__ = ("counts", "decayed_at", "service", "started_at")

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.counts: dict[int, float] = {}
        self.started_at = now
        self.decayed_at = now

    def add(self, key: int, requests: float) -> None:
        """Counts requests of a key."""
        self.counts[key] = self.counts.get(key, 0.0) + requests

    def decay(self, now: float) -> None:
        """Lets what was counted before fade."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / HALF_LIFE_SECONDS)
        self.decayed_at = now
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor >= FORGOTTEN_BELOW
        }

    def rate_factor(self, now: float) -> float:
        """Returns the factor from a decayed count to requests a second."""
        age = max(HALF_LIFE_SECONDS / 2, now - self.started_at)
        mean_life = HALF_LIFE_SECONDS / math.log(2)
        return 1.0 / (mean_life * (1.0 - math.exp(-age / mean_life)))

    def sorted_rates(self, now: float) -> list[tuple[int, float]]:
        """Returns the keys that were asked for, in order, with their rates."""
        scale = self.rate_factor(now)
        return [(key, self.counts[key] * scale) for key in sorted(self.counts)]


class RangeLoad:
    """The rates of keys in their order, for sums over ranges.

    A little load is assumed all over the keys, so that without requests the widths decide.
    """

    __slots__ = ("keys", "prefix_sums", "rates")

    def __init__(self, rates: list[tuple[int, float]]) -> None:
        assumed = [(key, ASSUMED_RATE / ASSUMED_KEYS) for key in _ASSUMED]
        merged = sorted([*rates, *assumed])
        self.keys = [key for key, _ in merged]
        self.rates = [rate for _, rate in merged]
        self.prefix_sums = [0.0]
        for rate in self.rates:
            self.prefix_sums.append(self.prefix_sums[-1] + rate)

    def total(self, keys: KeyRange) -> float:
        """Returns the rate of a range."""
        first, last = self.index_range(keys)
        return self.prefix_sums[last] - self.prefix_sums[first]

    def index_range(self, keys: KeyRange) -> tuple[int, int]:
        """Returns the positions of a range's keys: the first one, and the one after the last."""
        return bisect.bisect_left(self.keys, keys.first), bisect.bisect_right(self.keys, keys.last)
