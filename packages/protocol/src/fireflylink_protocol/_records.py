"""Records that the daemons keep in the metadata store, as JSON."""

import json
import zlib
from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_core import (
    FIRST_KEY,
    Assignment,
    BaseValue,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_protocol._errors import RecordError

RECORD_PREFIX = "fireflylink/"
MEMBERS_PREFIX = f"{RECORD_PREFIX}members/"
OWNERSHIP_PREFIX = f"{RECORD_PREFIX}ownership/"
DECIDER_KEY = f"{RECORD_PREFIX}decider"
COMPRESSION_LEVEL = 9


class MemberRecord(BaseValue):
    """A daemon that runs, and where it takes load reports.

    ``started_ms`` tells one incarnation of a daemon from the next.
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
    """Returns the record of an ownership table.

    Lives of servers are listed once and named by their position: every daemon reads the record
    after each change, and bytes between data centres are paid for. An assignment is the distance
    of its last key from the former one, its fence below the table's, its owner, and, while it is
    on its way, its former holders and the hand-over token. The JSON is compressed; operators see
    it with ``fireflylink owners``.
    """
    incarnations: dict[ServerIncarnation, int] = {}
    rows: list[list[object]] = []
    before = FIRST_KEY - 1
    for assignment in table.assignments:
        row: list[object] = [
            assignment.keys.last - before,
            table.fence - assignment.fence,
            incarnations.setdefault(assignment.owner, len(incarnations)),
        ]
        if assignment.previous_holders or assignment.handover:
            row.append(
                [
                    incarnations.setdefault(incarnation, len(incarnations))
                    for incarnation in assignment.previous_holders
                ]
            )
            row.append(assignment.handover)
        rows.append(row)
        before = assignment.keys.last
    fields = _encode(
        {
            "service": table.service,
            "fence": table.fence,
            "alone": table.written_by_sole_decider,
            "lives": [
                [incarnation.server_id, incarnation.started_ms] for incarnation in incarnations
            ],
            "assignments": rows,
        }
    )
    return zlib.compress(fields, COMPRESSION_LEVEL)


def decode_table(value: bytes) -> Result[OwnershipTable, RecordError]:
    """Returns the ownership table of a record."""

    def table(fields: Any) -> OwnershipTable:
        incarnations = [
            ServerIncarnation(str(server), int(born)) for server, born in fields["lives"]
        ]
        fence = int(fields["fence"])
        assignments = []
        before = FIRST_KEY - 1
        for length, below, owner, *rest in fields["assignments"]:
            last = before + int(length)
            previous, handover = rest or ((), "")
            assignments.append(
                Assignment(
                    KeyRange(before + 1, last),
                    incarnations[owner],
                    fence - int(below),
                    tuple(incarnations[incarnation] for incarnation in previous),
                    str(handover),
                )
            )
            before = last
        alone = bool(fields["alone"])
        return OwnershipTable(str(fields["service"]), fence, tuple(assignments), alone)

    try:
        fields = zlib.decompress(value)
    except zlib.error as error:
        return Failure(RecordError(f"the record cannot be read: {error!r}"))
    return _decode(fields, table)


def _encode(fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(value: bytes, build: Any) -> Result[Any, RecordError]:
    try:
        return Success(build(json.loads(value)))
    except (ValueError, TypeError, LookupError) as error:
        return Failure(RecordError(f"the record cannot be read: {error!r}"))
