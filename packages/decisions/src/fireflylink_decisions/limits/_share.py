"""A daemon's share of what all daemons together may do."""

import hashlib
import math

UNKNOWN_MEMBERS = 24
"""Members assumed before the first view of the store: a share that is too small is safe."""


class FleetPosition:
    """Which of how many daemons this one is, in an order that all daemons agree on."""

    __slots__ = ("members", "rank")

    def __init__(self, rank: int, members: int) -> None:
        self.rank = rank
        self.members = members

    def share(self, total: float, subject: str) -> int:
        """Returns this daemon's whole part of ``total``.

        What does not divide goes to the first daemons of an order that differs for each subject,
        so that no daemon has the larger part of everything. The parts of all daemons add up to at
        most ``total``.
        """
        whole = math.floor(total)
        each, rest = divmod(whole, max(1, self.members))
        turn = (self.rank + _offset(subject)) % max(1, self.members)
        return each + (1 if turn < rest else 0)

    def fraction(self, total: float) -> float:
        """Returns an equal part of a total that may be divided at will."""
        return total / max(1, self.members)


def _offset(subject: str) -> int:
    return int.from_bytes(hashlib.blake2b(subject.encode(), digest_size=4).digest(), "big")


def position_of(instance: str, members: tuple[str, ...]) -> FleetPosition:
    """Returns the position of a daemon among the members that the store lists.

    A daemon that is not listed yet counts itself as one more.
    """
    listed = sorted(members)
    if instance not in listed:
        return FleetPosition(len(listed), max(UNKNOWN_MEMBERS, len(listed) + 1))
    return FleetPosition(listed.index(instance), len(listed))
