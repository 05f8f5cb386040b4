"""The metadata store: its interface, and the facts that its items state."""

from fireflylink_store._errors import (
    ConflictError,
    HistoryGoneError,
    LeaseEndedError,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)
from fireflylink_store._facts import (
    BaseCatalogue,
    BaseFact,
    ConfigurationFact,
    EvacuationFact,
    RecordFact,
    ServerFact,
    ServerGoneFact,
    UnreadableFact,
)
from fireflylink_store._items import (
    ABSENT,
    NO_LEASE,
    Change,
    Changes,
    Commit,
    Item,
    Lease,
    Put,
    Removal,
    Snapshot,
)
from fireflylink_store._store import BaseStore

__all__ = [
    "ABSENT",
    "NO_LEASE",
    "BaseCatalogue",
    "BaseFact",
    "BaseStore",
    "Change",
    "Changes",
    "Commit",
    "ConfigurationFact",
    "ConflictError",
    "EvacuationFact",
    "HistoryGoneError",
    "Item",
    "Lease",
    "LeaseEndedError",
    "Put",
    "RecordFact",
    "Removal",
    "ServerFact",
    "ServerGoneFact",
    "Snapshot",
    "StoreError",
    "StoreUnavailableError",
    "StoreUncertainError",
    "UnreadableFact",
]
