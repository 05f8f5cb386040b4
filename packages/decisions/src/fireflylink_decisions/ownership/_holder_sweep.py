"""Releases at all servers after the store has lost the latest ownership tables."""

from fireflylink_core import FIRST_KEY, LAST_KEY, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership._commands import ReleaseCommand
from fireflylink_decisions.ownership._grant_timing import COMMAND_RETRY_DELAY_SECONDS
from fireflylink_decisions.ownership._hold_expiries import HoldExpiries

ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


class HolderSweep:
    """Makes every server of a service release the keys that the decider's table does not give it.

    A store that was restored from an older copy has lost the latest tables, so a server that the
    decider's table does not name may hold any keys. No key is granted before ``expires_at``, when
    all holds of the deciders from before the restore have expired. The answers of servers do not
    shorten that: a holder may not be registered, and one that restarts after its release may accept
    a renewal of a former decider. The releases make servers refuse lower fences meanwhile, and show
    which servers do not answer. Owners are not asked for their own keys.

    ``own_holds``, if given, are the holds that this decider itself has granted without interruption
    since before the restore. Then nobody else has granted anything: the sweep ends when all servers
    have answered, and ``unresponsive`` ones are waited for until these holds have expired.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = (
        "due_at",
        "expires_at",
        "in_flight",
        "own_holds",
        "servers",
        "table",
        "unresponsive",
    )

    def __init__(self, expires_at: float, own_holds: HoldExpiries | None = None) -> None:
        self.expires_at = expires_at
        self.own_holds = own_holds
        self.table: OwnershipTable | None = None
        self.servers: set[ServerIncarnation] = set()
        self.due_at: dict[tuple[ServerIncarnation, KeyRange], float] = {}
        self.in_flight: set[tuple[ServerIncarnation, KeyRange]] = set()
        self.unresponsive: set[ServerIncarnation] = set()

    def start(self, table: OwnershipTable) -> None:
        """Begins the sweep with the first table of the new era that the store has acknowledged."""
        self.table = table
        for server in self.servers:
            self._require_releases(server, table)

    def add_server(self, server: ServerIncarnation) -> None:
        """Adds a server that may hold keys."""
        if server in self.servers:
            return
        self.servers.add(server)
        if self.table is not None:
            self._require_releases(server, self.table)

    def due_commands(self, now: float, holds: HoldExpiries) -> list[ReleaseCommand]:
        """Returns the releases to send now; servers that can hold nothing need none."""
        if self.table is None:
            return []
        for release in list(self.due_at):
            if now >= self._may_hold_until(release[0], holds):
                del self.due_at[release]
        return [
            ReleaseCommand(server, keys, self.table.fence)
            for (server, keys), due_at in self.due_at.items()
            if now >= due_at and (server, keys) not in self.in_flight
        ]

    def record_sent(self, command: ReleaseCommand) -> None:
        """Records that a release is sent."""
        self.in_flight.add((command.server, command.keys))

    def record_unreachable(self, server: ServerIncarnation) -> None:
        """Records that no address of a server is known any more."""
        self.unresponsive.add(server)

    def record_released(self, command: ReleaseCommand) -> None:
        """Records that a server has released keys."""
        self.in_flight.discard((command.server, command.keys))
        if self.table is None or command.fence < self.table.fence:
            return
        self.unresponsive.discard(command.server)
        self.due_at.pop((command.server, command.keys), None)

    def record_failed(self, command: ReleaseCommand, now: float) -> None:
        """Records that a release failed; it is due again after a delay."""
        self.in_flight.discard((command.server, command.keys))
        self.unresponsive.add(command.server)
        if (command.server, command.keys) in self.due_at:
            self.due_at[(command.server, command.keys)] = now + COMMAND_RETRY_DELAY_SECONDS

    def is_done(self, now: float) -> bool:
        """Whether no server can hold keys that the table does not give it."""
        if self.table is None:
            return False
        return now >= self.expires_at or (self.own_holds is not None and not self.due_at)

    def _may_hold_until(self, server: ServerIncarnation, holds: HoldExpiries) -> float:
        """Returns until when a server that does not answer may hold keys."""
        if holds.has_ended(server):
            return float("-inf")
        if self.own_holds is None or server not in self.unresponsive:
            return self.expires_at
        return min(self.expires_at, self.own_holds.expires_at(server, ALL_KEYS))

    def _require_releases(self, server: ServerIncarnation, table: OwnershipTable) -> None:
        for keys in _keys_of_others(server, table):
            self.due_at[(server, keys)] = 0.0


def _keys_of_others(server: ServerIncarnation, table: OwnershipTable) -> list[KeyRange]:
    """Returns the ranges, as wide as possible, that ``server`` neither owns nor has to release.

    Moves in the table ask for releases themselves, when these are final.
    """
    ranges: list[KeyRange] = []
    first = FIRST_KEY
    for assignment in table.assignments:
        previous_ids = {holder.server_id for holder in assignment.previous_holders}
        if assignment.owner != server and server.server_id not in previous_ids:
            continue
        if first < assignment.keys.first:
            ranges.append(KeyRange(first, assignment.keys.first - 1))
        first = assignment.keys.last + 1
    if first <= LAST_KEY:
        ranges.append(KeyRange(first, LAST_KEY))
    return ranges
