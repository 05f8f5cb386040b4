"""The state of the models of one key, and how ticks and commands change it.

``_transfer`` defines the terms.
"""

from typing import NamedTuple

HOLD_TICKS = 1
RESTORED_FENCE = 3
"""The first fence of the era that begins when the store is restored."""

WAIT_TICKS = 1
"""Ticks from the decision to send a grant to its deadline."""

NO_ID = -1
"""Stands for no server or no decider."""
NO_FENCE = 0
"""The ``seen`` of a server that has seen no fence."""
SERVERS = (0, 1)


class Table(NamedTuple):
    """The table of the key, as it is stored or as a decider knows it.

    ``owner`` is the server that the table assigns the key to. It gets grants once no former holder
    is left. ``previous`` is the former holder that has not yet released the key, ``NO_ID`` if there
    is none. ``alone`` is true if no earlier decider could still grant keys when the table was
    written.
    """

    owner: int
    fence: int
    previous: int
    alone: bool = False


class Server(NamedTuple):
    """A backend server.

    ``hold`` counts the ticks until its hold expires, 0 if it holds nothing. ``seen`` is the highest
    fence that it has seen. ``down`` counts the ticks until a crashed server is back, 0 if it runs.
    """

    hold: int
    seen: int
    down: int


class Decider(NamedTuple):
    """What a daemon knows while it acts as the decider.

    ``deciding`` is false for a daemon that does not act as the decider; the rest is then unused.
    ``contact`` counts the ticks for which it may still grant without an answer from the store.
    ``table`` is its copy of the table. ``known`` counts, for each server, the ticks until its hold
    expires at the latest, as far as this decider knows (an upper bound). ``granted`` is true
    once the owner has replied to a grant under this table. ``confirmed`` counts the
    ticks left of the hold that a server last confirmed by its reply to a grant. ``age`` counts the
    ticks since it took over, up to ``grace_ticks``: from then on no earlier decider can grant.
    ``unanswered`` is true if it sent the store a move whose reply was lost. ``former`` counts, for
    each server, the ticks for which a former decider may still send it grants.
    """

    deciding: bool
    contact: int
    table: Table
    known: tuple[int, int]
    granted: bool
    confirmed: int
    age: int = 0
    unanswered: bool = False
    former: tuple[int, int] = (0, 0)


class LateGrant(NamedTuple):
    """A late grant: its sender got no reply, and it may still arrive.

    ``left`` is how many ticks of its hold are left; they also pass while it is delayed.
    """

    server: int
    fence: int
    left: int


class WaitingGrant(NamedTuple):
    """A grant that was decided and waits at its sender to be sent.

    ``left`` is how many ticks are left until its deadline.
    """

    server: int
    fence: int
    left: int


class State(NamedTuple):
    """The state of the store, the servers and the deciders, one late and one waiting grant at most.

    ``record`` is the number of the decider that the record in the store names, or ``NO_ID``.
    ``restored`` is true once the store has been restored from the copy with the initial table;
    ``unknown`` then counts the ticks until no server can hold the key by a table that was lost.
    ``restarted`` is a server that has restarted without a pause and whose restart no decider has
    learned of, or ``NO_ID``.
    """

    table: Table
    record: int
    servers: tuple[Server, Server]
    deciders: tuple[Decider, ...]
    late: LateGrant | None
    waiting: WaitingGrant | None = None
    restarted: int = NO_ID
    restored: bool = False
    unknown: int = 0


NOT_DECIDING = Decider(False, 0, Table(NO_ID, NO_FENCE, NO_ID), (0, 0), False, 0)
"""A daemon that does not act as the decider."""


