"""Where each request goes, how long it waits for that, and when it is turned away."""

from collections.abc import Callable

from fireflylink_core import NO_KEY, Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_decisions.dispatch._ticket import BasePlacement, Refuse, Send, Ticket
from fireflylink_decisions.dispatch._waiting_line import WaitingLine
from fireflylink_decisions.servers import (
    MAX_LOW_PRIORITY_REQUESTS_PER_SLOT,
    MAX_REQUESTS_PER_SLOT,
    ServerTracker,
    ServiceLimits,
    available_at,
    choose_server,
    is_unresponsive,
)

OWNER_WAIT_SECONDS = 0.25
"""How long a request waits for its key to get an owner that is there."""

LONGEST_WAIT_PART = 0.5
"""A request waits for at most this part of its time: after it, it could only be answered late."""

SHORT_RETRY_SECONDS = 0.25
LONG_RETRY_SECONDS = 1.0
RECHECK_SECONDS = 0.3
MOVE_SECONDS = 0.6
"""After this time a moved key's new owner is tried even if no notice of its grant has come."""

URGENT_MEMORY_SECONDS = 3.0
"""More urgent requests are expected to come for so long after the last one."""


class ServicePool:
    """The servers of one service as this daemon sees them, and the requests that wait for them.

    ``trackers`` are the servers that may get work. ``keyed`` services are served by the owner of
    the key alone; ``doubted`` holds owners that declined a key under a fence, until when.
    ``granted`` are the moved ranges whose new owner has confirmed them, ``table_at`` is when the
    table came, and ``seen`` is when a request of each rank came last.
    """

    __slots__ = (
        "doubted",
        "granted",
        "keyed",
        "line",
        "seen",
        "table",
        "table_at",
        "terms",
        "trackers",
    )

    def __init__(self, keyed: bool, terms: ServiceLimits) -> None:
        self.keyed = keyed
        self.terms = terms
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.table: OwnershipTable | None = None
        self.line = WaitingLine()
        self.doubted: dict[tuple[ServerIncarnation, int], float] = {}
        self.granted: set[tuple[KeyRange, int]] = set()
        self.table_at = 0.0
        self.seen: dict[int, float] = {}

    def depth(self, rank: int, now: float) -> float:
        """Returns how many requests a slot a server may hold for one more of a rank."""
        oldest = now - URGENT_MEMORY_SECONDS
        urgent = any(other < rank and at > oldest for other, at in self.seen.items())
        return MAX_LOW_PRIORITY_REQUESTS_PER_SLOT if urgent else MAX_REQUESTS_PER_SLOT

    def set_table(self, table: OwnershipTable, now: float) -> None:
        """Takes the owners of the keys."""
        self.table = table
        self.table_at = now
        self.doubted.clear()
        pending = {
            (moved.keys, moved.fence) for moved in table.assignments if moved.previous_holders
        }
        self.granted &= pending

    def owner_of(self, key: int) -> ServerTracker | None:
        """Returns the owner of a key, None when it has none that is there."""
        assignment = self.table.find(key) if self.table is not None else None
        return None if assignment is None else self.trackers.get(assignment.owner)

    def on_its_way(self, assignment: Assignment, now: float) -> bool:
        """Whether the owner of an assignment is not expected to hold the keys yet."""
        return (
            bool(assignment.previous_holders)
            and (assignment.keys, assignment.fence) not in self.granted
            and now < self.table_at + MOVE_SECONDS
        )


