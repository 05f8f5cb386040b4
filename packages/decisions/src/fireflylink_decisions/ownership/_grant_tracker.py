"""Tracking of grants: which commands are due, and when the hold of each server expires.

The owner of keys is the server that the ownership table assigns them to. A holder of keys is a
server that may have an unexpired grant of them. After a move, the previous owners stay listed in
the assignment as its previous holders, and the new owner becomes a holder with its first grant.
"""

from collections.abc import Callable, Sequence

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._commands import (
    BaseCommand,
    GrantCommand,
    ReleaseCommand,
    keys_and_fence,
)
from fireflylink_decisions.ownership._former_deciders import FormerDeciders
from fireflylink_decisions.ownership._grant_state import GrantState
from fireflylink_decisions.ownership._grant_timing import (
    CLOCK_DRIFT_FACTOR,
    COMMAND_RETRY_DELAY_SECONDS,
    GRANT_TIMEOUT_SECONDS,
    HOLD_MARGIN_SECONDS,
    HOLD_SECONDS,
    MAX_RENEWAL_INTERVAL_FRACTION,
    RENEWAL_INTERVAL_SECONDS,
)
from fireflylink_decisions.ownership._hold_end import HoldEnd
from fireflylink_decisions.ownership._hold_ends import HoldEnds
from fireflylink_decisions.ownership._hold_expiries import HoldExpiries
from fireflylink_decisions.ownership._holder_sweep import HolderSweep


