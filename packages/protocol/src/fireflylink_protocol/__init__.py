"""The inner protocol: records of the daemons in the store, and load reports between them."""

from fireflylink_protocol._errors import RecordError
from fireflylink_protocol._load_report import (
    MAX_REPORTED_KEYS,
    LoadReport,
    decode_report,
    encode_report,
)
from fireflylink_protocol._records import (
    DECIDER_KEY,
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    POISON_PREFIX,
    RECORD_PREFIX,
    MemberRecord,
    decode_member,
    decode_table,
    encode_member,
    encode_table,
    member_key,
    ownership_key,
    poison_key,
)

__all__ = [
    "DECIDER_KEY",
    "MAX_REPORTED_KEYS",
    "MEMBERS_PREFIX",
    "OWNERSHIP_PREFIX",
    "POISON_PREFIX",
    "RECORD_PREFIX",
    "LoadReport",
    "MemberRecord",
    "RecordError",
    "decode_member",
    "decode_report",
    "decode_table",
    "encode_member",
    "encode_report",
    "encode_table",
    "member_key",
    "ownership_key",
    "poison_key",
]
