"""Models of how one key is granted, released and moved to another server.

There are two servers, and deciders that lose and take over the decider record. Time passes in
ticks. A hold lasts ``HOLD`` ticks from the arrival of its grant, and a decider that the store does
not answer stops after ``grace`` ticks. Different clock rates are not modelled: the code adds a
margin for them to each wait.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step

HOLD = 1
NO_ID = -1
"""Stands for no server or no decider."""
NO_FENCE = 0
SERVERS = (0, 1)


class Table(NamedTuple):
    """The ownership table of one key.

    ``previous`` is the former holder that has not yet released the key, ``NO_ID`` if there is none.
    ``alone`` is true if no earlier decider could still grant keys when the table was written.
    """

    owner: int
    fence: int
    previous: int
    alone: bool = False


class Server(NamedTuple):
    """A backend server.

    ``hold`` is how many ticks of its hold are left, ``seen`` the highest fence that it has seen,
    and ``down`` after how many ticks a crashed server is back. All are 0 if they do not apply.
    """

    hold: int
    seen: int
    down: int


class Decider(NamedTuple):
    """What a daemon knows as the decider.

    ``contact`` is for how many ticks it may continue without an answer from the store. ``table`` is
    its copy of the table. ``known`` is, for each server, after how many ticks its hold expires at
    the latest, as far as this decider knows. ``granted`` is true once the owner has confirmed a
    grant under this table, and ``confirmed`` is how many ticks are left of the hold that an owner
    last confirmed. ``age`` counts the ticks since it took over, up to ``grace``. ``unanswered`` is
    true if it sent the store a move whose reply was lost.
    """

    deciding: bool
    contact: int
    table: Table
    known: tuple[int, int]
    granted: bool
    confirmed: int
    age: int = 0
    unanswered: bool = False


class LateGrant(NamedTuple):
    """A grant without a reply that may still arrive.

    ``left`` is how many ticks of its hold are left; they also pass while it is delayed.
    """

    server: int
    fence: int
    left: int


class State(NamedTuple):
    """The state of the store, the servers and the deciders, and at most one delayed grant.

    ``record`` is the number of the decider that the record in the store names, or ``NO_ID``.
    """

    table: Table
    record: int
    servers: tuple[Server, Server]
    deciders: tuple[Decider, ...]
    late: LateGrant | None


IDLE = Decider(False, 0, Table(NO_ID, NO_FENCE, NO_ID), (0, 0), False, 0)


class _TransferModel(BaseModel[State]):
    """The protocol; subclasses set the number of deciders, the bounds and the possible faults."""

    deciders: int
    grace = 1
    fences = 3
    crashes = True
    late_grants = True
    lost_replies = False

    def initial(self) -> State:
        table = Table(0, 1, NO_ID)
        first = Decider(True, self.grace, table, (HOLD, 0), True, HOLD, self.grace)
        others = (IDLE,) * (self.deciders - 1)
        servers = (Server(HOLD, 1, 0), Server(0, NO_FENCE, 0))
        return State(table, 0, servers, (first, *others), None)

    def steps(self, state: State) -> Iterator[Step[State]]:
        yield "a tick passes", _tick(state, self.grace)
        for number, decider in enumerate(state.deciders):
            name = f"decider {number}"
            if decider.deciding:
                yield from self._store_steps(state, number, decider, name)
                yield from self._server_steps(state, number, decider, name)
            elif state.record == NO_ID and state.table.fence < self.fences:
                yield f"{name} takes over", self._take_over(state, number)

    def faults(self, state: State) -> Iterator[Step[State]]:
        if state.record != NO_ID:
            yield "the store drops the decider record", state._replace(record=NO_ID)
        for server in SERVERS:
            if self.crashes and not state.servers[server].down:
                crashed = Server(0, NO_FENCE, HOLD + 1)
                late = state.late if state.late and state.late.server != server else None
                yield (
                    f"server {server} crashes and will restart under its id",
                    _with_server(state, server, crashed)._replace(late=late),
                )
        for number, decider in enumerate(state.deciders):
            if self.lost_replies and self._may_move(state, number, decider):
                yield (
                    f"decider {number} moves the key and receives no reply",
                    self._move_without_reply(state, number, decider),
                )
            may_send = self._may_grant(decider) and self._may_use_fence(decider)
            if self.late_grants and state.late is None and may_send:
                yield (
                    f"decider {number} grants the key and receives no reply",
                    self._grant_without_reply(state, number, decider),
                )

    def properties(self) -> Mapping[str, Callable[[State], bool]]:
        return {"one holder": lambda state: not all(server.hold for server in state.servers)}

    def is_goal(self, state: State) -> bool:
        """Whether the owner in the stored table holds the key, or the fences are used up."""
        holds = state.servers[state.table.owner].hold > 0 and state.table.previous == NO_ID
        return holds or state.table.fence == self.fences

    def _store_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        own = state.record == number
        if own:
            yield f"{name} renews its record", _with_decider(
                state, number, decider._replace(contact=self.grace)
            )
        elif self.in_force.has(Guard.YIELD) and decider.table != state.table:
            yield f"{name} reads a different table and stops", _with_decider(state, number, IDLE)
        elif decider.table != state.table:
            adopted = decider._replace(table=state.table, granted=False)
            yield f"{name} reads a different table and continues", _with_decider(
                state, number, adopted
            )
        else:
            yield f"{name} finds its record missing and stops", _with_decider(state, number, IDLE)
        if self._may_move(state, number, decider):
            yield f"{name} moves the key", self._move(state, number, decider)
        if own and decider.unanswered:
            learned = decider._replace(table=state.table, granted=False, unanswered=False)
            yield f"{name} reads its own move from the store", _with_decider(state, number, learned)
        elif own and decider.table != state.table and decider.table.previous == NO_ID:
            yield f"{name} writes that the former holder is done", state._replace(
                table=decider.table
            )

    def _server_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        previous = decider.table.previous
        if previous != NO_ID:
            if not state.servers[previous].down:
                yield f"{name} has server {previous} release the key", self._release(
                    state, number, decider
                )
            if not self.in_force.has(Guard.HOLD_WAIT) or not decider.known[previous]:
                yield (
                    f"{name} considers the hold of server {previous} expired",
                    _with_decider(state, number, _without_previous(decider)),
                )
        elif self._may_grant(decider) and self._may_use_fence(decider):
            yield f"{name} grants the key", self._grant(state, number, decider)
        if state.late is not None:
            yield "the delayed grant arrives", _apply_late_grant(state, state.late)
        if previous == NO_ID and decider.granted and not decider.confirmed:
            yield from self._fence_steps(state, number, decider, name)

    def _fence_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        """Yields the step that renews an expired grant under a new fence from the store."""
        if state.record == number and state.table.fence < self.fences:
            owner = decider.table.owner
            table = Table(owner, state.table.fence + 1, owner)
            renewed = decider._replace(table=table, granted=False)
            yield f"{name} advances the fence", _with_decider(state, number, renewed)._replace(
                table=table
            )

    def _may_move(self, state: State, number: int, decider: Decider) -> bool:
        if not decider.deciding or decider.unanswered or decider.table.previous != NO_ID:
            return False
        may_write = state.record == number or not self.in_force.has(Guard.CONDITIONAL_COMMIT)
        return may_write and state.table.fence < self.fences

    def _may_grant(self, decider: Decider) -> bool:
        if decider.unanswered and self.in_force.has(Guard.SUSPEND_MOVED):
            return False
        if not decider.deciding or decider.table.previous != NO_ID:
            return False
        return decider.contact > 0 or not self.in_force.has(Guard.OUTAGE_GRACE)

    def _may_use_fence(self, decider: Decider) -> bool:
        """Whether no grant under the fence of the decider's table has expired."""
        if not self.in_force.has(Guard.LAPSED_GRANT):
            return True
        return not decider.granted or decider.confirmed > 0

    def _take_over(self, state: State, number: int) -> State:
        stored = state.table
        table = stored._replace(alone=False)
        if self.in_force.has(Guard.TAKEOVER_FENCE):
            table = table._replace(fence=table.fence + 1)
        wait = self.grace + HOLD if self.in_force.has(Guard.TAKEOVER_WAIT) else 0
        known = (wait, wait)
        if stored.previous != NO_ID and (stored.alone or not self.in_force.has(Guard.ALONE_TABLE)):
            known = _replace_at(known, stored.previous, min(wait, HOLD))
        decider = Decider(True, self.grace, table, known, False, 0)
        return _with_decider(state, number, decider)._replace(record=number, table=table)

    def _move(self, state: State, number: int, decider: Decider) -> State:
        table = self._moved_table(state, decider)
        moved = decider._replace(table=table, granted=False)
        return _with_decider(state, number, moved)._replace(table=table)

    def _move_without_reply(self, state: State, number: int, decider: Decider) -> State:
        table = self._moved_table(state, decider)
        return _with_decider(state, number, decider._replace(unanswered=True))._replace(table=table)

    def _moved_table(self, state: State, decider: Decider) -> Table:
        owner = decider.table.owner
        return Table(1 - owner, state.table.fence + 1, owner, decider.age >= self.grace)

    def _release(self, state: State, number: int, decider: Decider) -> State:
        previous = decider.table.previous
        server = state.servers[previous]
        if server.seen > decider.table.fence:
            return _with_decider(state, number, IDLE)
        seen = decider.table.fence if self.in_force.has(Guard.RELEASE_FENCE) else server.seen
        released = _with_server(state, previous, Server(0, seen, 0))
        return _with_decider(released, number, _without_previous(decider))

    def _grant(self, state: State, number: int, decider: Decider) -> State:
        owner = decider.table.owner
        server = state.servers[owner]
        if server.down:
            return state
        if server.seen > decider.table.fence:
            return _with_decider(state, number, IDLE)
        # After this answer the server refuses lower fences: its hold ends no later than this grant.
        known = _replace_at(decider.known, owner, HOLD)
        granted = decider._replace(known=known, granted=True, confirmed=HOLD)
        held = _with_server(state, owner, Server(HOLD, decider.table.fence, 0))
        return _with_decider(held, number, granted)

    def _grant_without_reply(self, state: State, number: int, decider: Decider) -> State:
        owner = decider.table.owner
        known = decider.known
        if self.in_force.has(Guard.COUNT_UNANSWERED):
            known = _replace_at(known, owner, max(known[owner], HOLD))
        late = None
        if not state.servers[owner].down:
            late = LateGrant(owner, decider.table.fence, HOLD)
        return _with_decider(state, number, decider._replace(known=known))._replace(late=late)


