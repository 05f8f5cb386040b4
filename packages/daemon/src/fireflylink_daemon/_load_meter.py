"""Counting of requests by shard and by key."""

from fireflylink_core import LoadReport, ShardKey

LOAD_PERIOD = 5.0
"""Seconds over which load is counted before it is reported."""

MAX_COUNTED_KEYS = 256
REPORTED_KEYS = 16
KEY_SAMPLE = 8
"""One request in so many is counted by key, because looking for the smallest counter is dear."""

REPORTED_KEY_SHARE = 1 / 32
"""Least share of a gateway's requests with which a key is reported; exceptions need far more."""

CHANGE_SHARE = 0.1
"""A shard whose load differs by more than this share from the last report is reported at once."""

FULL_REPORT_PERIODS = 6
"""Every shard is reported each so many periods; in between only those that have changed."""


class LoadMeter:
    """Counts the requests of each shard, and those of the busiest keys in bounded memory.

    Keys are counted by the space-saving algorithm: a key that finds no free counter takes over the
    smallest one, so a key with more than 1/256 of the sampled requests is always found.
    """

    __slots__ = ("keys", "periods", "reported", "seen", "shards", "started")

    def __init__(self, now: float) -> None:
        self.started = now
        self.shards: dict[tuple[ShardKey, bool], int] = {}
        self.keys: dict[ShardKey, int] = {}
        self.seen = 0
        self.periods = 0
        self.reported: dict[ShardKey, float] = {}

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
        shards = self._shard_reports(seconds)
        sampled = sum(self.keys.values())
        busiest = sorted(self.keys.items(), key=lambda item: -item[1])[:REPORTED_KEYS]
        keys = [
            LoadReport(key, True, count * KEY_SAMPLE / seconds)
            for key, count in busiest
            if count >= sampled * REPORTED_KEY_SHARE
        ]
        self.started = now
        self.shards = {}
        self.keys = {}
        return (*shards, *keys)

    def _shard_reports(self, seconds: float) -> list[LoadReport]:
        loads = {
            shard: count / seconds
            for (shard, exception), count in self.shards.items()
            if not exception
        }
        complete = self.periods % FULL_REPORT_PERIODS == 0
        self.periods += 1
        found = []
        for shard in {**loads, **self.reported}:
            load = loads.get(shard, 0.0)
            former = self.reported.get(shard, 0.0)
            if complete or abs(load - former) > CHANGE_SHARE * former:
                found.append(LoadReport(shard, False, load))
                self.reported[shard] = load
        self.reported = {shard: load for shard, load in self.reported.items() if load > 0}
        return found
