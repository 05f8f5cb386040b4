"""Adapter of the platform client to the interfaces of this package."""

from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_operator_client._directory import BaseDaemonDirectory, DaemonAddress
from fireflylink_operator_client._errors import UnavailableError
from fireflylink_operator_client._store import (
    BaseStore,
    StoreConflictError,
    StoredEntry,
    StoreError,
    StoreOutcomeUnknownError,
    StoreSnapshot,
    StoreUnavailableError,
)
from fireflylink_platform_client import (
    BaseInstanceListClient,
    BaseKeyValueClient,
    Entry,
    InstanceListClient,
    KeyValueClient,
    OutcomeUnknownError,
    PlatformError,
    RevisionConflict,
    Snapshot,
)

DAEMONS_HINT = 'name the daemons under "daemons" in the settings to ask them without the platform'


class PlatformStore(BaseStore):
    """The platform's key-value service through ``KeyValueClient``."""

    __slots__ = ("client",)

    def __init__(self, client: BaseKeyValueClient) -> None:
        self.client = client

    def read(self, key: str) -> Result[StoredEntry | None, StoreError]:
        found: Result[Any, Any] = self.client.read(key)
        return found.map(_optional_entry).alt(_store_error)

    def read_prefix(self, prefix: str) -> Result[StoreSnapshot, StoreError]:
        found: Result[Any, Any] = self.client.read_prefix(prefix)
        return found.map(_snapshot).alt(_store_error)

    def write(self, key: str, value: bytes, expected_revision: int) -> Result[int, StoreError]:
        written: Result[int, Any] = self.client.write(key, value, expected_revision)
        return written.alt(_store_error)

    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[StoreSnapshot, StoreError]:
        found: Result[Any, Any] = self.client.watch(prefix, after_revision, timeout)
        return found.map(_snapshot).alt(_store_error)


class InstanceListDirectory(BaseDaemonDirectory):
    """The daemons in the platform's instance list that have an operator endpoint."""

    __slots__ = ("client",)

    def __init__(self, client: BaseInstanceListClient) -> None:
        self.client = client

    def daemons(self) -> Result[tuple[DaemonAddress, ...], UnavailableError]:
        found: Result[Any, Any] = self.client.read()
        if isinstance(found, Failure):
            return Failure(UnavailableError(f"instance list: {found.failure()}; {DAEMONS_HINT}"))
        return Success(
            tuple(
                DaemonAddress(
                    data_centre=member.data_centre,
                    host=member.host,
                    port=member.operator_port,
                    instance_id=member.instance_id,
                )
                for member in found.unwrap()
                if member.operator_port
            )
        )


def platform_store(host: str, port: int, call_timeout: float) -> BaseStore:
    """Returns the store at an address; ``call_timeout`` is in seconds."""
    return PlatformStore(KeyValueClient(host, port, call_timeout))


def platform_directory(host: str, port: int, call_timeout: float) -> BaseDaemonDirectory:
    """Returns the daemons of the instance list at an address."""
    return InstanceListDirectory(InstanceListClient(host, port, call_timeout))


def _optional_entry(entry: Entry | None) -> StoredEntry | None:
    return None if entry is None else _entry(entry)


def _entry(entry: Entry) -> StoredEntry:
    return StoredEntry(entry.key, entry.value, entry.revision)


def _snapshot(snapshot: Snapshot) -> StoreSnapshot:
    return StoreSnapshot(snapshot.revision, tuple(_entry(entry) for entry in snapshot.entries))


def _store_error(error: PlatformError) -> StoreError:
    if isinstance(error, RevisionConflict):
        return StoreConflictError(str(error))
    if isinstance(error, OutcomeUnknownError):
        return StoreOutcomeUnknownError(str(error))
    return StoreUnavailableError(str(error))
