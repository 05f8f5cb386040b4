"""Counting of requests by shard and by key."""

from fireflylink_core import LoadReport, ShardKey

LOAD_PERIOD = 5.0
"""Seconds over which load is counted before it is reported."""

MAX_COUNTED_KEYS = 256
REPORTED_KEYS = 16
KEY_SAMPLE = 8
"""One request in so many is counted by key, because looking for the smallest counter is dear."""


class LoadMeter:
    """Counts the requests of each shard, and those of the busiest keys in bounded memory.

    Keys are counted by the space-saving algorithm: a key that finds no free counter takes over the
    smallest one, so a key with more than 1/256 of the sampled requests is always found.
    """

    __slots__ = ("keys", "seen", "shards", "started")

    def __init__(self, now: float) -> None:
        self.started = now
        self.shards: dict[tuple[ShardKey, bool], int] = {}
        self.keys: dict[ShardKey, int] = {}
        self.seen = 0

    def count(self, shard: ShardKey, exception: bool, hashed_key: int) -> None:
        """Counts a request."""
        identity = (shard, exception)
        self.shards[identity] = self.shards.get(identity, 0) + 1
        self.seen += 1
        if self.seen % KEY_SAMPLE == 0:
            self._count_key((shard[0], hashed_key))

    def _count_key(self, key: ShardKey) -> None:
        keys = self.keys
        if key in keys:
            keys[key] += 1
        elif len(keys) < MAX_COUNTED_KEYS:
            keys[key] = 1
        else:
            smallest = min(keys, key=keys.__getitem__)
            keys[key] = keys.pop(smallest) + 1

    def report(self, now: float) -> tuple[LoadReport, ...]:
        """Returns the load since the last report, empty while the period has not ended."""
        seconds = now - self.started
        if seconds < LOAD_PERIOD:
            return ()
        shards = [
            LoadReport(shard, False, count / seconds)
            for (shard, exception), count in self.shards.items()
            if not exception
        ]
        busiest = sorted(self.keys.items(), key=lambda item: -item[1])[:REPORTED_KEYS]
        keys = [LoadReport(key, True, count * KEY_SAMPLE / seconds) for key, count in busiest]
        self.started = now
        self.shards = {}
        self.keys = {}
        return (*shards, *keys)
