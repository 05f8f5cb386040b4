"""This daemon's share of a limit that applies to all daemons together."""

import hashlib
import math

ASSUMED_MEMBER_COUNT = 24
"""Least number of members assumed while this daemon is not listed. A share that is too small is
safe; one that is too large exceeds the total."""


class FleetPosition:
    """This daemon's place among the members that the store lists.

    Shares of a small total, such as the requests to a cold server, are whole numbers. The remainder
    of the division goes to the members that come first in a hash order, which differs for each
    subject. When a member joins or leaves, the share of at most one other member changes, so that
    daemons that learn of it at different times exceed the total by at most one.

    Example::

        position.share(14.3, "i-7f3a91c2")
    """

    __slots__ = ("_shares", "instance", "is_listed", "members")

    def __init__(self, instance: str, members: tuple[str, ...]) -> None:
        self.instance = instance
        self.members = tuple(sorted(members))
        self.is_listed = instance in members
        self._shares: dict[tuple[str, int], int] = {}

    @property
    def count(self) -> int:
        """The number of members among which a divisible total is shared."""
        return (
            len(self.members)
            if self.is_listed
            else max(ASSUMED_MEMBER_COUNT, len(self.members) + 1)
        )

    @property
    def rank(self) -> int:
        """This daemon's index among the members by name; after all of them while not listed."""
        return self.members.index(self.instance) if self.is_listed else len(self.members)

    def share(self, total: float, subject: str) -> int:
        """Returns this daemon's share of ``total`` as a whole number; 0 while it is not listed.

        ``subject`` is what the total belongs to, such as the id of a server.
        """
        whole_total = math.floor(total)
        cache_key = (subject, whole_total)
        share = self._shares.get(cache_key)
        if share is None:
            share = self._shares[cache_key] = self._compute_share(whole_total, subject)
        return share

    def fraction(self, total: float) -> float:
        """Returns an equal share of a total that need not be divided into whole numbers."""
        return total / self.count

    def _compute_share(self, whole_total: int, subject: str) -> int:
        if not self.is_listed:
            return 0
        quotient, remainder = divmod(whole_total, len(self.members))
        order = sorted(self.members, key=lambda member: _member_hash(subject, member))
        return quotient + (1 if order.index(self.instance) < remainder else 0)


def _member_hash(subject: str, member: str) -> bytes:
    return hashlib.blake2b(f"{subject} {member}".encode(), digest_size=8).digest()