class GrantTracker:
    """Tracks the grants of one service for the decider.

    A new holder is granted keys only when every previous holder has confirmed their release under
    the new fence, or when every grant that may have reached the previous holder has expired.
    ``elected_at`` is when this decider took over from ``former_deciders``, which may go on for some
    time. A release is final only when none of them can send its server grants any more: if the
    server restarts under its id, it has forgotten the release and its fence. So none is sent before
    that.

    ``holds`` has the latest time at which each grant that a server may have accepted expires.
    ``first_table_fence`` is the fence of the table that this decider writes first. While there is a
    ``sweep``, no keys are granted or renewed.
    """

    __slots__ = (
        "assignments_by_server",
        "first_table_fence",
        "former_deciders",
        "grant_states",
        "hold_ends",
        "hold_seconds",
        "holds",
        "max_hold_seconds",
        "renewal_interval_seconds",
        "sweep",
        "table",
    )

    def __init__(self, elected_at: float, hold_seconds: float = HOLD_SECONDS) -> None:
        self.hold_seconds = hold_seconds
        self.max_hold_seconds = hold_seconds * CLOCK_DRIFT_FACTOR + HOLD_MARGIN_SECONDS
        self.renewal_interval_seconds = min(
            RENEWAL_INTERVAL_SECONDS, hold_seconds * MAX_RENEWAL_INTERVAL_FRACTION
        )
        self.former_deciders = FormerDeciders(elected_at, self.max_hold_seconds)
        self.first_table_fence = 0
        self.table: OwnershipTable | None = None
        self.grant_states: dict[tuple[KeyRange, int], GrantState] = {}
        self.holds = HoldExpiries()
        self.hold_ends = HoldEnds()
        self.sweep: HolderSweep | None = None
        self.assignments_by_server: dict[ServerIncarnation, list[Assignment]] = {}

    def mark_no_former_decider(self) -> None:
        """Records that no table existed before, so that no former decider granted any keys."""
        self.former_deciders.mark_none()

    def record_former_deciders_end(self, end_at: float) -> None:
        """Records that all former deciders have stepped down, or will have by ``end_at``."""
        self.former_deciders.record_end(end_at)
        self.holds.limit_former(self.former_deciders.owner_hold)

    def is_sole_decider(self, now: float) -> bool:
        """Whether no former decider can send grants any more."""
        return now >= self.former_deciders.end_at

    def start_sweep(self, expires_at: float, knows_all_holders: bool) -> None:
        """Holds grants back until servers hold no unknown keys any more, see ``HolderSweep``.

        To be called before the first table of a new era is set.
        """
        own_holds = self.holds if knows_all_holders else None
        self.sweep = HolderSweep(expires_at, own_holds)

    def has_unexpired_grants(self, now: float) -> bool:
        """Whether servers have confirmed grants, and each of these has been renewed in time.

        Another decider would have advanced the fence at these servers, which then refuse renewals.
        """
        granted = [state for state in self.grant_states.values() if state.granted]
        return bool(granted) and not any(
            state.is_expired(now, self.hold_seconds) for state in granted
        )

    def record_former_table(self, table: OwnershipTable, seen_at: float) -> None:
        """Records the table that was taken over, and when this daemon first saw it."""
        self.former_deciders.record_table(table, seen_at)

    def set_table(self, table: OwnershipTable) -> None:
        """Replaces the table by one that the store has acknowledged.

        If there was a former decider, the first table that this decider writes comes from
        ``with_new_fence``: all its fences are higher than those of former deciders.
        """
        if self.table is None:
            self.first_table_fence = table.fence
            self._add_inherited_holds(table)
        if self.sweep is not None and self.sweep.table is None:
            self.sweep.start(table)
        old_states = self.grant_states
        old_assignments = self._assignment_states()
        self.table = table
        self.grant_states = {}
        self.assignments_by_server = {}
        for assignment in table.assignments:
            for incarnation in {assignment.owner, *assignment.previous_holders}:
                self.assignments_by_server.setdefault(incarnation, []).append(assignment)
            grant_id = (assignment.keys, assignment.fence)
            state = old_states.get(grant_id)
            if state is None:
                state = GrantState(assignment)
                self._copy_state(state, assignment, old_assignments)
            self.grant_states[grant_id] = state

    def due_commands(
        self,
        now: float,
        pending_removal: frozenset[tuple[KeyRange, int]] = frozenset(),
        accept: Callable[[BaseCommand], bool] | None = None,
        server: ServerIncarnation | None = None,
    ) -> list[BaseCommand]:
        """Returns the commands to send now. Each is in flight until its result is recorded.

        ``accept`` is called for each command that is due, those that have been due for longest
        first, and returns whether it can be sent at once. One that cannot be sent stays due: the
        commands that are sent later are those of the table and the time of then.

        ``pending_removal`` are the ranges, with their fences, that are absent from the tables whose
        write the store has not acknowledged. No grants of them are sent or renewed: if a write
        succeeded, a successor assumes that the previous holders in that table get no more grants.
        """
        if self.table is None:
            return []
        due: list[BaseCommand] = self._due_sweep_commands(now)
        assignments: Sequence[Assignment] = (
            self.table.assignments if server is None else self.assignments_by_server.get(server, [])
        )
        for assignment in assignments:
            state = self.grant_states[(assignment.keys, assignment.fence)]
            self.hold_ends.end_without_release(self.holds, state, assignment, now)
            if state.unreleased_holders:
                due.extend(self._due_releases(assignment, state, now))
            elif (
                self.sweep is not None
                or (assignment.keys, assignment.fence) in pending_removal
                or state.is_expired(now, self.hold_seconds)
                or self.holds.has_ended(assignment.owner)
            ):
                continue
            elif self._is_due(state, assignment.owner, now):
                due.append(self._grant_command(assignment, state))
        if accept is None:
            commands = due
        else:
            # The sweep may ask for a release that is due for a move as well.
            distinct = sorted(dict.fromkeys(due), key=self._due_at)
            commands = [command for command in distinct if accept(command)]
        for command in commands:
            self._mark_in_flight(command)
        return commands

    def _due_sweep_commands(self, now: float) -> list[BaseCommand]:
        """Returns the releases of the sweep that are due; ends the sweep when it is done."""
        if self.sweep is None:
            return []
        releases = self.sweep.due_commands(now, self.holds)
        if self.sweep.is_done(now):
            self.sweep = None
            return []
        return [*releases]

    def is_part_of_sweep(self, command: BaseCommand) -> bool:
        """Whether a command is a release that is asked of a server for the sweep only."""
        return isinstance(command, ReleaseCommand) and (
            keys_and_fence(command) not in self.grant_states
        )

    def _due_at(self, command: BaseCommand) -> float:
        state = self.grant_states.get(keys_and_fence(command))
        return 0.0 if state is None else state.due_at.get(command.server, 0.0)

    def record_sent(self, command: GrantCommand, deadline: float) -> None:
        """Records that a grant is about to be sent, to arrive until ``deadline`` or never.

        ``deadline`` is ``GRANT_TIMEOUT_SECONDS`` from now. The keys may be held from now on, until
        one hold after ``deadline``.
        """
        self.holds.record_sent(
            command.server,
            (command.keys, command.fence),
            deadline - GRANT_TIMEOUT_SECONDS,
            deadline + self.max_hold_seconds,
        )

    def record_not_sent(self, command: GrantCommand) -> None:
        """Records that no byte of a grant was sent, and restores the expiry of the hold.

        Earlier grants still count, whether they were answered or not. The table may have been
        replaced since ``record_sent``.
        """
        self.holds.record_not_sent(command.server, (command.keys, command.fence))

    def record_granted(self, command: GrantCommand, now: float) -> None:
        """Records that a server confirmed a grant."""
        self.holds.record_granted(
            command.server,
            (command.keys, command.fence),
            now + self.max_hold_seconds,
            ends_former=command.fence >= self.first_table_fence,
        )
        self.hold_ends.record_granted(command.server, (command.keys, command.fence), now)
        state = self._complete_command(command.keys, command.fence, command.server)
        if state is not None:
            state.granted = True
            state.granted_at = now
            state.due_at[command.server] = now + self.renewal_interval_seconds

    def record_released(self, command: ReleaseCommand, handover: str, now: float) -> None:
        """Records that a server released keys, with its handover token for the next holder."""
        if self.sweep is not None:
            self.sweep.record_released(command)
        state = self._complete_command(command.keys, command.fence, command.server)
        if state is None:
            return
        self.hold_ends.end_released(self.holds, state, command, now)
        state.handover = handover or state.handover

    def record_failed(self, command: BaseCommand, now: float) -> None:
        """Records that a command failed; it is due again after ``COMMAND_RETRY_DELAY_SECONDS``."""
        if self.sweep is not None and isinstance(command, ReleaseCommand):
            self.sweep.record_failed(command, now)
        keys, fence = keys_and_fence(command)
        self.holds.record_failed(command.server, (keys, fence))
        state = self._complete_command(keys, fence, command.server)
        if state is None:
            return
        state.due_at[command.server] = now + COMMAND_RETRY_DELAY_SECONDS

    def record_incarnation_ended(
        self, server: ServerIncarnation, successor: ServerIncarnation | None = None
    ) -> None:
        """Records that an incarnation has ended, and which one has followed under the same id.

        It gets no more grants. What it may hold of earlier ones is counted for its successor.
        """
        self.holds.record_ended(server, successor)

    def table_without_completed_moves(self) -> OwnershipTable | None:
        """Returns the table with the previous holders of completed moves removed from it.

        A move is completed when no previous holder is left and the owner has confirmed its grant.
        Returns None when there is no such move.
        """
        if self.table is None:
            return None
        assignments = tuple(
            self._without_completed_move(assignment) for assignment in self.table.assignments
        )
        if assignments == self.table.assignments:
            return None
        return self.table.replace(assignments=assignments)

    def take_hold_ends_of(self, command: GrantCommand) -> list[HoldEnd]:
        """Returns what ended the former holds of the keys of a grant, once for each grant."""
        state = self.grant_states.get((command.keys, command.fence))
        if state is None:
            return []
        taken, state.hold_ends = state.hold_ends, []
        return taken

    def is_current(self, command: GrantCommand) -> bool:
        """Whether a grant is one of the current table."""
        return (command.keys, command.fence) in self.grant_states

    def hold_expires_at(self, server: ServerIncarnation, keys: KeyRange) -> float:
        """Returns the latest time at which a grant of any of the keys to a server expires."""
        return self.holds.expires_at(server, keys)

    def _add_inherited_holds(self, table: OwnershipTable) -> None:
        """Adds the holds that former deciders may have granted, or may still renew for owners."""
        former = self.former_deciders
        for assignment in table.assignments:
            self.holds.add_former(assignment.owner, assignment.keys, former.owner_hold)
            for incarnation in assignment.previous_holders:
                self.holds.add_former(incarnation, assignment.keys, former.previous_holder_hold)

    def _assignment_states(self) -> list[tuple[Assignment, GrantState]]:
        if self.table is None:
            return []
        return [
            (assignment, self.grant_states[(assignment.keys, assignment.fence)])
            for assignment in self.table.assignments
        ]

    def _copy_state(
        self,
        state: GrantState,
        assignment: Assignment,
        old_assignments: list[tuple[Assignment, GrantState]],
    ) -> None:
        """Copies the state of the old assignment that this one is a remaining part of, if any."""
        for old, old_state in old_assignments:
            if old.fence == assignment.fence and old.keys.overlaps(assignment.keys):
                state.copy_progress(old_state)
                return

    def _without_completed_move(self, assignment: Assignment) -> Assignment:
        state = self.grant_states[(assignment.keys, assignment.fence)]
        if not assignment.previous_holders or state.unreleased_holders or not state.granted:
            return assignment
        return assignment.replace(previous_holders=(), handover="")

    def _due_releases(
        self, assignment: Assignment, state: GrantState, now: float
    ) -> list[BaseCommand]:
        holders = dict.fromkeys(map(self.holds.holder, state.unreleased_holders))
        return [
            ReleaseCommand(incarnation, assignment.keys, assignment.fence)
            for incarnation in holders
            if self._is_due(state, incarnation, now)
            and self.holds.is_release_final(incarnation, assignment, now)
        ]

    def _grant_command(self, assignment: Assignment, state: GrantState) -> GrantCommand:
        handover = "" if state.granted else state.handover
        return GrantCommand(
            assignment.owner, assignment.keys, assignment.fence, handover, state.granted
        )

    def expired_ranges(self, now: float) -> frozenset[KeyRange]:
        """Returns the ranges whose grants expired before they were renewed: they need a new fence.

        Their server may have restarted, and then does not know the old one.
        """
        if self.table is None:
            return frozenset()
        return frozenset(
            assignment.keys
            for assignment in self.table.assignments
            if self.grant_states[(assignment.keys, assignment.fence)].is_expired(
                now, self.hold_seconds
            )
        )

    def _is_due(self, state: GrantState, incarnation: ServerIncarnation, now: float) -> bool:
        return incarnation not in state.in_flight and now >= state.due_at.get(incarnation, 0.0)

    def _mark_in_flight(self, command: BaseCommand) -> None:
        if self.sweep is not None and isinstance(command, ReleaseCommand):
            self.sweep.record_sent(command)
        state = self.grant_states.get(keys_and_fence(command))
        if state is not None:
            state.in_flight.add(command.server)

    def _complete_command(
        self, keys: KeyRange, fence: int, server: ServerIncarnation
    ) -> GrantState | None:
        """Marks a command as not in flight; returns the state of its grant if it is current."""
        state = self.grant_states.get((keys, fence))
        if state is not None:
            state.in_flight.discard(server)
        return state
