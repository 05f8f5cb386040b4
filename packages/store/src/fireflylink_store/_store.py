"""The interface of the metadata store."""

import abc

from returns.result import Result

from fireflylink_store._errors import StoreError
from fireflylink_store._items import ChangeBatch, Commit, Item, Lease, Snapshot


class BaseStore(abc.ABC):
    """A linearizable key-value store with conditional commits, leases and watches.

    Each call ends by ``deadline``, in seconds on the daemon's clock, with a result or one of the
    errors of this package.
    """

    __slots__ = ()

    @abc.abstractmethod
    def read(self, key: str, deadline: float) -> Result[Item | None, StoreError]:
        """Returns the item of a key, None when there is none."""

    @abc.abstractmethod
    def list(self, prefix: str, deadline: float) -> Result[Snapshot, StoreError]:
        """Returns all items of a prefix."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, revision: int, wait_seconds: float, deadline: float
    ) -> Result[ChangeBatch, StoreError]:
        """Waits for changes after a revision; none after ``wait_seconds``."""

    @abc.abstractmethod
    def commit(self, commit: Commit, deadline: float) -> Result[int, StoreError]:
        """Applies a commit; returns its revision."""

    @abc.abstractmethod
    def create_lease(self, seconds: float, deadline: float) -> Result[Lease, StoreError]:
        """Opens a lease."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int, deadline: float) -> Result[float, StoreError]:
        """Renews a lease; returns its time to live in seconds."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id: int, deadline: float) -> Result[None, StoreError]:
        """Ends a lease; its keys are removed."""
