"""Choice of the relays: daemons that read the store, or hear of its changes, for others."""

import hashlib

from fireflylink_core import BaseValue

LARGE_DATA_CENTRE_MEMBERS = 8
"""From this number of daemons on, a data centre has two relays: when one is lost, the calls of all
others at once would cost more than a second relay does."""

MAX_READING_RELAYS = 4
"""With more relays than this in the fleet, one daemon reads the store for them. With fewer, each of
them reads: that costs fewer bytes between data centres."""


class RelayRoles(BaseValue):
    """The part of one daemon in the relaying of the store's changes.

    Each data centre has one or two relays, which send what they know on to its other daemons. In a
    large fleet one more daemon, the primary, reads the store and sends its changes to all relays;
    in a small one each relay reads. ``has_relay`` is true if another daemon sends changes to this
    one. ``followers`` are the names of those to which this daemon states what it knows, and
    ``batch_receivers`` those of them to which it sends the changes themselves: two relays divide
    the daemons of their data centre, as their links may be slow.

    Every daemon derives the roles from the list of members alone. Two that know different lists may
    both act as the primary, or none may: a daemon that hears nothing recent reads the store itself.

    Example::

        roles = RelayRoles.of("d1", {"d1": "kingston", "d2": "kingston"})
    """

    __slots__ = ("batch_receivers", "followers", "has_relay")

    def __init__(
        self,
        has_relay: bool,
        followers: tuple[str, ...] = (),
        batch_receivers: tuple[str, ...] = (),
    ) -> None:
        self.has_relay = has_relay
        self.followers = followers
        self.batch_receivers = batch_receivers

    @classmethod
    def of(cls, instance: str, members: dict[str, str]) -> "RelayRoles":
        """Returns the roles of a daemon; ``members`` maps each member to its data centre.

        A daemon that is not listed, or is the only one, reads for itself alone.
        """
        if instance not in members or len(members) == 1:
            return cls(False)
        by_data_centre: dict[str, list[str]] = {}
        ranked = sorted(members, key=_rank)
        for name in ranked:
            by_data_centre.setdefault(members[name], []).append(name)
        reading = sum(len(_relays_of(names)) for names in by_data_centre.values())
        has_primary = reading > MAX_READING_RELAYS
        if has_primary:
            primary = ranked[0]
            by_data_centre[members[primary]].remove(primary)
            if instance == primary:
                relays = tuple(
                    name for names in by_data_centre.values() for name in _relays_of(names)
                )
                return cls(False, relays, relays)
        local = by_data_centre[members[instance]]
        local_relays = _relays_of(local)
        if instance not in local_relays:
            return cls(True)
        followers = tuple(local[len(local_relays) :])
        place = local_relays.index(instance)
        return cls(has_primary, followers, followers[place :: len(local_relays)])


def _relays_of(ranked_members: list[str]) -> list[str]:
    """Returns the relays of a data centre, given its members in the order of their rank."""
    return ranked_members[: 2 if len(ranked_members) >= LARGE_DATA_CENTRE_MEMBERS else 1]


def _rank(name: str) -> bytes:
    # By a digest, so that the relays are not the first by name, which stand for election first.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