class SteadyDeciderModel(_TransferModel):
    """One decider that loses its record and takes over again; servers crash; grants are delayed."""

    name = "steady-decider"
    bounds = "1 decider, 2 servers, 4 fences, 1 late grant, crashes"
    guards = (Guard.RELEASE_FENCE, Guard.HOLD_WAIT, Guard.COUNT_UNANSWERED)
    deciders = 1
    fences = 4


class TakeoverModel(_TransferModel):
    """Two deciders, each of which may continue without knowing of the other."""

    name = "takeover"
    bounds = "2 deciders, 2 servers, 3 fences, 1 late grant, crashes"
    guards = (
        Guard.CONDITIONAL_COMMIT,
        Guard.RELEASE_FENCE,
        Guard.HOLD_WAIT,
        Guard.TAKEOVER_WAIT,
    )
    deciders = 2


class LongGraceModel(_TransferModel):
    """Two deciders; the former one continues for longer than a hold lasts."""

    name = "long-grace"
    bounds = "2 deciders, 2 servers, 4 fences"
    guards = (Guard.OUTAGE_GRACE, Guard.TAKEOVER_FENCE, Guard.YIELD)
    deciders = 2
    grace = 2
    fences = 4
    crashes = False
    late_grants = False


class LostReplyModel(_TransferModel):
    """Two deciders; the store commits a table and the reply to its writer is lost."""

    name = "lost-reply"
    bounds = "2 deciders, 2 servers, 4 fences, lost replies"
    guards = (Guard.ALONE_TABLE, Guard.SUSPEND_MOVED)
    deciders = 2
    grace = 2
    fences = 4
    crashes = False
    late_grants = False
    lost_replies = True


