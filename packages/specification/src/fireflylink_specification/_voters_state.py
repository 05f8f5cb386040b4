"""The state of the voters model."""

from collections.abc import Iterator
from itertools import chain, groupby, permutations, product
from typing import NamedTuple

NOTHING = 0
"""The version known to a daemon with empty memory."""


class VoterList(NamedTuple):
    """The voters and previous voters of a version."""

    voters: frozenset[int]
    previous: frozenset[int] = frozenset()


class Daemon(NamedTuple):
    """What a daemon knows; while it recovers, whose replies it has and when it may ask."""

    known: int
    recovering: bool = False
    wait_left: int = 0
    first_learned: int = NOTHING
    replies: frozenset[int] = frozenset()
    running: bool = True


class Round(NamedTuple):
    """A round of endorsements for a version; it is closed when it has no time left."""

    version: int = NOTHING
    left: int = 0
    endorsers: frozenset[int] = frozenset()


NO_ROUND = Round()


class VotersState(NamedTuple):
    """``acknowledged`` is the highest version that the new root counted a majority for."""

    written: int
    acknowledged: int
    daemons: tuple[Daemon, ...]
    old_round: Round
    new_round: Round
    restarts_left: int
    ends_left: int


def voters(*members: int, previous: tuple[int, ...] = ()) -> VoterList:
    """Returns the voter list of a version."""
    return VoterList(frozenset(members), frozenset(previous))


def least_permutation(state: VotersState) -> VotersState:
    """Returns the least of the states that differ from this one by a permutation of the daemons."""
    orders = _candidate_orders(state)
    first = next(orders)
    if not any(daemon.replies for daemon in state.daemons):
        return _reordered(state, first)
    candidates = (_reordered(state, order) for order in chain((first,), orders))
    return min(candidates, key=_sorted_replies)


def _candidate_orders(state: VotersState) -> Iterator[tuple[int, ...]]:
    """Yields the orders sorted by what is visible without naming other daemons."""

    def key(index: int) -> tuple[object, ...]:
        daemon = state.daemons[index]
        return (
            daemon._replace(replies=frozenset()),
            len(daemon.replies),
            index in state.old_round.endorsers,
            index in state.new_round.endorsers,
        )

    ranked = sorted(range(len(state.daemons)), key=key)
    groups = [tuple(group) for _, group in groupby(ranked, key=key)]
    for arranged in product(*(permutations(group) for group in groups)):
        yield tuple(chain.from_iterable(arranged))


def _sorted_replies(state: VotersState) -> list[list[int]]:
    return [sorted(daemon.replies) for daemon in state.daemons]


def _reordered(state: VotersState, order: tuple[int, ...]) -> VotersState:
    place = {index: position for position, index in enumerate(order)}

    def moved(members: frozenset[int]) -> frozenset[int]:
        return frozenset(place[index] for index in members)

    return state._replace(
        daemons=tuple(
            daemon._replace(replies=moved(daemon.replies)) if daemon.replies else daemon
            for daemon in (state.daemons[index] for index in order)
        ),
        old_round=state.old_round._replace(endorsers=moved(state.old_round.endorsers)),
        new_round=state.new_round._replace(endorsers=moved(state.new_round.endorsers)),
    )
