"""Interfaces of the platform's services."""

import abc

from returns.result import Result

from fireflylink_core import Member
from fireflylink_platform_client._entry import Entry, Snapshot
from fireflylink_platform_client._errors import PlatformError


class BaseKeyValueClient(abc.ABC):
    """A key-value store with compare-and-swap writes, leases and watches.

    Deadlines are seconds on the clock of the client; without one, the client's own call timeout
    applies. A failed read is always ``PlatformUnavailable``.

    Example::

        client.write("config/current", document, expected_revision=entry.revision)
    """

    __slots__ = ()

    @abc.abstractmethod
    def read(self, key: str, deadline: float | None = None) -> Result[Entry | None, PlatformError]:
        """Returns the entry of a key, None when there is none."""

    @abc.abstractmethod
    def read_prefix(
        self, prefix: str, deadline: float | None = None
    ) -> Result[Snapshot, PlatformError]:
        """Returns all entries whose key starts with a prefix."""

    @abc.abstractmethod
    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: str | None = None,
        deadline: float | None = None,
    ) -> Result[int, PlatformError]:
        """Writes a value if the entry has the expected revision; 0 means that it must not exist.

        Returns the new revision. Fails with ``RevisionConflict``, ``PlatformUnavailable`` or
        ``OutcomeUnknownError``.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, expected_revision: int, deadline: float | None = None
    ) -> Result[int, PlatformError]:
        """Deletes an entry if it has the expected revision; errors as for ``write``."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[Snapshot, PlatformError]:
        """Waits until an entry under a prefix changes after a revision.

        Returns an empty snapshot when none did within ``timeout`` seconds.
        """

    @abc.abstractmethod
    def open_lease(self, ttl_ms: int, deadline: float | None = None) -> Result[str, PlatformError]:
        """Returns the identifier of a new lease that ends ``ttl_ms`` after its last renewal."""

    @abc.abstractmethod
    def renew_lease(self, lease: str, deadline: float | None = None) -> Result[None, PlatformError]:
        """Renews a lease; fails with ``LeaseExpired`` when it has ended."""

    def close(self) -> None:  # noqa: B027
        """Closes connections that the client holds."""


class BaseInstanceListClient(abc.ABC):
    """The platform's list of daemon instances, which lags."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self, deadline: float | None = None) -> Result[tuple[Member, ...], PlatformError]:
        """Returns the live and leaving daemons."""
