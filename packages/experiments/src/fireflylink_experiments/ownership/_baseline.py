"""The naive baseline: rendezvous hashing, and a lease in the platform on every shard."""

from fireflylink_core import Configuration, ShardKey, rendezvous_score
from fireflylink_experiments.ownership._users import Load

WRITES_PER_SECOND = 300.0
"""Writes that the platform takes; each renewal and each change of a lease is one."""

RENEWALS_PER_TERM = 3


class Outage:
    """Key-seconds without an owner, the longest time of a key, and moved shards."""

    __slots__ = ("key_seconds", "moved", "worst")

    def __init__(self) -> None:
        self.key_seconds = 0.0
        self.worst = 0.0
        self.moved = 0

    def add(self, keys: int, seconds: float) -> None:
        """Counts a shard that had no owner for some time."""
        self.key_seconds += keys * seconds
        self.worst = max(self.worst, seconds)
        self.moved += 1


class LeaseBaseline:
    """Owners by rendezvous hashing; ``term`` is the shortest that allows to renew all leases."""

    __slots__ = ("configuration", "load", "term")

    def __init__(self, configuration: Configuration, load: Load) -> None:
        self.configuration = configuration
        self.load = load
        self.term = RENEWALS_PER_TERM * len(load.shards) / WRITES_PER_SECOND

    def owner(self, key: ShardKey, candidates: list[str] | None = None) -> str:
        """Returns the server, or the one of some other candidates, that owns a shard."""
        found = candidates or [server.server_id for server in self.configuration.servers_of(key[0])]
        return max(found, key=lambda name: (rendezvous_score(name, f"{key[0]}#{key[1]}"), name))

    def lost(self, keys: list[ShardKey], outage: float = 0.0) -> Outage:
        """Returns what happens to shards whose owner, or the platform for a time, is lost.

        Leases run until a term after their last renewals, which are spread over a third of a term.
        Afterwards they are taken one after another.
        """
        result = Outage()
        for place, key in enumerate(sorted(keys)):
            left = self.term * (1 - place / len(keys) / RENEWALS_PER_TERM)
            waits = outage - left if outage else left
            result.add(self.load.keys[key], waits + (place + 1) / WRITES_PER_SECOND)
        return result

    def planned(self, keys: list[ShardKey]) -> Outage:
        """Returns what happens to shards that are released and taken in turn."""
        result = Outage()
        for key in keys:
            result.add(self.load.keys[key], 2 / WRITES_PER_SECOND)
        return result
