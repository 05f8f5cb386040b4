"""Which grants, renewals and releases are due, and when a silent server's hold has ended."""

from fireflylink_core import Assignment, BaseValue, KeyRange, OwnershipTable, ServerIncarnation

HOLD_SECONDS = 3.0
"""A lost server's keys are served again when its hold has ended, within 5 s of its loss. Keys lapse
if the rest of a hold at a due renewal is shorter than the election of another decider."""

RENEWAL_SECONDS = 1.0
RENEWAL_PART = 1.0 / 3.0
"""Where the platform allows shorter holds only, they are renewed after this part of them."""

GRANT_TIMEOUT_SECONDS = 0.6
"""Time-out of a grant; the connection is then reset, so that it does not arrive later."""

RELEASE_TIMEOUT_SECONDS = 3.0
"""Time-out of a release: the server answers when the work on the keys has ended."""

RETRY_SECONDS = 0.3
CLOCK_DRIFT = 1.02
HOLD_MARGIN_SECONDS = 0.2
OUTAGE_GRACE_SECONDS = 8.0
"""How long a decider renews without the store. A successor waits for it before it gives the keys of
servers that it cannot reach to others."""

FORMER_DECIDER = 0
"""Stands for the fences of what a former decider granted."""


class BaseCommand(BaseValue):
    """Something to tell a server."""

    __slots__ = ()

    server: ServerIncarnation


class GrantCommand(BaseCommand):
    """Grant keys, or renew their grant."""

    __slots__ = ("fence", "handover", "keys", "renewal", "server")

    def __init__(
        self, server: ServerIncarnation, keys: KeyRange, fence: int, handover: str, renewal: bool
    ) -> None:
        self.server = server
        self.keys = keys
        self.fence = fence
        self.handover = handover
        self.renewal = renewal


class ReleaseCommand(BaseCommand):
    """Take keys back under the fence of their next holder."""

    __slots__ = ("fence", "keys", "server")

    def __init__(self, server: ServerIncarnation, keys: KeyRange, fence: int) -> None:
        self.server = server
        self.keys = keys
        self.fence = fence


class _Progress:
    """How far the grant of one assignment is."""

    __slots__ = (
        "busy",
        "due_at",
        "granted",
        "granted_at",
        "handover",
        "pending",
    )

    def __init__(self, assignment: Assignment) -> None:
        self.pending = list(dict.fromkeys(assignment.previous_holders))
        self.handover = assignment.handover
        self.granted = False
        self.granted_at = 0.0
        self.busy: set[ServerIncarnation] = set()
        self.due_at: dict[ServerIncarnation, float] = {}

    def lapsed(self, now: float, hold_seconds: float) -> bool:
        """Whether a confirmed grant has run out."""
        return self.granted and now > self.granted_at + hold_seconds


def with_new_fence(table: OwnershipTable) -> OwnershipTable:
    """Returns the table with which a decider takes over: every range under a new fence.

    A former decider that is cut off from the store may still renew its grants. A server that has
    confirmed the new fence refuses them, so its hold is known again.
    """
    fence = table.fence + 1
    assignments = tuple(assignment.replace(fence=fence) for assignment in table.assignments)
    return OwnershipTable(table.service, fence, assignments)


def former_deciders_expire_at(elected_at: float) -> float:
    """Returns from when on no decider from before one that began at a time can grant."""
    return elected_at + OUTAGE_GRACE_SECONDS + GRANT_TIMEOUT_SECONDS


