"""Records that the daemons keep in the metadata store, as JSON that an operator can read."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_core import Assignment, BaseValue, KeyRange, OwnershipTable, ServerLife
from fireflylink_protocol._errors import RecordError

RECORD_PREFIX = "fireflylink/"
MEMBERS_PREFIX = f"{RECORD_PREFIX}members/"
OWNERSHIP_PREFIX = f"{RECORD_PREFIX}ownership/"
POISON_PREFIX = f"{RECORD_PREFIX}poison/"
DECIDER_KEY = f"{RECORD_PREFIX}decider"


class MemberRecord(BaseValue):
    """A daemon that runs, and where it takes load reports.

    ``started_ms`` tells one life of a daemon from the next.
    """

    __slots__ = ("data_centre", "host", "instance", "port", "started_ms")

    def __init__(
        self, instance: str, started_ms: int, data_centre: str, host: str, port: int
    ) -> None:
        self.instance = instance
        self.started_ms = started_ms
        self.data_centre = data_centre
        self.host = host
        self.port = port


def member_key(instance: str) -> str:
    """Returns the key of a daemon's member record."""
    return f"{MEMBERS_PREFIX}{instance}"


def ownership_key(service: str) -> str:
    """Returns the key of the ownership table of a service."""
    return f"{OWNERSHIP_PREFIX}{service}"


def poison_key(fingerprint: str) -> str:
    """Returns the key that marks a poisonous request."""
    return f"{POISON_PREFIX}{fingerprint}"


def encode_member(member: MemberRecord) -> bytes:
    """Returns the record of a daemon; the decider's record has the same form."""
    return _encode(
        {
            "instance": member.instance,
            "started_ms": member.started_ms,
            "data_centre": member.data_centre,
            "host": member.host,
            "port": member.port,
        }
    )


def decode_member(value: bytes) -> Result[MemberRecord, RecordError]:
    """Returns the daemon that a record names."""

    def member(fields: Any) -> MemberRecord:
        return MemberRecord(
            str(fields["instance"]),
            int(fields["started_ms"]),
            str(fields["data_centre"]),
            str(fields["host"]),
            int(fields["port"]),
        )

    return _decode(value, member)


def encode_table(table: OwnershipTable) -> bytes:
    """Returns the record of an ownership table, one row an assignment."""
    rows = [
        [
            assignment.keys.first,
            assignment.keys.last,
            assignment.fence,
            _life_row(assignment.owner),
            [_life_row(life) for life in assignment.previous],
            assignment.handover,
        ]
        for assignment in table.assignments
    ]
    return _encode({"service": table.service, "fence": table.fence, "assignments": rows})


def decode_table(value: bytes) -> Result[OwnershipTable, RecordError]:
    """Returns the ownership table of a record."""

    def table(fields: Any) -> OwnershipTable:
        assignments = tuple(_assignment(row) for row in fields["assignments"])
        return OwnershipTable(str(fields["service"]), int(fields["fence"]), assignments)

    return _decode(value, table)


def _assignment(row: Any) -> Assignment:
    first, last, fence, owner, previous, handover = row
    return Assignment(
        KeyRange(int(first), int(last)),
        _life(owner),
        int(fence),
        tuple(_life(life) for life in previous),
        str(handover),
    )


def _life_row(life: ServerLife) -> list[object]:
    return [life.server_id, life.born_ms]


def _life(row: Any) -> ServerLife:
    server_id, born_ms = row
    return ServerLife(str(server_id), int(born_ms))


def _encode(fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(value: bytes, build: Any) -> Result[Any, RecordError]:
    try:
        return Success(build(json.loads(value)))
    except (ValueError, TypeError, KeyError) as error:
        return Failure(RecordError(f"the record cannot be read: {error!r}"))
