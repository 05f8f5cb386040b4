"""The state of the store's stand-in: items, history, leases."""

from fireflylink_core import BaseClock
from fireflylink_store import ABSENT_REVISION, NO_LEASE, Change, Commit, Deletion, Item

FIRST_REVISION = 1


class NoSuchLeaseError(Exception):
    """A commit names a lease that has ended."""


class ConditionFailedError(Exception):
    """A key of a commit has another revision than expected."""

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__("condition failed")
        self.items = items


class StoreState:
    """Linearizable items with one revision counter, as the platform's pages describe them."""

    __slots__ = ("clock", "compacted", "history", "items", "leases", "next_lease", "revision")

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.history: list[Change] = []
        self.compacted = FIRST_REVISION
        self.revision = FIRST_REVISION
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1

    def expire(self) -> None:
        """Ends leases whose time is over, with their keys."""
        now = self.clock.now()
        for lease_id in [found for found, (_, until) in self.leases.items() if until <= now]:
            self.revoke_lease(lease_id)

    def read(self, key: str) -> Item | None:
        """Returns the item of a key."""
        self.expire()
        return self.items.get(key)

    def range(self, prefix: str, after: str = "") -> list[Item]:
        """Returns the items of a prefix behind a key, in the order of their keys."""
        self.expire()
        return [
            self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after
        ]

    def changes(self, prefix: str, after: int) -> list[Change] | None:
        """Returns the changes of a prefix after a revision, None when they are forgotten."""
        self.expire()
        if after < self.compacted and self.history_starts_after(after):
            return None
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def history_starts_after(self, revision: int) -> bool:
        """Whether changes behind a revision have been dropped."""
        return self.compacted > max(revision, FIRST_REVISION)

    def compact(self) -> None:
        """Drops the history."""
        self.history = []
        self.compacted = self.revision

    def commit(self, commit: Commit) -> int:
        """Applies a commit; raises when a condition does not hold or a lease has ended."""
        self.expire()
        if any(self._revision_of(key) != revision for key, revision in commit.expected_revisions):
            present = (self.items.get(key) for key, _ in commit.expected_revisions)
            raise ConditionFailedError(tuple(item for item in present if item is not None))
        if any(put.lease_id != NO_LEASE and put.lease_id not in self.leases for put in commit.puts):
            raise NoSuchLeaseError
        self.revision += 1
        for put in commit.puts:
            item = Item(put.key, put.value, self.revision, put.lease_id)
            self.items[put.key] = item
            self.history.append(item)
        for key in commit.deletions:
            self._remove(key)
        return self.revision

    def create_lease(self, ttl_seconds: float) -> int:
        """Opens a lease."""
        lease_id = self.next_lease
        self.next_lease += 1
        self.leases[lease_id] = (ttl_seconds, self.clock.now() + ttl_seconds)
        return lease_id

    def renew_lease(self, lease_id: int) -> float | None:
        """Renews a lease; returns its time to live, None when it has ended."""
        self.expire()
        if lease_id not in self.leases:
            return None
        seconds, _ = self.leases[lease_id]
        self.leases[lease_id] = (seconds, self.clock.now() + seconds)
        return seconds

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease; its keys are removed."""
        self.leases.pop(lease_id, None)
        keys = [key for key, item in self.items.items() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Deletion(key, self.revision))

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return ABSENT_REVISION if item is None else item.revision
