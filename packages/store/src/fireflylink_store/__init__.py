"""The metadata store: its interface, its items, and the updates that the items decode to."""

from fireflylink_store._era import MAX_ERA, NUMBERS_PER_ERA, era_of, number_of, qualified
from fireflylink_store._errors import (
    ConflictError,
    HistoryCompactedError,
    LeaseNotFoundError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
)
from fireflylink_store._items import (
    ABSENT_REVISION,
    NO_LEASE,
    Change,
    ChangeBatch,
    Commit,
    Deletion,
    Item,
    Lease,
    Put,
    Snapshot,
)
from fireflylink_store._store import BaseStore
from fireflylink_store._updates import (
    BaseItemDecoder,
    BaseUpdate,
    ConfigurationUpdate,
    EvacuationUpdate,
    RecordUpdate,
    ServerRemoved,
    ServerUpdate,
    UnreadableItem,
)

__all__ = [
    "ABSENT_REVISION",
    "MAX_ERA",
    "NO_LEASE",
    "NUMBERS_PER_ERA",
    "BaseItemDecoder",
    "BaseStore",
    "BaseUpdate",
    "Change",
    "ChangeBatch",
    "Commit",
    "ConfigurationUpdate",
    "ConflictError",
    "Deletion",
    "EvacuationUpdate",
    "HistoryCompactedError",
    "Item",
    "Lease",
    "LeaseNotFoundError",
    "Put",
    "RecordUpdate",
    "ServerRemoved",
    "ServerUpdate",
    "Snapshot",
    "StoreError",
    "StoreOutcomeUnknownError",
    "StoreRestoredError",
    "StoreUnavailableError",
    "UnreadableItem",
    "era_of",
    "number_of",
    "qualified",
]
