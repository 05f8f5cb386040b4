"""Queue in front of a group of servers: bounded, fair across tenants, aware of deadlines."""

from collections import OrderedDict
from typing import Generic, TypeVar

from fireflylink_core import CallerRequest

QUANTUM = 2.0
"""Deficit that a tenant gains per turn. It is the highest cost of an entry, so that each turn
yields an entry and taking one needs a constant number of steps."""

TICK_SECONDS = 0.005
"""Width of a slot of the timer wheel that finds entries that can no longer finish in time."""


class QueueEntry:
    """A request that may wait.

    ``latest_start`` is when it has to start to be answered before its deadline. ``cost`` is
    between 1 and ``QUANTUM``.
    """

    __slots__ = ("call_id", "cost", "latest_start", "request", "tick")

    def __init__(
        self, call_id: str, request: CallerRequest, latest_start: float, cost: float = 1.0
    ) -> None:
        self.call_id = call_id
        self.request = request
        self.latest_start = latest_start
        self.cost = cost
        self.tick = 0


EntryT = TypeVar("EntryT", bound=QueueEntry)


class TenantQueue(Generic[EntryT]):
    """The waiting requests of one tenant, oldest first."""

    __slots__ = ("deficit", "entries", "tenant")

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.entries: OrderedDict[str, EntryT] = OrderedDict()
        self.deficit = 0.0


class FairQueue(Generic[EntryT]):
    """Requests of several tenants that wait for a server, served by deficit round robin.

    At most ``limit`` requests wait. When the queue is full, a request of the tenant with the most
    waiting requests is refused; a request of another tenant takes the place of the newest one of
    that tenant. Every operation takes a constant number of steps, amortised.
    """

    __slots__ = ("by_length", "entries", "limit", "longest", "next_tick", "ring", "wheel")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.entries: dict[str, EntryT] = {}
        self.ring: OrderedDict[str, TenantQueue[EntryT]] = OrderedDict()
        self.by_length: dict[int, dict[str, TenantQueue[EntryT]]] = {}
        self.longest = 0
        self.wheel: dict[int, dict[str, EntryT]] = {}
        self.next_tick = 0

    def __len__(self) -> int:
        return len(self.entries)

    def requests_ahead(self, tenant: str) -> int:
        """Bounds how many waiting requests are served before a new one of a tenant."""
        queue = self.ring.get(tenant)
        if queue is None:
            return min(len(self.entries), len(self.ring))
        return min(len(self.entries), (len(queue.entries) + 1) * len(self.ring))

    def push(self, entry: EntryT) -> EntryT | None:
        """Adds an entry and returns the one that has to leave for it, possibly the entry itself."""
        displaced = None
        if len(self.entries) >= self.limit:
            displaced = self.displace(entry)
            if displaced is entry:
                return entry
        self.add_to_tenant(entry)
        self.entries[entry.call_id] = entry
        entry.tick = max(int(entry.latest_start / TICK_SECONDS), self.next_tick)
        self.wheel.setdefault(entry.tick, {})[entry.call_id] = entry
        return displaced

    def displace(self, entry: EntryT) -> EntryT:
        """Takes out the entry that leaves a full queue when ``entry`` arrives, and returns it."""
        own = self.ring.get(entry.request.tenant)
        own_length = len(own.entries) if own is not None else 0
        if own_length + 1 >= self.longest:
            return entry
        longest = next(reversed(self.by_length[self.longest].values()))
        newest = next(reversed(longest.entries))
        return self.take(longest, newest)

    def pop(self) -> EntryT | None:
        """Takes the entry whose turn it is, or returns None when none waits."""
        while self.ring:
            queue = next(iter(self.ring.values()))
            call_id, entry = next(iter(queue.entries.items()))
            if queue.deficit >= entry.cost:
                queue.deficit -= entry.cost
                return self.take(queue, call_id)
            queue.deficit += QUANTUM
            self.ring.move_to_end(queue.tenant)
        return None

    def remove(self, call_id: str) -> EntryT | None:
        """Takes out an entry wherever it waits, or returns None when there is none."""
        entry = self.entries.get(call_id)
        if entry is None:
            return None
        return self.take(self.ring[entry.request.tenant], call_id)

    def expire(self, now: float) -> tuple[EntryT, ...]:
        """Takes out the entries that can no longer be answered before their deadline."""
        tick = int(now / TICK_SECONDS)
        if tick - self.next_tick > len(self.wheel):
            due = sorted(slot for slot in self.wheel if slot < tick)
        else:
            due = [slot for slot in range(self.next_tick, tick) if slot in self.wheel]
        self.next_tick = max(tick, self.next_tick)
        expired = [entry for slot in due for entry in self.wheel[slot].values()]
        for entry in expired:
            self.remove(entry.call_id)
        return tuple(expired)

    def clear(self) -> tuple[EntryT, ...]:
        """Takes out every entry."""
        entries = tuple(self.entries.values())
        for entry in entries:
            self.remove(entry.call_id)
        return entries

    def add_to_tenant(self, entry: EntryT) -> None:
        """Appends an entry to the queue of its tenant."""
        tenant = entry.request.tenant
        queue = self.ring.get(tenant)
        if queue is None:
            queue = self.ring[tenant] = TenantQueue(tenant)
        length = len(queue.entries)
        queue.entries[entry.call_id] = entry
        self.change_length(queue, length)

    def take(self, queue: TenantQueue[EntryT], call_id: str) -> EntryT:
        """Takes out an entry of a tenant and forgets a tenant that has no other."""
        length = len(queue.entries)
        entry = queue.entries.pop(call_id)
        self.change_length(queue, length)
        if not queue.entries:
            del self.ring[queue.tenant]
        del self.entries[call_id]
        slot = self.wheel[entry.tick]
        del slot[call_id]
        if not slot:
            del self.wheel[entry.tick]
        return entry

    def change_length(self, queue: TenantQueue[EntryT], before: int) -> None:
        """Files a tenant under its number of waiting requests, which was ``before``."""
        if before:
            group = self.by_length[before]
            del group[queue.tenant]
            if not group:
                del self.by_length[before]
        after = len(queue.entries)
        if after:
            self.by_length.setdefault(after, {})[queue.tenant] = queue
        self.longest = max(self.longest, after)
        while self.longest and self.longest not in self.by_length:
            self.longest -= 1
