"""What the command line needs of the platform's key-value service."""

import abc

from returns.result import Result

from fireflylink_core import BaseFireflylinkError, BaseValue


class StoreError(BaseFireflylinkError):
    """A call to the store did not return what was asked for."""


class StoreUnavailableError(StoreError):
    """The call certainly had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """A write may or may not have taken effect."""


class StoreConflictError(StoreError):
    """The entry does not have the expected revision; nothing was written."""


class StoredEntry(BaseValue):
    """A stored value and the store-wide revision of the write that made it."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class StoreSnapshot(BaseValue):
    """Entries under a prefix at a revision of the store."""

    __slots__ = ("entries", "revision")

    def __init__(self, revision: int, entries: tuple[StoredEntry, ...]) -> None:
        self.revision = revision
        self.entries = entries


class BaseStore(abc.ABC):
    """A key-value store with compare-and-swap writes and watches."""

    __slots__ = ()

    @abc.abstractmethod
    def read(self, key: str) -> Result[StoredEntry | None, StoreError]:
        """Returns the entry of a key, ``None`` when there is none."""

    @abc.abstractmethod
    def read_prefix(self, prefix: str) -> Result[StoreSnapshot, StoreError]:
        """Returns all entries whose key starts with a prefix."""

    @abc.abstractmethod
    def write(self, key: str, value: bytes, expected_revision: int) -> Result[int, StoreError]:
        """Writes a value if the entry has the expected revision; 0 means that it must not exist.

        Returns the new revision. Fails with ``StoreConflictError``, ``StoreUnavailableError`` or
        ``StoreOutcomeUnknownError``.
        """

    @abc.abstractmethod
    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[StoreSnapshot, StoreError]:
        """Waits up to ``timeout`` seconds until an entry under a prefix changes.

        Returns the entries that changed after a revision, none of them at the timeout.
        """
