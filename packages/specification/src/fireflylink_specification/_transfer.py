"""Models of how one key is granted, released and moved to another server.

Terms:

- decider: the elected leader among the daemons. It alone writes the table and sends grants and
  releases to the servers. After a loss of its record a former decider may still act as one.
- record: the item in the store that names the decider; ``NO_ID`` if it names none.
- table: the item in the store that assigns the key to a server, the owner.
- fence: a fencing token. Each move, takeover and renewal of an expired grant raises the fence of
  the table; a server refuses grants and releases with a lower fence than the highest it has seen.
- hold: the time for which a server may serve the key after a grant. The holder is the server whose
  hold has not expired; the former holder is the one that must release the key after a move.
- late grant: a grant whose sender gets no reply, and that arrives late or never.
- waiting grant: a grant that was decided and is sent later, but not after its deadline.

Assumptions:

- There are two servers and one key. Time passes in ticks.
- A hold lasts ``HOLD_TICKS`` from the arrival of its grant; for a late grant, from its sending.
- A decider that the store does not answer stops granting after ``grace_ticks``.
- At most one grant is late at a time, and at most one waits.
- A crashed server loses its hold and the fence that it has seen. It is back after
  ``HOLD_TICKS + 1`` ticks, or at once in models with quick restarts. A late grant to it is lost.
- Clocks run at one rate: the code adds a margin for different rates to each wait.
"""

from collections.abc import Callable, Iterator, Mapping

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._state import (
    HOLD_TICKS,
    NO_FENCE,
    NO_ID,
    NOT_DECIDING,
    RESTORED_FENCE,
    SERVERS,
    Decider,
    LateGrant,
    Server,
    State,
    Table,
    WaitingGrant,
    apply_late_grant,
    apply_waiting_grant,
    decide_waiting_grant,
    end_former_decider,
    grant_waits_for,
    release_unknown_holder,
    replace_at,
    restore,
    tick,
    waits_for_unknown_holders,
    with_decider,
    with_server,
    without_previous,
)


