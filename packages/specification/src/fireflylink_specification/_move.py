"""A move of a shard between two data centres, written in two tables by racing deciders.

Each table has one record of the shard. A decider reads both tables, one after the other, computes
one write from what it read and may be lost at any moment; its write may take effect much later. The
source is the table that releases the shard, the destination the one with the pending record.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._time import LONGEST_TERM, after_tick

DECIDERS = 2
TABLE_NAMES = ("west", "east")

NO_RECORD, PENDING, OWNED, RELEASED = range(4)


class Table(NamedTuple):
    """A table's record of the shard; ``authority_left`` outlasts its release."""

    version: int
    kind: int
    epoch: int
    acknowledged: bool = True
    authority_left: int = 0


class View(NamedTuple):
    """What a decider read from a table."""

    version: int
    kind: int
    epoch: int


class Write(NamedTuple):
    """A write on its way to the platform."""

    table: int
    expected_version: int
    kind: int
    epoch: int


class Decider(NamedTuple):
    views: tuple[View | None, View | None] = (None, None)
    write: Write | None = None


class MoveState(NamedTuple):
    tables: tuple[Table, Table]
    deciders: tuple[Decider, ...]
    moves_left: int


class MoveModel(BaseModel[MoveState]):
    """Safety: one owner acts, and the records always name an owner."""

    name = "move between data centres"
    bounds = "2 tables, 2 deciders, 3 started moves"
    guards = (
        Guard.CAS_EXPECTED,
        Guard.PENDING_UNTIL_RELEASED,
        Guard.SOURCE_SETTLED,
        Guard.WITHDRAW_AT_SOURCE,
        Guard.MOVE_EPOCH,
        Guard.EPOCH_RISES,
        Guard.CONFIRM_BEFORE_MOVE,
    )
    started_moves = 3

    def initial(self) -> MoveState:
        tables = Table(1, OWNED, 1), Table(1, NO_RECORD, 0)
        return MoveState(tables, (Decider(),) * DECIDERS, self.started_moves)

    def steps(self, state: MoveState) -> Iterator[Step[MoveState]]:
        yield "one tick passes", _after_tick(state)
        for index, table in enumerate(state.tables):
            if not table.acknowledged:
                yield f"the voters of {TABLE_NAMES[index]} acknowledge its release", _with_table(
                    state, index, table._replace(acknowledged=True)
                )
        for index, decider in enumerate(state.deciders):
            if decider.write is None:
                yield from self._read_steps(state, index, decider)
                yield from self._decide_steps(state, index, decider)
            else:
                yield self._platform_step(state, index, decider.write)

    def faults(self, state: MoveState) -> Iterator[Step[MoveState]]:
        for index, decider in enumerate(state.deciders):
            if decider.write is not None:
                yield f"the write of decider {index} is lost", _with_decider(
                    state, index, Decider()
                )

    def properties(self) -> Mapping[str, Callable[[MoveState], bool]]:
        return {"one owner": self._one_owner, "records name an owner": self._has_owner}

    def is_goal(self, state: MoveState) -> bool:
        kinds = [table.kind for table in state.tables]
        return kinds.count(OWNED) == 1 and PENDING not in kinds

    def _read_steps(
        self, state: MoveState, index: int, decider: Decider
    ) -> Iterator[Step[MoveState]]:
        for number, table in enumerate(state.tables):
            view = View(table.version, table.kind, table.epoch)
            if view != decider.views[number]:
                views = _replaced(decider.views, number, view)
                yield f"decider {index} reads the table of {TABLE_NAMES[number]}", _with_decider(
                    state, index, Decider(views)
                )

    def _decide_steps(
        self, state: MoveState, index: int, decider: Decider
    ) -> Iterator[Step[MoveState]]:
        for source in (0, 1):
            here, there = decider.views[source], decider.views[1 - source]
            if here is None or there is None:
                continue
            for label, write, moves in self._writes(state, source, here, there):
                yield f"decider {index} writes to {label}", _with_decider(
                    state, index, Decider(write=write)
                )._replace(moves_left=state.moves_left - moves)

    def _writes(
        self, state: MoveState, source: int, here: View, there: View
    ) -> Iterator[tuple[str, Write, int]]:
        """Yields the writes that move the shard on from the source, and the moves they start."""
        target = 1 - source
        target_name = TABLE_NAMES[target]
        if state.moves_left and self._may_move(here, there):
            pending = Write(target, there.version, PENDING, here.epoch + 1)
            yield f"{target_name} that the shard is pending", pending, 1
        if there.kind != PENDING:
            return
        if here.kind == OWNED and self._epochs_match(there.epoch, here.epoch + 1):
            release = Write(source, here.version, RELEASED, there.epoch)
            yield f"{TABLE_NAMES[source]} that the shard is released", release, 0
            yield self._withdrawal(source, here, there)
        if here.kind == OWNED and there.epoch <= here.epoch:
            removal = Write(target, there.version, NO_RECORD, 0)
            yield f"{target_name} to remove the pending record", removal, 0
        is_settled = state.tables[source].authority_left == 0
        if here.kind == RELEASED and here.epoch == there.epoch and is_settled:
            confirmation = Write(target, there.version, OWNED, there.epoch)
            yield f"{target_name} that the shard is owned", confirmation, 0

    def _may_move(self, here: View, there: View) -> bool:
        if there.kind not in (NO_RECORD, RELEASED):
            return False
        if there.epoch > here.epoch and self.in_force.has(Guard.EPOCH_RISES):
            return False
        if here.kind == OWNED:
            return True
        is_effective = here.kind == PENDING and there.kind == RELEASED and here.epoch == there.epoch
        return is_effective and not self.in_force.has(Guard.CONFIRM_BEFORE_MOVE)

    def _withdrawal(self, source: int, here: View, there: View) -> tuple[str, Write, int]:
        if self.in_force.has(Guard.WITHDRAW_AT_SOURCE):
            raised = Write(source, here.version, OWNED, there.epoch)
            return f"{TABLE_NAMES[source]} a higher epoch to withdraw the move", raised, 0
        removal = Write(1 - source, there.version, NO_RECORD, 0)
        return f"{TABLE_NAMES[1 - source]} to withdraw the pending record", removal, 0

    def _platform_step(self, state: MoveState, index: int, write: Write) -> Step[MoveState]:
        table = state.tables[write.table]
        after = _with_decider(state, index, Decider())
        matches = table.version == write.expected_version
        if not matches and self.in_force.has(Guard.CAS_EXPECTED):
            return f"the platform refuses the write of decider {index}", after
        is_release = write.kind == RELEASED
        written = Table(
            table.version + 1,
            write.kind,
            write.epoch,
            acknowledged=table.acknowledged and not is_release,
            authority_left=LONGEST_TERM if is_release else table.authority_left,
        )
        return f"the platform applies the write of decider {index}", _with_table(
            after, write.table, written
        )

    def _epochs_match(self, first: int, second: int) -> bool:
        return first == second or not self.in_force.has(Guard.MOVE_EPOCH)

    def _is_effective(self, table: Table, other: Table) -> bool:
        """Returns whether a pending record names the owner."""
        return other.kind == RELEASED and self._epochs_match(table.epoch, other.epoch)

    def _acts(self, table: Table, other: Table) -> bool:
        if table.kind == OWNED or table.authority_left > 0:
            return True
        if table.kind != PENDING:
            return False
        if not self.in_force.has(Guard.PENDING_UNTIL_RELEASED):
            return True
        is_settled = other.authority_left == 0 or not self.in_force.has(Guard.SOURCE_SETTLED)
        return self._is_effective(table, other) and is_settled

    def _one_owner(self, state: MoveState) -> bool:
        west, east = state.tables
        return not (self._acts(west, east) and self._acts(east, west))

    def _has_owner(self, state: MoveState) -> bool:
        west, east = state.tables
        if OWNED in (west.kind, east.kind):
            return True
        return (west.kind == PENDING and self._is_effective(west, east)) or (
            east.kind == PENDING and self._is_effective(east, west)
        )


def _after_tick(state: MoveState) -> MoveState:
    west, east = (
        (
            table._replace(authority_left=after_tick(table.authority_left))
            if table.acknowledged
            else table
        )
        for table in state.tables
    )
    return state._replace(tables=(west, east))


def _replaced(
    views: tuple[View | None, View | None], number: int, view: View
) -> tuple[View | None, View | None]:
    return (view, views[1]) if number == 0 else (views[0], view)


def _with_table(state: MoveState, index: int, table: Table) -> MoveState:
    west, east = state.tables
    return state._replace(tables=(table, east) if index == 0 else (west, table))


def _with_decider(state: MoveState, index: int, decider: Decider) -> MoveState:
    deciders = (*state.deciders[:index], decider, *state.deciders[index + 1 :])
    return state._replace(deciders=deciders)