class RestartModel(_TransferModel):
    """Two deciders; servers restart under their ids while the former one still grants keys."""

    name = "restart"
    bounds = "2 deciders, 2 servers, 3 fences, crashes"
    guards = (Guard.LAPSED_GRANT,)
    deciders = 2
    grace = 3
    late_grants = False


def _tick(state: State, grace: int) -> State:
    first, second = (
        Server(max(0, server.hold - 1), server.seen, max(0, server.down - 1))
        for server in state.servers
    )
    deciders = tuple(
        decider._replace(
            contact=max(0, decider.contact - 1),
            known=(max(0, decider.known[0] - 1), max(0, decider.known[1] - 1)),
            confirmed=max(0, decider.confirmed - 1),
            age=min(grace, decider.age + 1) if decider.deciding else 0,
        )
        for decider in state.deciders
    )
    late = state.late
    if late is not None:
        late = late._replace(left=late.left - 1) if late.left > 1 else None
    return state._replace(servers=(first, second), deciders=deciders, late=late)


def _apply_late_grant(state: State, late: LateGrant) -> State:
    server = state.servers[late.server]
    after = state._replace(late=None)
    if server.down or server.seen > late.fence:
        return after
    hold = max(server.hold, late.left)
    return _with_server(after, late.server, Server(hold, late.fence, 0))


def _without_previous(decider: Decider) -> Decider:
    return decider._replace(table=decider.table._replace(previous=NO_ID))


def _with_decider(state: State, number: int, decider: Decider) -> State:
    deciders = (*state.deciders[:number], decider, *state.deciders[number + 1 :])
    return state._replace(deciders=deciders)


def _with_server(state: State, number: int, server: Server) -> State:
    servers = list(state.servers)
    servers[number] = server
    return state._replace(servers=(servers[0], servers[1]))


def _replace_at(values: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, values[1]) if index == 0 else (values[0], value)
