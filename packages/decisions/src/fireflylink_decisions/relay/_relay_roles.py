"""Choice of the relays: daemons of a data centre that read the store and pass on its changes."""

import hashlib

from fireflylink_core import BaseValue

LARGE_DATA_CENTRE_MEMBERS = 8
"""From this number of daemons on, a data centre has two relays: when one is lost, the calls of all
others at once would cost more than a second reader does."""


class RelayRoles(BaseValue):
    """The part of one daemon in the relaying of the store's changes within its data centre.

    ``is_relay`` is true if it reads the store for others. ``has_relay`` is true if another daemon
    does so for it. ``followers`` are the names of those that depend on it. Every daemon derives the
    roles from the list of members alone. Two that know different lists may both act as relays, or
    none may: a daemon that hears no relay reads the store itself.

    Example::

        roles = RelayRoles.of("d1", {"d1": "kingston", "d2": "kingston"}, "kingston")
    """

    __slots__ = ("followers", "has_relay", "is_relay")

    def __init__(self, is_relay: bool, has_relay: bool, followers: tuple[str, ...]) -> None:
        self.is_relay = is_relay
        self.has_relay = has_relay
        self.followers = followers

    @classmethod
    def of(cls, instance: str, members: dict[str, str], data_centre: str) -> "RelayRoles":
        """Returns the roles of a daemon; ``members`` maps each member to its data centre.

        A daemon that is not listed, or has no other one beside it, reads for itself alone.
        """
        local = sorted((name for name, where in members.items() if where == data_centre), key=_rank)
        if instance not in local or len(local) == 1:
            return cls(False, False, ())
        relay_count = 2 if len(local) >= LARGE_DATA_CENTRE_MEMBERS else 1
        relays = local[:relay_count]
        if instance in relays:
            return cls(True, False, tuple(local[relay_count:]))
        return cls(False, True, ())


def _rank(name: str) -> bytes:
    # By a digest, so that the relays are not the first by name, which stand for election first.
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
