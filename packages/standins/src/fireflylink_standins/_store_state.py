"""The state of the stand-in of the store: items, change history and leases."""

from fireflylink_core import BaseClock
from fireflylink_standins._base_lease_store import BaseLeaseStore
from fireflylink_standins._undo_log import UndoLog
from fireflylink_store import ABSENT_REVISION, NO_LEASE, Change, Commit, Deletion, Item, Put

FIRST_REVISION = 1
WRITTEN_AGAIN_PREFIXES = ("op/", "servers/")
"""Prefixes of what operators and servers write again after the store was restored from a copy."""


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
    Changes up to ``compacted_revision`` are no longer in the history. ``era`` counts how often the
    store was restored from a copy; revisions and lease ids are unique within an era only.
    ``to_write_again`` are the items of operators and servers as they were before the last restore,
    None for those that did not exist; what is written after the restore is left out.
    """

    __slots__ = (
        "clock",
        "compacted_revision",
        "era",
        "history",
        "items",
        "leases",
        "next_lease_id",
        "revision",
        "to_write_again",
        "undo_log",
    )

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.history: list[Change] = []
        self.compacted_revision = FIRST_REVISION
        self.revision = FIRST_REVISION
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease_id = 1
        self.era = 0
        self.undo_log = UndoLog()
        self.to_write_again: dict[str, Item | None] = {}

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
        """Returns the changes of a prefix after a revision.

        Returns None if some have been compacted, or the store has not reached the revision.
        """
        self.expire_leases()
        if after < self.compacted_revision and self.history_starts_after(after):
            return None
        if after > self.revision:
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
        self._advance_revision()
        for put in commit.puts:
            item = Item(put.key, put.value, self.revision, put.lease_id)
            self._record_item(put.key)
            self.items[put.key] = item
            self.history.append(item)
        for key in commit.deletions:
            self._delete(key)
        return self.revision

    def create_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""
        former_id = self.next_lease_id
        while self.next_lease_id in self.leases:
            self.next_lease_id += 1
        lease_id = self.next_lease_id
        self.next_lease_id += 1
        self.leases[lease_id] = (ttl_seconds, self.clock.now() + ttl_seconds)
        self.undo_log.record(self.clock.now(), lambda: self._take_back_lease(lease_id, former_id))
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
        lease = self.leases.pop(lease_id, None)
        if lease is not None:
            ttl_seconds, _ = lease
            self.undo_log.record(
                self.clock.now(), lambda: self._put_back_lease(lease_id, ttl_seconds)
            )
        keys = [key for key, item in self.items.items() if item.lease_id == lease_id]
        if keys:
            self._advance_revision()
        for key in keys:
            self._delete(key)

    def restore(self, seconds_old: float) -> None:
        """Restores the store from a copy that is ``seconds_old``, and begins the next era.

        Leases that were created since are gone, but for those of servers' items, which are to be
        written again under them. The lease of an item that comes back lives for its whole time.
        """
        self.expire_leases()
        present = {
            key: item for key, item in self.items.items() if key.startswith(WRITTEN_AGAIN_PREFIXES)
        }
        leases = {item.lease_id for item in present.values()}
        kept_leases = {lease_id: self.leases[lease_id] for lease_id in leases & set(self.leases)}
        self.undo_log.undo_since(self.clock.now() - seconds_old)
        self.leases.update(kept_leases)
        self.era += 1
        self.history = [change for change in self.history if change.revision <= self.revision]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        restored = (key for key in self.items if key.startswith(WRITTEN_AGAIN_PREFIXES))
        self.to_write_again = {**dict.fromkeys(restored), **present}

    def write_again(self) -> None:
        """Writes the items of operators and servers once more that the last restore took back.

        To be called a moment after the restore. An item that is as it was gets a new revision, too.
        """
        self.expire_leases()
        entries = self.to_write_again
        self.to_write_again = {}
        puts = tuple(
            Put(key, item.value, item.lease_id)
            for key, item in entries.items()
            if item is not None and (item.lease_id == NO_LEASE or item.lease_id in self.leases)
        )
        deletions = tuple(key for key, item in entries.items() if item is None)
        self.commit(Commit(puts=puts, deletions=deletions))

    def _advance_revision(self) -> None:
        former_revision = self.revision
        self.revision += 1
        self.undo_log.record(self.clock.now(), lambda: self._put_back_revision(former_revision))

    def _record_item(self, key: str) -> None:
        """Records the present item of a key, which is about to change."""
        self.to_write_again.pop(key, None)
        item = self.items.get(key)
        self.undo_log.record(self.clock.now(), lambda: self._put_back_item(key, item))

    def _put_back_revision(self, revision: int) -> None:
        self.revision = revision

    def _put_back_item(self, key: str, item: Item | None) -> None:
        self.items.pop(key, None)
        if item is not None:
            self.items[key] = item

    def _take_back_lease(self, lease_id: int, next_lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        self.next_lease_id = next_lease_id

    def _put_back_lease(self, lease_id: int, ttl_seconds: float) -> None:
        self.leases[lease_id] = (ttl_seconds, self.clock.now() + ttl_seconds)

    def _delete(self, key: str) -> None:
        if key in self.items:
            self._record_item(key)
            del self.items[key]
            self.history.append(Deletion(key, self.revision))

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return ABSENT_REVISION if item is None else item.revision