class Dispatcher:
    """Places requests on servers, in the order of their urgency.

    Example::

        placement = dispatcher.submit(ticket, now)
        if placement is None:
            ...  # wait until sweep() returns one for the ticket
    """

    __slots__ = ("pools",)

    def __init__(self) -> None:
        self.pools: dict[str, ServicePool] = {}

    def submit(self, ticket: Ticket, now: float) -> BasePlacement | None:
        """Places a new ticket, or lets it join the line and returns None."""
        pool = self.pools.get(ticket.service)
        if pool is None:
            return Refuse("no-such-service", LONG_RETRY_SECONDS)
        pool.seen[ticket.rank] = now
        # A request with a key waits for its owner's room, not for the line.
        ahead = 0 if pool.keyed else pool.line.ahead(ticket, _lateness(pool, now))
        if not ahead:
            placement = self._try(pool, ticket, now)
            if placement is not None:
                return placement
        if pool.line.full or self._hopeless(pool, ticket, ahead, now):
            return Refuse("no-room", SHORT_RETRY_SECONDS)
        self._join(pool, ticket)
        return None

    def sweep(self, now: float) -> list[tuple[Ticket, BasePlacement]]:
        """Places what can be placed now, and turns away what cannot be served in time."""
        ended = []
        for pool in self.pools.values():
            if pool.line.tickets:
                ended.extend(self._sweep_pool(pool, now))
        return ended

    def withdraw(self, ticket: Ticket) -> None:
        """Takes a ticket whose caller has left out of the line."""
        pool = self.pools.get(ticket.service)
        if pool is not None:
            self._leave(pool, ticket)

    def note_misdirected(self, service: str, send: Send, now: float) -> None:
        """Takes a server's word that it does not hold a key that the table gives it."""
        pool = self.pools.get(service)
        if pool is not None:
            pool.doubted[(send.tracker.server.incarnation, send.fence)] = now + RECHECK_SECONDS

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(pool.line.tickets) for pool in self.pools.values())

    def _sweep_pool(self, pool: ServicePool, now: float) -> list[tuple[Ticket, BasePlacement]]:
        ended = []
        for ticket in pool.line.in_order(_lateness(pool, now)):
            placement = self._try(pool, ticket, now) or self._overdue(pool, ticket, now)
            if placement is not None:
                self._leave(pool, ticket)
                ended.append((ticket, placement))
        return ended

    def _try(self, pool: ServicePool, ticket: Ticket, now: float) -> BasePlacement | None:
        if pool.keyed and ticket.key != NO_KEY:
            return self._try_owner(pool, ticket, now)
        depth = pool.depth(ticket.rank, now)
        trackers = list(pool.trackers.values())
        tracker = choose_server(trackers, pool.terms, now, ticket.tried, depth)
        return None if tracker is None else _send(pool, tracker, 0, now)

    def _try_owner(self, pool: ServicePool, ticket: Ticket, now: float) -> BasePlacement | None:
        assignment = pool.table.find(ticket.key) if pool.table is not None else None
        if assignment is None:
            return None
        tracker = pool.trackers.get(assignment.owner)
        if tracker is None or pool.on_its_way(assignment, now):
            return None
        if now < pool.doubted.get((assignment.owner, assignment.fence), 0.0):
            return None
        open_at = available_at(tracker, pool.terms, now, pool.depth(ticket.rank, now))
        if open_at is None or open_at > now:
            return None
        return _send(pool, tracker, assignment.fence, now)

    def _overdue(self, pool: ServicePool, ticket: Ticket, now: float) -> Refuse | None:
        if now - ticket.since > OWNER_WAIT_SECONDS and self._ownerless(pool, ticket):
            return Refuse("no-owner", LONG_RETRY_SECONDS)
        end_of_wait = ticket.since + (ticket.latest - ticket.since) * LONGEST_WAIT_PART
        if now > end_of_wait or now + _least_seconds(pool) > ticket.latest:
            return Refuse("no-room", SHORT_RETRY_SECONDS)
        return None

    def _ownerless(self, pool: ServicePool, ticket: Ticket) -> bool:
        if not pool.keyed:
            return False
        tracker = pool.owner_of(ticket.key)
        return tracker is None or is_unresponsive(tracker)

    def _hopeless(self, pool: ServicePool, ticket: Ticket, ahead: int, now: float) -> bool:
        if not pool.keyed:
            wait = pool.line.expected_wait(ahead, now)
            return now + wait + _least_seconds(pool) > ticket.latest
        tracker = pool.owner_of(ticket.key)
        if tracker is None:
            return False
        return (
            now + tracker.expected_wait_seconds(now) + tracker.expected_seconds_after_wait(now)
            > ticket.latest
        )

    def _join(self, pool: ServicePool, ticket: Ticket) -> None:
        pool.line.join(ticket)
        if pool.keyed:
            ticket.awaited = pool.owner_of(ticket.key)
            if ticket.awaited is not None:
                ticket.awaited.queued += 1

    def _leave(self, pool: ServicePool, ticket: Ticket) -> None:
        pool.line.leave(ticket)
        if ticket.awaited is not None:
            ticket.awaited.queued -= 1
            ticket.awaited = None


def _send(pool: ServicePool, tracker: ServerTracker, fence: int, now: float) -> Send:
    fullness = tracker.queueing_factor(now)
    tracker.record_sent(now)
    pool.line.placed.add(now)
    return Send(tracker, fullness, fence)


def _lateness(pool: ServicePool, now: float) -> Callable[[Ticket], bool]:
    """Returns what tells whether a request that is sent now is expected to be late."""
    if pool.keyed:
        return lambda ticket: now + _owner_seconds(pool, ticket, now) > ticket.objective_at
    earliest = now + _least_seconds(pool)
    return lambda ticket: earliest > ticket.objective_at


def _owner_seconds(pool: ServicePool, ticket: Ticket, now: float) -> float:
    tracker = pool.owner_of(ticket.key)
    return 0.0 if tracker is None else tracker.expected_seconds(now)


def _least_seconds(pool: ServicePool) -> float:
    return min((tracker.base_seconds for tracker in pool.trackers.values()), default=0.0)
