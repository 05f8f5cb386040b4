"""One key, two servers, deciders that come and go: the protocol of grants and moves.

Time passes in ticks. A hold lasts ``HOLD`` ticks from the arrival of its grant, and a decider that
the store does not answer stops after ``grace`` ticks. The rates of clocks are left out: the code
adds their margin to each wait.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step

HOLD = 1
NOBODY = -1
NO_FENCE = 0
SERVERS = (0, 1)


class Table(NamedTuple):
    """The owner of the key, the fence, and the former holder that has not given it up.

    ``alone`` tells that no decider from before its writer could grant when it was written.
    """

    owner: int
    fence: int
    previous: int
    alone: bool = False


class Server(NamedTuple):
    """``hold`` ticks are left of the hold; ``down`` ticks until a crashed server is back."""

    hold: int
    seen: int
    down: int


class Decider(NamedTuple):
    """A daemon as decider.

    ``contact`` is how many ticks it may go on without the store. ``known`` is for each server in
    how many ticks its hold has ended as far as this decider knows, ``confirmed`` how many ticks are
    left of the hold that the owner last confirmed. ``age`` counts the ticks since it took over, up
    to ``grace``, and ``unanswered`` tells that a move was written without its knowing.
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
    """A grant without an answer that may still be carried out; its time runs already."""

    server: int
    fence: int
    left: int


class State(NamedTuple):
    """The store, the servers, the deciders, and one grant that is late."""

    table: Table
    record: int
    servers: tuple[Server, Server]
    deciders: tuple[Decider, ...]
    late: LateGrant | None


IDLE = Decider(False, 0, Table(NOBODY, NO_FENCE, NOBODY), (0, 0), False, 0)


