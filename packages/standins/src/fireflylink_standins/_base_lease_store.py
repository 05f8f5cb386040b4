"""What a backend server needs of the store to register itself."""

import abc

from fireflylink_store import Commit


class BaseLeaseStore(abc.ABC):
    """Writes items under leases, in this process or in another one."""

    __slots__ = ()

    @abc.abstractmethod
    def create_lease(self, ttl_seconds: float) -> int:
        """Creates a lease and returns its id."""

    @abc.abstractmethod
    def renew_lease(self, lease_id: int) -> float | None:
        """Renews a lease; returns its time to live in seconds, None if it does not exist."""

    @abc.abstractmethod
    def commit(self, commit: Commit) -> int:
        """Applies a commit and returns its revision."""
