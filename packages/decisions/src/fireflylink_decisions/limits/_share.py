"""A daemon's share of what all daemons together may do."""

import hashlib
import math

ASSUMED_MEMBER_COUNT = 24
"""Members assumed while this daemon is not listed: a share that is too small is safe."""


class FleetPosition:
    """This daemon among the members that the store lists.

    Shares of a small total, such as the requests of a cold server, are whole numbers. What does
    not divide goes to the members that come first in an order by hash, another one for each
    subject. When a member joins or leaves, the share of at most one other member changes, so that
    daemons that learn of it at different moments exceed the total by one at most.

    Example::

        position.share(14.3, "i-7f3a91c2")
    """

    __slots__ = ("_shares", "instance", "listed", "members")

    def __init__(self, instance: str, members: tuple[str, ...]) -> None:
        self.instance = instance
        self.members = tuple(sorted(members))
        self.listed = instance in members
        self._shares: dict[tuple[str, int], int] = {}

    @property
    def count(self) -> int:
        """How many members a total is divided by."""
        return (
            len(self.members) if self.listed else max(ASSUMED_MEMBER_COUNT, len(self.members) + 1)
        )

    @property
    def rank(self) -> int:
        """This daemon's place in the order of names; behind all others while it is not listed."""
        return self.members.index(self.instance) if self.listed else len(self.members)

    def share(self, total: float, subject: str) -> int:
        """Returns this daemon's whole part of ``total``; 0 while it is not listed."""
        whole = math.floor(total)
        name = (subject, whole)
        found = self._shares.get(name)
        if found is None:
            found = self._shares[name] = self._share(whole, subject)
        return found

    def fraction(self, total: float) -> float:
        """Returns an equal part of a total that may be divided at will."""
        return total / self.count

    def _share(self, whole: int, subject: str) -> int:
        if not self.listed:
            return 0
        each, rest = divmod(whole, len(self.members))
        order = sorted(self.members, key=lambda member: _place(subject, member))
        return each + (1 if order.index(self.instance) < rest else 0)


def _place(subject: str, member: str) -> bytes:
    return hashlib.blake2b(f"{subject} {member}".encode(), digest_size=8).digest()
