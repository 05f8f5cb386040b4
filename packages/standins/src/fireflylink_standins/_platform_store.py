"""Entries, leases and watches of the key-value stand-in, without any I/O."""

import uuid

import gevent
from gevent.event import AsyncResult

from fireflylink_core import BaseClock
from fireflylink_platform_client import Entry, Snapshot

MAX_VALUE_BYTES = 1_000_000
MILLISECONDS_PER_SECOND = 1000


class Lease:
    """A lease and the entries written under it."""

    __slots__ = ("deadline", "keys", "ttl")

    def __init__(self, ttl: float, deadline: float) -> None:
        self.ttl = ttl
        self.deadline = deadline
        self.keys: set[str] = set()


class PlatformStore:
    """A key-value store with store-wide revisions."""

    __slots__ = ("clock", "entries", "leases", "revision", "watchers")

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[str, Lease] = {}
        self.watchers: set[AsyncResult] = set()

    def read(self, key: str) -> Entry | None:
        """Returns the entry of a key."""
        self._end_leases()
        return self.entries.get(key)

    def snapshot(self, prefix: str, after: int = -1) -> Snapshot:
        """Returns the entries under a prefix that changed after a revision."""
        self._end_leases()
        found = [
            entry
            for key, entry in self.entries.items()
            if entry.revision > after and key.startswith(prefix)
        ]
        return Snapshot(self.revision, tuple(sorted(found, key=lambda entry: entry.key)))

    def write(
        self, key: str, value: bytes, expected_revision: int, lease: str | None
    ) -> tuple[bool, int]:
        """Writes by compare-and-swap; returns whether it did, and the current revision.

        Raises ``KeyError`` when the lease does not exist.
        """
        current = self._current_revision(key)
        if current != expected_revision:
            return False, current
        if lease is not None:
            self.leases[lease].keys.add(key)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        self._notify()
        return True, self.revision

    def delete(self, key: str, expected_revision: int) -> tuple[bool, int]:
        """Deletes by compare-and-swap; returns whether it did, and the current revision."""
        current = self._current_revision(key)
        if current != expected_revision:
            return False, current
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self._notify()
        return True, self.revision

    def open_lease(self, ttl_ms: int) -> str:
        """Returns the identifier of a new lease."""
        lease_id = uuid.uuid4().hex
        ttl = ttl_ms / MILLISECONDS_PER_SECOND
        self.leases[lease_id] = Lease(ttl, self.clock.now() + ttl)
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease; False when it has ended."""
        self._end_leases()
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.deadline = self.clock.now() + lease.ttl
        return True

    def watch(self, prefix: str, after: int, timeout: float) -> Snapshot:
        """Waits for a change under a prefix, or returns an empty snapshot.

        It also returns an empty snapshot, before the time is over, after ``wake_watchers``.
        """
        deadline = self.clock.now() + timeout
        while True:
            snapshot = self.snapshot(prefix, after)
            remaining = deadline - self.clock.now()
            if snapshot.entries or remaining <= 0 or not self._wait(remaining):
                return snapshot

    def wake_watchers(self) -> None:
        """Ends every waiting watch."""
        for outcome in tuple(self.watchers):
            outcome.set(False)

    def _wait(self, timeout: float) -> bool:
        """Waits for a change; False when the watch is to end."""
        outcome = AsyncResult()
        self.watchers.add(outcome)
        try:
            return bool(outcome.get(timeout=timeout))
        except gevent.Timeout:
            return True
        finally:
            self.watchers.discard(outcome)

    def _notify(self) -> None:
        for outcome in tuple(self.watchers):
            outcome.set(True)

    def _current_revision(self, key: str) -> int:
        self._end_leases()
        entry = self.entries.get(key)
        return 0 if entry is None else entry.revision

    def _end_leases(self) -> None:
        now = self.clock.now()
        ended = [lease_id for lease_id, lease in self.leases.items() if lease.deadline <= now]
        for lease_id in ended:
            for key in self.leases.pop(lease_id).keys:
                if self.entries.pop(key, None) is not None:
                    self.revision += 1
        if ended:
            self._notify()
