"""Choice of the relays: daemons that read the store, or hear of its changes, for others."""

import hashlib

from fireflylink_core import BaseValue

LARGE_DATA_CENTRE_MEMBERS = 8
"""From this number of daemons on, a data centre has two relays: when one is lost, the calls of all
others at once would cost more than a second relay does."""

MAX_READING_RELAYS = 4
"""With more relays than this in the fleet, one of them reads the store for the others. With fewer,
each of them reads: that costs fewer bytes between data centres."""


class RelayRoles(BaseValue):
    """The part of one daemon in the relaying of the store's changes.

    Each data centre has one or two relays, which send what they know on to its other daemons. In a
    large fleet one of all relays, the primary, reads the store and sends its changes to the others
    as well; in a small one each relay reads. ``has_relay`` is true if another daemon sends changes
    to this one. ``followers`` are the names of those to which this daemon sends them.

    Every daemon derives the roles from the list of members alone. Two that know different lists may
    both act as the primary, or none may: a daemon that hears nothing recent reads the store itself.

    Example::

        roles = RelayRoles.of("d1", {"d1": "kingston", "d2": "kingston"}, "kingston")
    """

    __slots__ = ("followers", "has_relay")

    def __init__(self, has_relay: bool, followers: tuple[str, ...]) -> None:
        self.has_relay = has_relay
        self.followers = followers

    @classmethod
    def of(cls, instance: str, members: dict[str, str], data_centre: str) -> "RelayRoles":
        """Returns the roles of a daemon; ``members`` maps each member to its data centre.

        A daemon that is not listed, or is the only one, reads for itself alone.
        """
        if instance not in members or len(members) == 1:
            return cls(False, ())
        by_data_centre: dict[str, list[str]] = {}
        for name in sorted(members, key=_rank):
            by_data_centre.setdefault(members[name], []).append(name)
        relays = [name for names in by_data_centre.values() for name in _relays_of(names)]
        local = by_data_centre[members[instance]]
        local_relays = _relays_of(local)
        if instance not in local_relays:
            return cls(True, ())
        local_followers = tuple(local[len(local_relays) :])
        if len(relays) <= MAX_READING_RELAYS:
            return cls(False, local_followers)
        primary = min(relays, key=_rank)
        if instance != primary:
            return cls(True, local_followers)
        return cls(False, local_followers + tuple(name for name in relays if name != primary))


def _relays_of(ranked_members: list[str]) -> list[str]:
    """Returns the relays of a data centre, given its members in the order of their rank."""
    return ranked_members[: 2 if len(ranked_members) >= LARGE_DATA_CENTRE_MEMBERS else 1]


def _rank(name: str) -> bytes:
    # By a digest, so that the relays are not the first by name, which stand for election first.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