class GrantTracker:
    """The decider's bookkeeping of grants.

    A new holder is granted keys only when every former holder has confirmed their release under the
    new fence, or when each grant to it that may still come true has run out. ``elected_at`` is when
    this decider took over: what a former decider sent to a server that does not answer is known to
    have ended only ``OUTAGE_GRACE_SECONDS`` and a whole hold later.
    """

    __slots__ = (
        "ended_incarnations",
        "first_fence",
        "former_holds_expire_at",
        "former_previous_holds_expire_at",
        "hold_expiries",
        "hold_seconds",
        "max_hold_seconds",
        "previous_hold_expiries",
        "progress",
        "renewal_seconds",
        "table",
    )

    def __init__(self, elected_at: float, hold_seconds: float = HOLD_SECONDS) -> None:
        self.hold_seconds = hold_seconds
        self.max_hold_seconds = hold_seconds * CLOCK_DRIFT + HOLD_MARGIN_SECONDS
        self.renewal_seconds = min(RENEWAL_SECONDS, hold_seconds * RENEWAL_PART)
        self.former_holds_expire_at = (
            elected_at + OUTAGE_GRACE_SECONDS + GRANT_TIMEOUT_SECONDS + self.max_hold_seconds
        )
        self.former_previous_holds_expire_at = self.former_holds_expire_at
        self.first_fence = 0
        self.table: OwnershipTable | None = None
        self.progress: dict[tuple[KeyRange, int], _Progress] = {}
        self.hold_expiries: dict[ServerIncarnation, dict[tuple[KeyRange, int], float]] = {}
        self.previous_hold_expiries: dict[tuple[ServerIncarnation, KeyRange, int], float] = {}
        self.ended_incarnations: set[ServerIncarnation] = set()

    def mark_no_former_decider(self) -> None:
        """Takes note that there was no table before: no former decider granted anything."""
        self.former_holds_expire_at = float("-inf")
        self.former_previous_holds_expire_at = float("-inf")

    def record_former_table(self, table: OwnershipTable, seen_at: float) -> None:
        """Takes the table that this decider found, and when this daemon first saw it.

        Its writer granted its former holders nothing after it was written. If no earlier decider
        could grant then, their holds have ended a whole hold after the table was seen.
        """
        if table.written_by_sole_decider:
            latest = seen_at + GRANT_TIMEOUT_SECONDS + self.max_hold_seconds
            self.former_previous_holds_expire_at = min(self.former_holds_expire_at, latest)

    def set_table(self, table: OwnershipTable) -> None:
        """Takes a table that the store has acknowledged.

        The first one comes from ``with_new_fence``: all its fences are above those of former
        deciders.
        """
        if self.table is None:
            self.first_fence = table.fence
            self._presume_former_holds(table)
        old = self.progress
        inherited = self._granted_ranges()
        self.table = table
        self.progress = {}
        for assignment in table.assignments:
            name = (assignment.keys, assignment.fence)
            progress = old.get(name)
            if progress is None:
                progress = _Progress(assignment)
                self._inherit(progress, assignment, inherited)
            self.progress[name] = progress

    def due_commands(
        self, now: float, suspended: frozenset[tuple[KeyRange, int]] = frozenset()
    ) -> list[BaseCommand]:
        """Returns the commands to send now; each counts as under way until its end is noted.

        ``suspended`` are ranges and fences that a table takes away whose writing was not answered
        yet: they are not renewed, because a successor may count on that.
        """
        if self.table is None:
            return []
        commands: list[BaseCommand] = []
        for assignment in self.table.assignments:
            progress = self.progress[(assignment.keys, assignment.fence)]
            self._drop_ended_holds(progress, assignment.keys, now)
            if progress.pending:
                commands.extend(self._releases(assignment, progress, now))
            elif (assignment.keys, assignment.fence) in suspended or progress.lapsed(
                now, self.hold_seconds
            ):
                continue
            elif self._is_due(progress, assignment.owner, now):
                commands.append(self._grant(assignment, progress))
        for command in commands:
            self._mark_busy(command)
        return commands

    def record_sent(self, command: GrantCommand, now: float) -> None:
        """Takes note that a grant is about to be sent: it may come true whatever follows."""
        holds = self.hold_expiries.setdefault(command.server, {})
        name = (command.keys, command.fence)
        self.previous_hold_expiries[(command.server, *name)] = holds.get(name, float("-inf"))
        holds[name] = now + GRANT_TIMEOUT_SECONDS + self.max_hold_seconds

    def record_not_sent(self, command: GrantCommand) -> None:
        """Records that a grant was not sent after all: no byte of it left.

        What was sent before it, answered or not, counts on. The table may have changed meanwhile.
        """
        name = (command.keys, command.fence)
        before = self.previous_hold_expiries.pop((command.server, *name), None)
        if before is not None:
            self.hold_expiries[command.server][name] = before

    def record_granted(self, command: GrantCommand, now: float) -> None:
        """Records that a server confirmed that it holds the keys."""
        self.previous_hold_expiries.pop((command.server, command.keys, command.fence), None)
        holds = self.hold_expiries.setdefault(command.server, {})
        holds[(command.keys, command.fence)] = now + self.max_hold_seconds
        if command.fence >= self.first_fence:
            # The server refuses what a former decider may still send for these keys.
            for held, fence in list(holds):
                if fence == FORMER_DECIDER and command.keys.covers(held):
                    del holds[(held, fence)]
        progress = self._progress_of(command.keys, command.fence, command.server)
        if progress is not None:
            progress.granted = True
            progress.granted_at = now
            progress.due_at[command.server] = now + self.renewal_seconds

    def record_released(self, command: ReleaseCommand, handover: str, now: float) -> None:
        """Records that a server gave the keys up, with the token for the next holder."""
        progress = self._progress_of(command.keys, command.fence, command.server)
        if progress is None:
            return
        if command.server in progress.pending:
            progress.pending.remove(command.server)
        progress.handover = handover or progress.handover

    def record_failed(self, command: BaseCommand, now: float) -> None:
        """Takes note that a command had no good end; it is due again soon."""
        keys, fence = _subject(command)
        self.previous_hold_expiries.pop((command.server, keys, fence), None)
        progress = self._progress_of(keys, fence, command.server)
        if progress is None:
            return
        progress.due_at[command.server] = now + RETRY_SECONDS

    def record_incarnation_ended(self, server: ServerIncarnation) -> None:
        """Records that an incarnation of a server ended: it holds nothing, whatever was granted."""
        self.ended_incarnations.add(server)

    def settled_table(self) -> OwnershipTable | None:
        """Returns the table without former holders that have given up, None when there are none."""
        if self.table is None:
            return None
        assignments = tuple(self._settled_assignment(found) for found in self.table.assignments)
        if assignments == self.table.assignments:
            return None
        return OwnershipTable(
            self.table.service, self.table.fence, assignments, self.table.written_by_sole_decider
        )

    def is_current(self, command: GrantCommand) -> bool:
        """Whether a grant is one of the present table."""
        return (command.keys, command.fence) in self.progress

    def hold_expires_at(self, server: ServerIncarnation, keys: KeyRange) -> float:
        """Returns when no grant of any of the keys to a server can be in force any more."""
        if server in self.ended_incarnations:
            return float("-inf")
        holds = self.hold_expiries.get(server, {})
        ends = (until for (held, _), until in holds.items() if held.overlaps(keys))
        return max(ends, default=float("-inf"))

    def _presume_former_holds(self, table: OwnershipTable) -> None:
        """Notes what former deciders may have granted, and may still grant to the owners."""
        for assignment in table.assignments:
            name = (assignment.keys, FORMER_DECIDER)
            self.hold_expiries.setdefault(assignment.owner, {})[name] = self.former_holds_expire_at
            for incarnation in assignment.previous_holders:
                holds = self.hold_expiries.setdefault(incarnation, {})
                holds[name] = max(
                    holds.get(name, float("-inf")), self.former_previous_holds_expire_at
                )

    def _granted_ranges(self) -> list[tuple[Assignment, _Progress]]:
        if self.table is None:
            return []
        return [
            (assignment, self.progress[(assignment.keys, assignment.fence)])
            for assignment in self.table.assignments
        ]

    def _inherit(
        self,
        progress: _Progress,
        assignment: Assignment,
        former: list[tuple[Assignment, _Progress]],
    ) -> None:
        """Takes over the state of the assignment that a new one was cut from."""
        for old, state in former:
            if old.fence == assignment.fence and old.keys.overlaps(assignment.keys):
                progress.pending = list(state.pending)
                progress.handover = state.handover
                progress.granted = state.granted
                progress.granted_at = state.granted_at
                progress.due_at = dict(state.due_at)
                return

    def _settled_assignment(self, assignment: Assignment) -> Assignment:
        progress = self.progress[(assignment.keys, assignment.fence)]
        if not assignment.previous_holders or progress.pending or not progress.granted:
            return assignment
        return assignment.replace(previous_holders=(), handover="")

    def _drop_ended_holds(self, progress: _Progress, keys: KeyRange, now: float) -> None:
        progress.pending = [
            incarnation
            for incarnation in progress.pending
            if now < self.hold_expires_at(incarnation, keys)
        ]

    def _releases(
        self, assignment: Assignment, progress: _Progress, now: float
    ) -> list[BaseCommand]:
        return [
            ReleaseCommand(incarnation, assignment.keys, assignment.fence)
            for incarnation in progress.pending
            if self._is_due(progress, incarnation, now)
        ]

    def _grant(self, assignment: Assignment, progress: _Progress) -> GrantCommand:
        handover = "" if progress.granted else progress.handover
        return GrantCommand(
            assignment.owner, assignment.keys, assignment.fence, handover, progress.granted
        )

    def expired_ranges(self, now: float) -> frozenset[KeyRange]:
        """Returns the ranges whose grant ran out before it could be renewed.

        Their server may have started again and know nothing of the fence, so they need a new one.
        """
        if self.table is None:
            return frozenset()
        return frozenset(
            assignment.keys
            for assignment in self.table.assignments
            if self.progress[(assignment.keys, assignment.fence)].lapsed(now, self.hold_seconds)
        )

    def _is_due(self, progress: _Progress, incarnation: ServerIncarnation, now: float) -> bool:
        return incarnation not in progress.busy and now >= progress.due_at.get(incarnation, 0.0)

    def _mark_busy(self, command: BaseCommand) -> None:
        keys, fence = _subject(command)
        self.progress[(keys, fence)].busy.add(command.server)

    def _progress_of(
        self, keys: KeyRange, fence: int, server: ServerIncarnation
    ) -> _Progress | None:
        progress = self.progress.get((keys, fence))
        if progress is not None:
            progress.busy.discard(server)
        return progress


def _subject(command: BaseCommand) -> tuple[KeyRange, int]:
    if isinstance(command, GrantCommand | ReleaseCommand):
        return command.keys, command.fence
    raise TypeError(type(command).__name__)
