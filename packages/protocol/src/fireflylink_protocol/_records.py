"""Records that the daemons write to the metadata store, as JSON.

A store key is the name of a record in the store; it is unrelated to the keys of requests.
Each daemon writes a member record. The decider (elected leader) also writes the decider's record
and the ownership table of each service.
"""

import ipaddress
import json
import zlib
from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_core import (
    FIRST_KEY,
    LAST_KEY,
    Assignment,
    BaseValue,
    DaemonAddress,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_protocol._errors import RecordError
from fireflylink_protocol._numbers import checked_integer

RECORD_PREFIX = "fireflylink/"
MEMBERS_PREFIX = f"{RECORD_PREFIX}members/"
OWNERSHIP_PREFIX = f"{RECORD_PREFIX}ownership/"
DECIDER_KEY = f"{RECORD_PREFIX}decider"
COMPRESSION_LEVEL = 9
MAX_PORT = 65535
MAX_TABLE_BYTES = 16 * 1024 * 1024
"""Limit on what a table may decompress to; one with an assignment for each key has about 2 MB."""


class MemberRecord(BaseValue):
    """A member: a daemon that the store lists, with the address at which it receives datagrams.

    ``started_ms`` is the start time of the daemon in milliseconds since the Unix epoch. It
    distinguishes the incarnations of a daemon.
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

    @property
    def address(self) -> DaemonAddress:
        """The daemon with the address at which it receives datagrams."""
        return DaemonAddress(self.instance, self.host, self.port)


def member_key(instance: str) -> str:
    """Returns the store key of the member record of a daemon."""
    return f"{MEMBERS_PREFIX}{instance}"


def ownership_key(service: str) -> str:
    """Returns the store key of the ownership table of a service."""
    return f"{OWNERSHIP_PREFIX}{service}"


def encode_member(member: MemberRecord) -> bytes:
    """Returns the member record of a daemon; the decider's record has the same format."""
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
    """Returns the daemon that a member record or the decider's record describes."""

    def build_member(fields: Any) -> MemberRecord:
        return MemberRecord(
            str(fields["instance"]),
            checked_integer(fields["started_ms"]),
            str(fields["data_centre"]),
            # Datagrams are sent to the address, and a name would have to be looked up each time.
            str(ipaddress.IPv4Address(fields["host"])),
            # A daemon whose settings name no port writes 0; it gets no datagrams.
            checked_integer(fields["port"], maximum=MAX_PORT),
        )

    return _decode(value, build_member)


def encode_table(table: OwnershipTable) -> bytes:
    """Returns the record of an ownership table.

    The format is compact, because every daemon reads the record after each change and traffic
    between data centres costs money. Server incarnations are listed once, and assignments refer to
    them by index. An assignment is encoded as its number of keys, the difference between the fence
    of the table and its own, its owner and, while its keys are being transferred, the previous
    holders and the handover token. The JSON is compressed; ``fireflylink owners`` shows the table.
    """
    incarnations: dict[ServerIncarnation, int] = {}
    rows: list[list[object]] = []
    previous_last = FIRST_KEY - 1
    for assignment in table.assignments:
        row: list[object] = [
            assignment.keys.last - previous_last,
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
        previous_last = assignment.keys.last
    encoded = _encode(
        {
            "service": table.service,
            "fence": table.fence,
            "alone": table.written_by_sole_decider,
            "unknown_holders": table.has_unknown_holders,
            "writer": _encode_address(table.writer),
            "lives": [
                [incarnation.server_id, incarnation.started_ms] for incarnation in incarnations
            ],
            "assignments": rows,
        }
    )
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def decode_table(value: bytes) -> Result[OwnershipTable, RecordError]:
    """Returns the ownership table that a record describes."""

    def build_table(fields: Any) -> OwnershipTable:
        incarnations = [
            ServerIncarnation(str(server_id), checked_integer(started_ms))
            for server_id, started_ms in fields["lives"]
        ]
        fence = checked_integer(fields["fence"])
        assignments = []
        previous_last = FIRST_KEY - 1
        for key_count, fence_offset, owner, *transfer in fields["assignments"]:
            last = checked_integer(previous_last + key_count, previous_last + 1, LAST_KEY)
            previous_holders, handover = transfer or ((), "")
            assignments.append(
                Assignment(
                    KeyRange(previous_last + 1, last),
                    incarnations[checked_integer(owner)],
                    checked_integer(fence - fence_offset),
                    tuple(incarnations[checked_integer(index)] for index in previous_holders),
                    str(handover),
                )
            )
            previous_last = last
        return OwnershipTable(
            str(fields["service"]),
            fence,
            tuple(assignments),
            written_by_sole_decider=bool(fields["alone"]),
            # Records of earlier versions do not have this field.
            has_unknown_holders=bool(fields.get("unknown_holders", False)),
            writer=_decode_address(fields.get("writer")),
        )

    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(value, MAX_TABLE_BYTES)
    except zlib.error as error:
        return Failure(RecordError(f"the ownership table cannot be decompressed: {error!r}"))
    if not decompressor.eof:
        return Failure(RecordError("the ownership table is not whole or too large"))
    return _decode(encoded, build_table)


def _encode_address(address: DaemonAddress | None) -> list[object] | None:
    return None if address is None else [address.instance, address.host, address.port]


def _decode_address(fields: Any) -> DaemonAddress | None:
    if fields is None:
        return None
    instance, host, port = fields
    return DaemonAddress(
        str(instance),
        str(ipaddress.IPv4Address(host)),
        checked_integer(port, maximum=MAX_PORT),
    )


def _encode(record: object) -> bytes:
    return json.dumps(record, separators=(",", ":")).encode()


def _decode(value: bytes, build: Any) -> Result[Any, RecordError]:
    try:
        return Success(build(json.loads(value)))
    except (ValueError, TypeError, LookupError, RecursionError) as error:
        return Failure(RecordError(f"the record cannot be decoded: {error!r}"))