class _TransferModel(BaseModel[State]):
    """The rules of the protocol; subclasses say how many deciders there are."""

    deciders: int
    grace = 1
    fences = 3
    crashes = True
    late_grants = True
    lost_replies = False

    def initial(self) -> State:
        table = Table(0, 1, NOBODY)
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
            elif state.record == NOBODY and state.table.fence < self.fences:
                yield f"{name} takes over", self._take_over(state, number)

    def faults(self, state: State) -> Iterator[Step[State]]:
        if state.record != NOBODY:
            yield "the store drops the decider record", state._replace(record=NOBODY)
        for server in SERVERS:
            if self.crashes and not state.servers[server].down:
                crashed = Server(0, NO_FENCE, HOLD + 1)
                late = state.late if state.late and state.late.server != server else None
                yield (
                    f"server {server} crashes and will start again under its id",
                    _with_server(state, server, crashed)._replace(late=late),
                )
        for number, decider in enumerate(state.deciders):
            if self.lost_replies and self._may_move(state, number, decider):
                yield (
                    f"decider {number} moves the key and gets no answer",
                    self._move_without_answer(state, number, decider),
                )
            may_send = self._may_grant(decider) and self._grantable(decider)
            if self.late_grants and state.late is None and may_send:
                yield (
                    f"decider {number} grants and gets no answer",
                    self._grant_without_answer(state, number, decider),
                )

    def properties(self) -> Mapping[str, Callable[[State], bool]]:
        return {"one holder": lambda state: not all(server.hold for server in state.servers)}

    def is_goal(self, state: State) -> bool:
        """The owner that the store names holds the key, or the run used up its bounded fences."""
        holds = state.servers[state.table.owner].hold > 0 and state.table.previous == NOBODY
        return holds or state.table.fence == self.fences

    def _store_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        own = state.record == number
        if own:
            yield f"{name} renews its record", _with(
                state, number, decider._replace(contact=self.grace)
            )
        elif self.in_force.has(Guard.YIELD) and decider.table != state.table:
            yield f"{name} reads another table and stops", _with(state, number, IDLE)
        elif decider.table != state.table:
            adopted = decider._replace(table=state.table, granted=False)
            yield f"{name} reads another table and goes on", _with(state, number, adopted)
        else:
            yield f"{name} finds its record gone and stops", _with(state, number, IDLE)
        if self._may_move(state, number, decider):
            yield f"{name} moves the key", self._move(state, number, decider)
        if own and decider.unanswered:
            learned = decider._replace(table=state.table, granted=False, unanswered=False)
            yield f"{name} reads that its move was written", _with(state, number, learned)
        elif own and decider.table != state.table and decider.table.previous == NOBODY:
            yield f"{name} writes the move down", state._replace(table=decider.table)

    def _server_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        previous = decider.table.previous
        if previous != NOBODY:
            if not state.servers[previous].down:
                yield f"{name} releases at server {previous}", self._release(state, number, decider)
            if not self.in_force.has(Guard.HOLD_WAIT) or not decider.known[previous]:
                yield (
                    f"{name} waited out server {previous}",
                    _with(state, number, _without_previous(decider)),
                )
        elif self._may_grant(decider) and self._grantable(decider):
            yield f"{name} grants", self._grant(state, number, decider)
        if state.late is not None:
            yield "the late grant is carried out", _carry_out(state, state.late)
        if previous == NOBODY and decider.granted and not decider.confirmed:
            yield from self._new_fence(state, number, decider, name)

    def _new_fence(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        """A lapsed grant goes on under a new fence, which only the store can give."""
        if state.record == number and state.table.fence < self.fences:
            owner = decider.table.owner
            table = Table(owner, state.table.fence + 1, owner)
            renewed = decider._replace(table=table, granted=False)
            yield f"{name} renews the fence", _with(state, number, renewed)._replace(table=table)

    def _may_move(self, state: State, number: int, decider: Decider) -> bool:
        if not decider.deciding or decider.unanswered or decider.table.previous != NOBODY:
            return False
        may_write = state.record == number or not self.in_force.has(Guard.CONDITIONAL_COMMIT)
        return may_write and state.table.fence < self.fences

    def _may_grant(self, decider: Decider) -> bool:
        if decider.unanswered and self.in_force.has(Guard.SUSPEND_MOVED):
            return False
        if not decider.deciding or decider.table.previous != NOBODY:
            return False
        return decider.contact > 0 or not self.in_force.has(Guard.OUTAGE_GRACE)

    def _grantable(self, decider: Decider) -> bool:
        if not self.in_force.has(Guard.LAPSED_GRANT):
            return True
        return not decider.granted or decider.confirmed > 0

    def _take_over(self, state: State, number: int) -> State:
        found = state.table
        table = found._replace(alone=False)
        if self.in_force.has(Guard.TAKEOVER_FENCE):
            table = table._replace(fence=table.fence + 1)
        wait = self.grace + HOLD if self.in_force.has(Guard.TAKEOVER_WAIT) else 0
        known = (wait, wait)
        if found.previous != NOBODY and (found.alone or not self.in_force.has(Guard.ALONE_TABLE)):
            known = _set(known, found.previous, min(wait, HOLD))
        decider = Decider(True, self.grace, table, known, False, 0)
        return _with(state, number, decider)._replace(record=number, table=table)

    def _move(self, state: State, number: int, decider: Decider) -> State:
        table = self._moved_table(state, decider)
        moved = decider._replace(table=table, granted=False)
        return _with(state, number, moved)._replace(table=table)

    def _move_without_answer(self, state: State, number: int, decider: Decider) -> State:
        table = self._moved_table(state, decider)
        return _with(state, number, decider._replace(unanswered=True))._replace(table=table)

    def _moved_table(self, state: State, decider: Decider) -> Table:
        owner = decider.table.owner
        return Table(1 - owner, state.table.fence + 1, owner, decider.age >= self.grace)

    def _release(self, state: State, number: int, decider: Decider) -> State:
        previous = decider.table.previous
        server = state.servers[previous]
        if server.seen > decider.table.fence:
            return _with(state, number, IDLE)
        seen = decider.table.fence if self.in_force.has(Guard.RELEASE_FENCE) else server.seen
        released = _with_server(state, previous, Server(0, seen, 0))
        return _with(released, number, _without_previous(decider))

    def _grant(self, state: State, number: int, decider: Decider) -> State:
        owner = decider.table.owner
        server = state.servers[owner]
        if server.down:
            return state
        if server.seen > decider.table.fence:
            return _with(state, number, IDLE)
        # The answer makes the hold known again: lower fences are refused from now on.
        known = _set(decider.known, owner, HOLD)
        granted = decider._replace(known=known, granted=True, confirmed=HOLD)
        held = _with_server(state, owner, Server(HOLD, decider.table.fence, 0))
        return _with(held, number, granted)

    def _grant_without_answer(self, state: State, number: int, decider: Decider) -> State:
        owner = decider.table.owner
        known = decider.known
        if self.in_force.has(Guard.COUNT_UNANSWERED):
            known = _set(known, owner, max(known[owner], HOLD))
        late = None
        if not state.servers[owner].down:
            late = LateGrant(owner, decider.table.fence, HOLD)
        return _with(state, number, decider._replace(known=known))._replace(late=late)


class SteadyDeciderModel(_TransferModel):
    """One decider that loses its record and takes over again; servers crash; grants are late."""

    name = "steady-decider"
    bounds = "1 decider, 2 servers, 4 fences, 1 late grant, crashes"
    guards = (Guard.RELEASE_FENCE, Guard.HOLD_WAIT, Guard.COUNT_UNANSWERED)
    deciders = 1
    fences = 4


class TakeoverModel(_TransferModel):
    """Two deciders of which each may go on without knowing of the other."""

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
    """Two deciders; the former one goes on for longer than a hold lasts."""

    name = "long-grace"
    bounds = "2 deciders, 2 servers, 4 fences"
    guards = (Guard.OUTAGE_GRACE, Guard.TAKEOVER_FENCE, Guard.YIELD)
    deciders = 2
    grace = 2
    fences = 4
    crashes = False
    late_grants = False


class LostReplyModel(_TransferModel):
    """Two deciders; the store takes a table and its writer does not learn of it."""

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
    """Two deciders; servers start again under their ids while the former one still grants."""

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


def _carry_out(state: State, late: LateGrant) -> State:
    server = state.servers[late.server]
    after = state._replace(late=None)
    if server.down or server.seen > late.fence:
        return after
    hold = max(server.hold, late.left)
    return _with_server(after, late.server, Server(hold, late.fence, 0))


def _without_previous(decider: Decider) -> Decider:
    return decider._replace(table=decider.table._replace(previous=NOBODY))


def _with(state: State, number: int, decider: Decider) -> State:
    deciders = (*state.deciders[:number], decider, *state.deciders[number + 1 :])
    return state._replace(deciders=deciders)


def _with_server(state: State, number: int, server: Server) -> State:
    servers = list(state.servers)
    servers[number] = server
    return state._replace(servers=(servers[0], servers[1]))


def _set(values: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, values[1]) if index == 0 else (values[0], value)