def tick(state: State, grace_ticks: int) -> State:
    """Lets a tick pass: counts all times down, and the deciders' ages up."""
    first, second = (
        Server(max(0, server.hold - 1), server.seen, max(0, server.down - 1))
        for server in state.servers
    )
    deciders = tuple(
        decider._replace(
            contact=max(0, decider.contact - 1),
            known=(max(0, decider.known[0] - 1), max(0, decider.known[1] - 1)),
            confirmed=max(0, decider.confirmed - 1),
            age=min(grace_ticks, decider.age + 1) if decider.deciding else 0,
            former=(max(0, decider.former[0] - 1), max(0, decider.former[1] - 1)),
        )
        for decider in state.deciders
    )
    late = state.late
    if late is not None:
        late = late._replace(left=late.left - 1) if late.left > 1 else None
    waiting = state.waiting
    if waiting is not None:
        waiting = waiting._replace(left=max(0, waiting.left - 1))
    return state._replace(
        servers=(first, second),
        deciders=deciders,
        late=late,
        waiting=waiting,
        unknown=max(0, state.unknown - 1),
    )


def apply_late_grant(state: State, late: LateGrant) -> State:
    """The late grant arrives; a crashed server or one that saw a higher fence ignores it."""
    server = state.servers[late.server]
    after = state._replace(late=None)
    if server.down or server.seen > late.fence:
        return after
    hold = max(server.hold, late.left)
    return with_server(after, late.server, Server(hold, late.fence, 0))


def apply_waiting_grant(state: State, waiting: WaitingGrant) -> State:
    """The waiting grant arrives: its hold begins now, however long it has waited."""
    server = state.servers[waiting.server]
    after = state._replace(waiting=None)
    if server.down or server.seen > waiting.fence:
        return after
    return with_server(after, waiting.server, Server(HOLD_TICKS, waiting.fence, 0))


def restore(state: State, unknown_ticks: int) -> State:
    """The store has the initial table and no decider record; no decider learns of it."""
    table = Table(0, 1, NO_ID)
    return state._replace(table=table, record=NO_ID, restored=True, unknown=unknown_ticks)


def waits_for_unknown_holders(state: State, decider: Decider) -> bool:
    """Returns whether a decider of the restored store has to wait; earlier ones do not."""
    return state.unknown > 0 and decider.table.fence >= RESTORED_FENCE


def release_unknown_holder(state: State) -> State:
    """The server that the restored table does not name releases the key, if it runs."""
    other = 1 - state.table.owner
    if state.servers[other].down:
        return state
    return with_server(state, other, Server(0, state.table.fence, 0))


def end_former_decider(state: State, number: int, decider: Decider) -> State:
    """The other decider is told that it is superseded, stops, and says so.

    Its last grant may have started a hold just before.
    """
    known = (min(decider.known[0], HOLD_TICKS), min(decider.known[1], HOLD_TICKS))
    told = decider._replace(known=known, former=(0, 0))
    return with_decider(with_decider(state, 1 - number, NOT_DECIDING), number, told)


def decide_waiting_grant(state: State, number: int, decider: Decider) -> State:
    """Decides a grant that is sent later; the decider counts one hold from its deadline."""
    owner = decider.table.owner
    known = replace_at(decider.known, owner, max(decider.known[owner], WAIT_TICKS + HOLD_TICKS))
    waiting = WaitingGrant(owner, decider.table.fence, WAIT_TICKS)
    return with_decider(state, number, decider._replace(known=known))._replace(waiting=waiting)


def grant_waits_for(state: State, server: int) -> bool:
    """Returns whether a grant to a server waits to be sent."""
    return state.waiting is not None and state.waiting.server == server


def without_previous(decider: Decider) -> Decider:
    return decider._replace(table=decider.table._replace(previous=NO_ID))


def with_decider(state: State, number: int, decider: Decider) -> State:
    deciders = (*state.deciders[:number], decider, *state.deciders[number + 1 :])
    return state._replace(deciders=deciders)


def with_server(state: State, number: int, server: Server) -> State:
    servers = list(state.servers)
    servers[number] = server
    return state._replace(servers=(servers[0], servers[1]))


def replace_at(values: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, values[1]) if index == 0 else (values[0], value)
