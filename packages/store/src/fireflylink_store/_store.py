"""The interface of the metadata store."""

import abc

from returns.result import Result

from fireflylink_store._errors import StoreError
from fireflylink_store._items import ChangeBatch, Commit, Item, Lease, Snapshot


class BaseStore(abc.ABC):
    """A linearizable key-value store with conditional commits, leases and watches.

    Each call returns a result or one of the errors of this package by ``deadline``, which is in
    seconds on the daemon's clock.
    """

    __slots__ = ()

    @abc.abstractmethod
    def read(self, key: str, deadline: float) -> Result[Item | None, StoreError]:
        """Returns the item of a key, or None if the key does not exist."""

    @abc.abstractmethod
    def list(self, prefix: str, deadline: float) -> Result[Snapshot, StoreError]:
        """Returns all items whose keys begin with a prefix."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, revision: int, wait_seconds: float, deadline: float
    ) -> Result[ChangeBatch, StoreError]:
        """Returns the changes to a prefix after a revision.

        Waits up to ``wait_seconds`` for the first change, then returns an empty batch.
        """

    @abc.abstractmethod
    def commit(self, commit: Commit, deadline: float) -> Result[int, StoreError]:
        """Applies a commit and returns its revision."""

    @abc.abstractmethod
    def create_lease(self, ttl_seconds: float, deadline: float) -> Result[Lease, StoreError]:
        """Creates a lease with a time to live of ``ttl_seconds``."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int, deadline: float) -> Result[float, StoreError]:
        """Renews a lease and returns its time to live in seconds."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id: int, deadline: float) -> Result[None, StoreError]:
        """Revokes a lease; the store deletes the items that belong to it."""

    @abc.abstractmethod
    def interrupt(self) -> None:
        """Ends a call that another greenlet waits for; that call fails."""
