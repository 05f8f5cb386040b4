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


def interchangeable_daemons(
    lists: tuple[VoterList, ...], daemon_count: int
) -> tuple[tuple[int, ...], ...]:
    """Returns the sets of daemons that are members of the same lists."""
    classes: dict[tuple[bool, ...], list[int]] = {}
    for index in range(daemon_count):
        member_of = tuple(index in group for members in lists for group in members)
        classes.setdefault(member_of, []).append(index)
    return tuple(tuple(members) for members in classes.values())


def least_permutation(state: VotersState, classes: tuple[tuple[int, ...], ...]) -> VotersState:
    """Returns the least of the states that differ only by a permutation within each class."""
    if all(len(members) == 1 for members in classes):
        return state
    orders = _candidate_orders(state, classes)
    first = next(orders)
    if not any(daemon.replies for daemon in state.daemons):
        return _reordered(state, first)
    candidates = (_reordered(state, order) for order in chain((first,), orders))
    return min(candidates, key=_sorted_replies)


def _candidate_orders(
    state: VotersState, classes: tuple[tuple[int, ...], ...]
) -> Iterator[tuple[int, ...]]:
    """Yields the orders that sort each class by what is visible without naming other daemons."""

    def key(index: int) -> tuple[object, ...]:
        daemon = state.daemons[index]
        return (
            daemon._replace(replies=frozenset()) if daemon.replies else daemon,
            len(daemon.replies),
            index in state.old_round.endorsers,
            index in state.new_round.endorsers,
        )

    positions = tuple(chain.from_iterable(classes))
    ties: list[tuple[int, ...]] = []
    for members in classes:
        ties.extend(tuple(tie) for _, tie in groupby(sorted(members, key=key), key=key))
    for arranged in product(*(permutations(tie) for tie in ties)):
        placed = zip(positions, chain.from_iterable(arranged), strict=True)
        yield tuple(index for _, index in sorted(placed))


def _sorted_replies(state: VotersState) -> list[list[int]]:
    return [sorted(daemon.replies) for daemon in state.daemons]


def _reordered(state: VotersState, order: tuple[int, ...]) -> VotersState:
    if order == tuple(range(len(order))):
        return state
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
