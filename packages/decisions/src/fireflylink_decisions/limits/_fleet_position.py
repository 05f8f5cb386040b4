"""This daemon's share of a limit that applies to all daemons together."""

import bisect
import functools
import hashlib
import math

MIN_ASSUMED_MEMBER_COUNT = 24
"""Least number of members assumed while this daemon is not listed. A share that is too small is
safe; one that is too large exceeds the total."""


RING_COUNT = 8
"""Orders of the members, by different hashes; each server uses one of them. With several, no member
comes first for many servers only because the gap before its place in one order is wide."""

CACHED_HASHES = 65536


class FleetPosition:
    """This daemon's place among the members, and its share of limits for the whole fleet.

    The fleet is all daemons; a member is a daemon that the store lists. Shares of a small total,
    such as the requests to a cold server, are whole numbers. The remainder of the division goes to
    the members that follow the server's place in an order by hash, which is a ring. When a member
    joins or leaves, the share of at most one other member changes, so that daemons that learn of it
    at different times exceed the total by at most one.

    Example::

        position.whole_share(14.3, "i-7f3a91c2")
    """

    __slots__ = ("_rings", "_shares", "instance", "is_listed", "members")

    def __init__(self, instance: str, members: tuple[str, ...]) -> None:
        self.instance = instance
        self.members = tuple(sorted(members))
        self.is_listed = instance in members
        self._shares: dict[tuple[str, int], int] = {}
        self._rings: dict[int, list[int]] = {}

    @property
    def divisor(self) -> int:
        """What ``equal_share`` divides by: the number of members, or more while not listed."""
        return (
            len(self.members)
            if self.is_listed
            else max(MIN_ASSUMED_MEMBER_COUNT, len(self.members) + 1)
        )

    @property
    def rank(self) -> int:
        """This daemon's index among the members by name; after all of them while not listed."""
        return self.members.index(self.instance) if self.is_listed else len(self.members)

    def whole_share(self, total: float, server_id: str) -> int:
        """Returns this daemon's share of ``total`` as a whole number; 0 while it is not listed.

        ``total`` is a limit of the server with the id ``server_id``.
        """
        whole_total = math.floor(total)
        cache_key = (server_id, whole_total)
        share = self._shares.get(cache_key)
        if share is None:
            share = self._shares[cache_key] = self._compute_share(whole_total, server_id)
        return share

    def equal_share(self, total: float) -> float:
        """Returns an equal share of a total that need not be divided into whole numbers.

        Unlike ``whole_share``, it is not 0 while this daemon is not listed.
        """
        return total / self.divisor

    def _compute_share(self, whole_total: int, server_id: str) -> int:
        if not self.is_listed:
            return 0
        quotient, remainder = divmod(whole_total, len(self.members))
        place = _hash(f"server {server_id}")
        number = place % RING_COUNT
        ring = self._ring(number)
        first = bisect.bisect_left(ring, place)
        own = bisect.bisect_left(ring, _hash(f"{number} {self.instance}"))
        return quotient + (1 if (own - first) % len(ring) < remainder else 0)

    def _ring(self, number: int) -> list[int]:
        """Returns the hashes of all members in ascending order."""
        ring = self._rings.get(number)
        if ring is None:
            ring = self._rings[number] = sorted(
                _hash(f"{number} {member}") for member in self.members
            )
        return ring


@functools.lru_cache(maxsize=CACHED_HASHES)
def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
