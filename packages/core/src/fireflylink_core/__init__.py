"""Values shared by every package: clocks, identifiers, configuration and ownership."""

from fireflylink_core._clock import BaseClock, ManualClock, SystemClock
from fireflylink_core._configuration import (
    EMPTY_CONFIGURATION,
    AppliedNote,
    BackendServer,
    Configuration,
    DataCentre,
    DataCentreState,
    Isolation,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
)
from fireflylink_core._errors import BaseFireflylinkError, InvalidValueError
from fireflylink_core._hashing import key_hash, rendezvous_score, shard_of, shard_of_hash
from fireflylink_core._member import Member, MemberState
from fireflylink_core._ownership import (
    OwnershipTable,
    ServerGroup,
    ShardKey,
    ShardRecord,
    data_centre_of_table,
    isolation_of_table,
    table_id_of,
)
from fireflylink_core._release_note import (
    FieldChanges,
    NoteAdditions,
    NoteChanges,
    NoteWithdrawals,
    ReleaseNote,
)
from fireflylink_core._request import (
    IDEMPOTENT_METHODS,
    MAX_ANSWER_BYTES,
    MAX_REQUEST_BYTES,
    BackendAnswer,
    BaseReply,
    CallerRequest,
    NotRun,
    Outcome,
    OutcomeUnknown,
)
from fireflylink_core._value import BaseValue

__all__ = [
    "EMPTY_CONFIGURATION",
    "IDEMPOTENT_METHODS",
    "MAX_ANSWER_BYTES",
    "MAX_REQUEST_BYTES",
    "AppliedNote",
    "BackendAnswer",
    "BackendServer",
    "BaseClock",
    "BaseFireflylinkError",
    "BaseReply",
    "BaseValue",
    "CallerRequest",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "FieldChanges",
    "InvalidValueError",
    "Isolation",
    "ManualClock",
    "Member",
    "MemberState",
    "NotRun",
    "NoteAdditions",
    "NoteChanges",
    "NoteWithdrawals",
    "Outcome",
    "OutcomeUnknown",
    "OwnershipTable",
    "ReleaseNote",
    "ServerGroup",
    "ServerState",
    "Service",
    "ServiceKind",
    "ShardKey",
    "ShardRange",
    "ShardRecord",
    "SystemClock",
    "data_centre_of_table",
    "isolation_of_table",
    "key_hash",
    "rendezvous_score",
    "shard_of",
    "shard_of_hash",
    "table_id_of",
]
