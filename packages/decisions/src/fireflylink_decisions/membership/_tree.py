"""Whom a daemon asks for news: the root, or a relay in a large data centre."""

from fireflylink_core import Member, rendezvous_score

FAN_OUT = 8
"""Largest number of daemons that ask one parent, so that no daemon exceeds its control budget."""


def parent_candidates(
    instance_id: str, members: tuple[Member, ...], voters: tuple[str, ...], root: str
) -> tuple[str, ...]:
    """Returns the daemons to ask, best first, without the daemon itself.

    Voters ask the voters before them. In a data centre with more than ``FAN_OUT`` other daemons the
    first ones by rendezvous order are relays that ask the root, and each of the others asks a relay
    of its own and falls back to the voters.
    """
    present = {member.instance_id for member in members}
    if instance_id in voters:
        return voters[: voters.index(instance_id)]
    others = sorted(present - set(voters) - {root})
    fallback = tuple(dict.fromkeys((*([root] if root else []), *voters)))
    if len(present) - 1 <= FAN_OUT:
        return fallback
    relays = others[: max(1, FAN_OUT - len(voters) + 1)]
    if instance_id in relays:
        return fallback
    parents = [*relays, *(voter for voter in voters if voter != root)]
    ranked = sorted(parents, key=lambda parent: rendezvous_score(parent, instance_id))
    return (*ranked[-2:], *fallback)
