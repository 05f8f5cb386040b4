"""The operators' command-line client."""

from fireflylink_operator_client._daemon_reader import (
    BaseDaemonReader,
    DaemonError,
    DaemonRefusedError,
)
from fireflylink_operator_client._directory import (
    BaseDaemonDirectory,
    DaemonAddress,
    FixedDirectory,
)
from fireflylink_operator_client._errors import ClientError, ExitStatus
from fireflylink_operator_client._main import main, run
from fireflylink_operator_client._repository import Repository
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._store import (
    BaseStore,
    StoreConflictError,
    StoredEntry,
    StoreError,
    StoreOutcomeUnknownError,
    StoreSnapshot,
    StoreUnavailableError,
)

__all__ = [
    "BaseDaemonDirectory",
    "BaseDaemonReader",
    "BaseStore",
    "ClientError",
    "DaemonAddress",
    "DaemonError",
    "DaemonRefusedError",
    "ExitStatus",
    "FixedDirectory",
    "Repository",
    "Session",
    "StoreConflictError",
    "StoreError",
    "StoreOutcomeUnknownError",
    "StoreSnapshot",
    "StoreUnavailableError",
    "StoredEntry",
    "main",
    "run",
]
