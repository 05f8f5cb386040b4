"""The protocol between daemons: their records in the store and their datagrams."""

from fireflylink_protocol._changes import RelayedChange, decode_changes, encode_changes
from fireflylink_protocol._datagrams import (
    MAX_REPORTED_KEYS,
    CrashNotice,
    Datagram,
    DeciderClaim,
    DeciderRetired,
    GrantNotice,
    LoadReport,
    ServerServiceTime,
    decode_datagram,
    encode_datagram,
)
from fireflylink_protocol._errors import RecordError
from fireflylink_protocol._records import (
    DECIDER_KEY,
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    RECORD_PREFIX,
    MemberRecord,
    decode_member,
    decode_table,
    encode_member,
    encode_table,
    member_key,
    ownership_key,
)

__all__ = [
    "DECIDER_KEY",
    "MAX_REPORTED_KEYS",
    "MEMBERS_PREFIX",
    "OWNERSHIP_PREFIX",
    "RECORD_PREFIX",
    "CrashNotice",
    "Datagram",
    "DeciderClaim",
    "DeciderRetired",
    "GrantNotice",
    "LoadReport",
    "MemberRecord",
    "RecordError",
    "RelayedChange",
    "ServerServiceTime",
    "decode_changes",
    "decode_datagram",
    "decode_member",
    "decode_table",
    "encode_changes",
    "encode_datagram",
    "encode_member",
    "encode_table",
    "member_key",
    "ownership_key",
]