class BaseTransferModel(BaseModel[State]):
    """The protocol; subclasses set the number of deciders, the bounds and the possible faults.

    The search is bounded by ``max_fence``: no table gets a higher fence.
    """

    decider_count: int
    grace_ticks = 1
    max_fence = 3
    has_crashes = True
    has_late_grants = True
    has_lost_replies = False
    has_waiting_grants = False
    has_quick_restarts = False
    has_restores = False
    has_former_ended = True
    """Whether ``Guard.FORMER_ENDED`` applies at all."""

    def initial(self) -> State:
        table = Table(0, 1, NO_ID)
        first = Decider(
            True, self.grace_ticks, table, (HOLD_TICKS, 0), True, HOLD_TICKS, self.grace_ticks
        )
        others = (NOT_DECIDING,) * (self.decider_count - 1)
        servers = (Server(HOLD_TICKS, 1, 0), Server(0, NO_FENCE, 0))
        return State(table, 0, servers, (first, *others), None)

    def steps(self, state: State) -> Iterator[Step[State]]:
        """Yields the tick, what each decider can do, and takeovers while the record names none."""
        yield "a tick passes", tick(state, self.grace_ticks)
        for number, decider in enumerate(state.deciders):
            name = f"decider {number}"
            if decider.deciding:
                yield from self._store_steps(state, number, decider, name)
                yield from self._server_steps(state, number, decider, name)
            elif state.record == NO_ID and state.table.fence < self._fence_limit(state):
                yield f"{name} takes over", self._take_over(state, number)

    def faults(self, state: State) -> Iterator[Step[State]]:
        """Yields the loss of the record, crashes of servers, and losses of replies.

        The reply to a move is lost after the store has committed it. A grant whose reply is lost
        becomes the late grant.
        """
        if state.record != NO_ID:
            yield "the store drops the decider record", state._replace(record=NO_ID)
        if self.has_restores and not state.restored:
            waits = self.applied_guards.has(Guard.RESTORE_WAIT)
            ticks = self.grace_ticks + HOLD_TICKS if waits else 0
            yield "the store is restored from an older copy", restore(state, ticks)
        for server in SERVERS:
            if self.has_crashes and not state.servers[server].down:
                crashed = Server(0, NO_FENCE, HOLD_TICKS + 1)
                late = state.late if state.late and state.late.server != server else None
                yield (
                    f"server {server} crashes and will restart with the same id",
                    with_server(state, server, crashed)._replace(late=late),
                )
            if self.has_quick_restarts and state.restarted == NO_ID:
                yield (
                    f"server {server} restarts at once with the same id",
                    with_server(state, server, Server(0, NO_FENCE, 0))._replace(restarted=server),
                )
        for number, decider in enumerate(state.deciders):
            if self.has_lost_replies and self._may_move(state, number, decider):
                yield (
                    f"decider {number} moves the key and receives no reply",
                    self._move_without_reply(state, number, decider),
                )
            may_send = self._may_grant(state, decider) and self._may_use_fence(decider)
            if self.has_late_grants and state.late is None and may_send:
                yield (
                    f"decider {number} grants the key and receives no reply",
                    self._grant_without_reply(state, number, decider),
                )

            if self.has_waiting_grants and state.waiting is None and may_send:
                yield (
                    f"decider {number} decides a grant that waits to be sent",
                    decide_waiting_grant(state, number, decider),
                )

    def properties(self) -> Mapping[str, Callable[[State], bool]]:
        # At most one server has an unexpired hold.
        return {"one holder": lambda state: not all(server.hold for server in state.servers)}

    def is_goal(self, state: State) -> bool:
        """Returns whether the stored table's owner holds the key, or the bound is reached.

        No move, takeover or higher fence can follow a table with fence ``max_fence``, so that its
        states count as goals.
        """
        owner_holds_key = (
            state.servers[state.table.owner].hold > 0 and state.table.previous == NO_ID
        )
        return owner_holds_key or state.table.fence == self._fence_limit(state)

    def _fence_limit(self, state: State) -> int:
        return RESTORED_FENCE - 1 if self.has_restores and not state.restored else self.max_fence

    def _store_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        """Yields the reads and writes of the store by a daemon that acts as the decider."""
        own = state.record == number
        if own:
            yield f"{name} renews its record", with_decider(
                state, number, decider._replace(contact=self.grace_ticks)
            )
        elif self.applied_guards.has(Guard.YIELD) and decider.table != state.table:
            yield f"{name} reads a different table and stops", with_decider(
                state, number, NOT_DECIDING
            )
        elif decider.table != state.table:
            after_read = decider._replace(table=state.table, granted=False)
            yield f"{name} reads a different table and continues", with_decider(
                state, number, after_read
            )
        else:
            yield f"{name} finds its record missing and stops", with_decider(
                state, number, NOT_DECIDING
            )
        if self._may_move(state, number, decider):
            yield f"{name} moves the key", self._move(state, number, decider)
        if own and decider.unanswered:
            after_read = decider._replace(table=state.table, granted=False, unanswered=False)
            yield f"{name} reads its own move from the store", with_decider(
                state, number, after_read
            )
        elif own and decider.table != state.table and decider.table.previous == NO_ID:
            yield f"{name} writes that no former holder is left", state._replace(
                table=decider.table
            )

    def _server_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        """Yields the releases and grants of a decider, and the arrival of a late grant.

        A grant is sent only once no former holder is left: it has released the key, or the decider
        considers its hold expired. A late grant arrives only while some daemon acts as the decider.
        """
        previous = decider.table.previous
        if previous != NO_ID:
            if not state.servers[previous].down and self._may_release(state, decider):
                yield f"{name} has server {previous} release the key", self._release(
                    state, number, decider
                )
            if not self.applied_guards.has(Guard.HOLD_WAIT) or not decider.known[previous]:
                yield (
                    f"{name} considers the hold of server {previous} expired",
                    with_decider(state, number, without_previous(decider)),
                )
        elif self._may_grant(state, decider) and self._may_use_fence(decider):
            yield f"{name} grants the key", self._grant(state, number, decider)
        if decider.former != (0, 0) and state.record == number:
            yield (
                f"{name} learns that the former decider has stopped",
                end_former_decider(state, number, decider),
            )
        if state.restarted != NO_ID:
            yield (
                f"{name} learns that server {state.restarted} has restarted",
                self._learn_of_restart(state, number, decider),
            )
        if state.waiting is not None:
            yield from self._waiting_steps(state, state.waiting)
        if state.late is not None:
            yield "the late grant arrives", apply_late_grant(state, state.late)
        if previous == NO_ID and decider.granted and not decider.confirmed:
            yield from self._fence_steps(state, number, decider, name)

    def _waiting_steps(self, state: State, waiting: WaitingGrant) -> Iterator[Step[State]]:
        """Yields the sending of the waiting grant, or its end at the deadline.

        The sender does not know whether the table was replaced since: only the deadline stops it.
        """
        if waiting.left or not self.applied_guards.has(Guard.SEND_DEADLINE):
            yield "the waiting grant is sent", apply_waiting_grant(state, waiting)
        else:
            yield "the waiting grant passes its deadline", state._replace(waiting=None)

    def _fence_steps(
        self, state: State, number: int, decider: Decider, name: str
    ) -> Iterator[Step[State]]:
        """Yields the write of a higher fence, needed to renew an expired grant.

        The owner becomes its own former holder: it must release the key, or its hold expire, before
        the grant under the new fence.
        """
        if state.record == number and state.table.fence < self._fence_limit(state):
            owner = decider.table.owner
            table = Table(owner, state.table.fence + 1, owner)
            after_write = decider._replace(table=table, granted=False)
            yield f"{name} advances the fence", with_decider(state, number, after_write)._replace(
                table=table
            )

    def _learn_of_restart(self, state: State, number: int, decider: Decider) -> State:
        """The decider reads the registration of a server's next incarnation.

        Renewals that were sent meanwhile have started holds of that incarnation.
        """
        known = decider.known
        if not self.applied_guards.has(Guard.RESTART_HOLD):
            known = replace_at(known, state.restarted, 0)
        learned = decider._replace(known=known)
        return with_decider(state, number, learned)._replace(restarted=NO_ID)

    def _may_move(self, state: State, number: int, decider: Decider) -> bool:
        """Returns whether the decider may write a table that moves the key.

        Without the guard ``CONDITIONAL_COMMIT`` only moves become unconditional: other writes of
        the table still need the record.
        """
        if not decider.deciding or decider.unanswered or decider.table.previous != NO_ID:
            return False
        if waits_for_unknown_holders(state, decider):
            return False
        may_write = state.record == number or not self.applied_guards.has(Guard.CONDITIONAL_COMMIT)
        return may_write and state.table.fence < self._fence_limit(state)

    def _may_grant(self, state: State, decider: Decider) -> bool:
        """Returns whether the decider may grant the key to the owner in its table."""
        if waits_for_unknown_holders(state, decider):
            return False
        if decider.unanswered and self.applied_guards.has(Guard.SUSPEND_MOVED):
            return False
        if not decider.deciding or decider.table.previous != NO_ID:
            return False
        return decider.contact > 0 or not self.applied_guards.has(Guard.OUTAGE_GRACE)

    def _may_release(self, state: State, decider: Decider) -> bool:
        """Returns whether a release by the former holder is final.

        While a former decider may renew its grant, or a grant of this decider is under way, its
        next incarnation may hold the key again, unless that server is to own it.
        """
        previous = decider.table.previous
        if previous == decider.table.owner:
            return True
        if self.applied_guards.has(Guard.SETTLED_GRANTS) and grant_waits_for(state, previous):
            return False
        return not self.applied_guards.has(Guard.FORMER_ENDED) or not decider.former[previous]

    def _may_use_fence(self, decider: Decider) -> bool:
        """Returns whether no grant under the fence of the decider's table has expired."""
        if not self.applied_guards.has(Guard.LAPSED_GRANT):
            return True
        return not decider.granted or decider.confirmed > 0

    def _take_over(self, state: State, number: int) -> State:
        """Writes the record and a table with a higher fence, and starts the wait for old holds.

        Until ``grace_ticks`` have passed, the former decider may still grant; the last such grant
        expires ``HOLD_TICKS`` later. If the stored table has ``alone``, only its writer could
        still grant when it was written, and the writer grants the former holder nothing any more:
        one hold is then enough for that server.
        """
        stored = state.table
        table = stored._replace(alone=False)
        if self.applied_guards.has(Guard.TAKEOVER_FENCE):
            first_fence = RESTORED_FENCE if state.restored else NO_FENCE
            table = table._replace(fence=max(table.fence + 1, first_fence))
        wait = self.grace_ticks + HOLD_TICKS if self.applied_guards.has(Guard.TAKEOVER_WAIT) else 0
        known = (wait, wait)
        if stored.previous != NO_ID and (
            stored.alone or not self.applied_guards.has(Guard.ALONE_TABLE)
        ):
            known = replace_at(known, stored.previous, min(wait, HOLD_TICKS))
        former = (self.grace_ticks, self.grace_ticks)
        if not self.has_former_ended or self.decider_count == 1:
            # A single decider takes over from itself.
            former = (0, 0)
        elif stored.previous != NO_ID and stored.alone:
            former = replace_at(former, stored.previous, 0)
        decider = Decider(True, self.grace_ticks, table, known, False, 0, former=former)
        after = with_decider(state, number, decider)._replace(record=number, table=table)
        sweeps = state.restored and stored.fence < RESTORED_FENCE
        return release_unknown_holder(after) if sweeps else after

    def _move(self, state: State, number: int, decider: Decider) -> State:
        """Writes a table that assigns the key to the other server; the decider gets the reply."""
        table = self._moved_table(state, decider)
        after_move = decider._replace(table=table, granted=False)
        return with_decider(state, number, after_move)._replace(table=table)

    def _move_without_reply(self, state: State, number: int, decider: Decider) -> State:
        """Writes the same table, but the reply of the store is lost."""
        table = self._moved_table(state, decider)
        return with_decider(state, number, decider._replace(unanswered=True))._replace(table=table)

    def _moved_table(self, state: State, decider: Decider) -> Table:
        """Returns a table in which the owner becomes the former holder, the other server owner."""
        owner = decider.table.owner
        return Table(1 - owner, state.table.fence + 1, owner, decider.age >= self.grace_ticks)

    def _release(self, state: State, number: int, decider: Decider) -> State:
        """The former holder ends its hold; if it has seen a higher fence, the decider stops."""
        previous = decider.table.previous
        server = state.servers[previous]
        if server.seen > decider.table.fence:
            return with_decider(state, number, NOT_DECIDING)
        seen = decider.table.fence if self.applied_guards.has(Guard.RELEASE_FENCE) else server.seen
        released = with_server(state, previous, Server(0, seen, 0))
        return with_decider(released, number, without_previous(decider))

    def _grant(self, state: State, number: int, decider: Decider) -> State:
        """The owner starts a hold; if it has seen a higher fence, the decider stops.

        A grant to a crashed server changes nothing.
        """
        owner = decider.table.owner
        server = state.servers[owner]
        if server.down:
            return state
        if server.seen > decider.table.fence:
            return with_decider(state, number, NOT_DECIDING)
        # From now on the server refuses grants with a lower fence, so that they can't extend its
        # hold. A waiting grant under the same fence can, and so can a former decider's grant to the
        # server's next incarnation.
        waits = state.waiting is not None and state.waiting.fence == decider.table.fence
        may_be_reset = self.applied_guards.has(Guard.FORMER_ENDED) and decider.former[owner] > 0
        extends = waits or may_be_reset
        held = max(decider.known[owner], HOLD_TICKS) if extends else HOLD_TICKS
        known = replace_at(decider.known, owner, held)
        granted = decider._replace(known=known, granted=True, confirmed=HOLD_TICKS)
        after_grant = with_server(state, owner, Server(HOLD_TICKS, decider.table.fence, 0))
        return with_decider(after_grant, number, granted)

    def _grant_without_reply(self, state: State, number: int, decider: Decider) -> State:
        """Sends a late grant; one to a crashed server is lost."""
        owner = decider.table.owner
        known = decider.known
        if self.applied_guards.has(Guard.COUNT_UNANSWERED):
            known = replace_at(known, owner, max(known[owner], HOLD_TICKS))
        late = None
        if not state.servers[owner].down:
            late = LateGrant(owner, decider.table.fence, HOLD_TICKS)
        return with_decider(state, number, decider._replace(known=known))._replace(late=late)
