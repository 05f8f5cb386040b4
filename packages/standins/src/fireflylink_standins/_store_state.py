"""The state of the stand-in of the store: items, change history and leases."""

from fireflylink_core import BaseClock
from fireflylink_standins._base_lease_store import BaseLeaseStore
from fireflylink_store import ABSENT_REVISION, NO_LEASE, Change, Commit, Deletion, Item

FIRST_REVISION = 1


class NoSuchLeaseError(Exception):
    """A commit names a lease that does not exist or has expired."""


class ConditionFailedError(Exception):
    """A key of a commit has a revision other than the expected one.

    ``items`` are the present items of the keys with conditions.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__("condition failed")
        self.items = items


class StoreState(BaseLeaseStore):
    """Items with one revision counter, which each commit increases, as in the platform's store.

    ``leases`` maps the id of a lease to its time to live and its expiry time, both in seconds.
    Changes up to ``compacted_revision`` are no longer in the history.
    """

    __slots__ = (
        "clock",
        "compacted_revision",
        "history",
        "items",
        "leases",
        "next_lease_id",
        "revision",
    )

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.history: list[Change] = []
        self.compacted_revision = FIRST_REVISION
        self.revision = FIRST_REVISION
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease_id = 1

    def expire_leases(self) -> None:
        """Revokes expired leases, which also deletes their keys."""
        now = self.clock.now()
        for lease_id in [
            lease_id for lease_id, (_, expires_at) in self.leases.items() if expires_at <= now
        ]:
            self.revoke_lease(lease_id)

    def read(self, key: str) -> Item | None:
        """Returns the item of a key."""
        self.expire_leases()
        return self.items.get(key)

    def range(self, prefix: str, after: str = "") -> list[Item]:
        """Returns the items whose keys have a prefix and sort after ``after``, sorted by key."""
        self.expire_leases()
        return [
            self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after
        ]

    def changes(self, prefix: str, after: int) -> list[Change] | None:
        """Returns the changes of a prefix after a revision, None if some have been compacted."""
        self.expire_leases()
        if after < self.compacted_revision and self.history_starts_after(after):
            return None
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def history_starts_after(self, revision: int) -> bool:
        """Whether changes after a revision have been compacted."""
        return self.compacted_revision > max(revision, FIRST_REVISION)

    def compact(self) -> None:
        """Deletes the history of changes."""
        self.history = []
        self.compacted_revision = self.revision

    def commit(self, commit: Commit) -> int:
        """Applies a commit and returns its revision.

        Raises an error and changes nothing if a condition does not hold or a lease does not exist.
        """
        self.expire_leases()
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
            self._delete(key)
        return self.revision

    def create_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""
        lease_id = self.next_lease_id
        self.next_lease_id += 1
        self.leases[lease_id] = (ttl_seconds, self.clock.now() + ttl_seconds)
        return lease_id

    def renew_lease(self, lease_id: int) -> float | None:
        """Renews a lease; returns its time to live, None if the lease does not exist."""
        self.expire_leases()
        if lease_id not in self.leases:
            return None
        ttl_seconds, _ = self.leases[lease_id]
        self.leases[lease_id] = (ttl_seconds, self.clock.now() + ttl_seconds)
        return ttl_seconds

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys."""
        self.leases.pop(lease_id, None)
        keys = [key for key, item in self.items.items() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Deletion(key, self.revision))

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return ABSENT_REVISION if item is None else item.revision
