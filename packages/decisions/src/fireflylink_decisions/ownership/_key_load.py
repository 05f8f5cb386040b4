"""Load of keys: the rate of their requests, over all daemons, in requests per second."""

import bisect
import math

from fireflylink_core import FIRST_KEY, KEY_COUNT, LAST_KEY, KeyRange

HALF_LIFE_SECONDS = 0.7
"""Half-life of a count. The time constant is 1.0 s: rates are averaged over about one second."""

MIN_DECAYED_COUNT = 0.02
"""Keys whose decayed count is lower are dropped."""

ASSUMED_TOTAL_REQUESTS_PER_SECOND = 1.0
"""Requests per second over all keys together that ``RangeLoad`` adds to the measured ones, so that
ranges without requests are compared by their width."""

ASSUMED_RATE_KEY_COUNT = 512
"""The assumed rate is divided among so many evenly spaced keys."""

_ASSUMED_RATE_KEYS = range(FIRST_KEY, LAST_KEY + 1, KEY_COUNT // ASSUMED_RATE_KEY_COUNT)


class KeyLoad:
    """Requests per second of each key, averaged with exponential decay.

    Only keys with recent requests are stored. ``rate_factor`` converts a decayed count to a rate.

    Example::

        load.add(513, 1.0)
        load.decay(clock.now())
    """

    __slots__ = ("decayed_at", "decayed_counts", "service", "started_at")

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.decayed_counts: dict[int, float] = {}
        self.started_at = now
        self.decayed_at = now

    def add(self, key: int, requests: float) -> None:
        """Counts requests of a key."""
        self.decayed_counts[key] = self.decayed_counts.get(key, 0.0) + requests

    def decay(self, now: float) -> None:
        """Applies the exponential decay since the last call to all counts."""
        factor = 0.5 ** (max(0.0, now - self.decayed_at) / HALF_LIFE_SECONDS)
        self.decayed_at = now
        self.decayed_counts = {
            key: count * factor
            for key, count in self.decayed_counts.items()
            if count * factor >= MIN_DECAYED_COUNT
        }

    def rate_factor(self, now: float) -> float:
        """Returns the factor that converts a decayed count to requests per second.

        It is larger shortly after the start, when the counts cover only a part of the time that
        they are averaged over, the time constant of the decay.
        """
        age = max(HALF_LIFE_SECONDS / 2, now - self.started_at)
        time_constant = HALF_LIFE_SECONDS / math.log(2)
        return 1.0 / (time_constant * (1.0 - math.exp(-age / time_constant)))

    def sorted_rates(self, now: float) -> list[tuple[int, float]]:
        """Returns the keys with recent requests in ascending order, with their rates."""
        factor = self.rate_factor(now)
        return [(key, self.decayed_counts[key] * factor) for key in sorted(self.decayed_counts)]


class RangeLoad:
    """Request rates in the order of keys, with prefix sums for the totals of ranges.

    A small rate is assumed evenly over all keys, so that ranges without requests are compared by
    their width.
    """

    __slots__ = ("keys", "prefix_sums", "rates")

    def __init__(self, rates: list[tuple[int, float]]) -> None:
        assumed = [
            (key, ASSUMED_TOTAL_REQUESTS_PER_SECOND / ASSUMED_RATE_KEY_COUNT)
            for key in _ASSUMED_RATE_KEYS
        ]
        merged = sorted([*rates, *assumed])
        self.keys = [key for key, _ in merged]
        self.rates = [rate for _, rate in merged]
        self.prefix_sums = [0.0]
        for rate in self.rates:
            self.prefix_sums.append(self.prefix_sums[-1] + rate)

    def total_rate(self, keys: KeyRange) -> float:
        """Returns the requests per second of all keys in a range."""
        start, end = self.index_range(keys)
        return self.prefix_sums[end] - self.prefix_sums[start]

    def index_range(self, keys: KeyRange) -> tuple[int, int]:
        """Returns the index of the first rate of a range, and the index after its last one."""
        return bisect.bisect_left(self.keys, keys.first), bisect.bisect_right(self.keys, keys.last)
