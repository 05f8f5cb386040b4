"""The ownership table document.

Strings that repeat in thousands of records (groups, reasons, tables) are listed once in ``names``;
a record is an array that refers to them by position. Trailing positions without a value are left
out: ``[index, group, epoch, changed_version, since_ms, reason, previous_group, pending_from,
released_to]``.
"""

from collections.abc import Mapping
from typing import Any

from returns.result import Result

from fireflylink_core import OwnershipTable, ServerGroup, ShardKey, ShardRecord
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import (
    LARGEST_INTEGER,
    FieldReader,
    checked_integer,
    read_fields,
)
from fireflylink_documents._json import dump_json, quoted

TABLE_KIND = "ownership"
REQUIRED_POSITIONS = 6
ALL_POSITIONS = 9
NAME_POSITIONS = (1, 5)


def encode_table(table: OwnershipTable) -> bytes:
    """Returns the JSON payload of an ownership table; equal values give equal bytes."""
    names = NameList()
    return dump_json(
        {
            "document": TABLE_KIND,
            "table_id": table.table_id,
            "version": table.version,
            "write_id": table.write_id,
            "voters": list(table.voters),
            "previous_voters": list(table.previous_voters),
            "groups": {name: group_fields(group) for name, group in table.groups.items()},
            "shards": records_fields(table.shards, names),
            "exceptions": records_fields(table.exceptions, names),
            "names": names.names,
        }
    )


def decode_table(payload: bytes) -> Result[OwnershipTable, DocumentError]:
    """Returns the ownership table of a JSON payload."""
    return read_fields(payload, _read_table)


def _read_table(fields: FieldReader) -> OwnershipTable:
    fields.kind(TABLE_KIND)
    names = fields.texts("names")
    return OwnershipTable(
        table_id=fields.text("table_id"),
        version=fields.integer("version", 0),
        write_id=fields.text("write_id"),
        voters=fields.texts("voters"),
        groups={
            name: read_group(name, entry)
            for name, entry in fields.children_by_name("groups").items()
        },
        shards=read_records(fields, "shards", names),
        exceptions=read_records(fields, "exceptions", names),
        previous_voters=fields.texts("previous_voters"),
    )


class NameList:
    """Numbers strings in the order in which they are first used."""

    __slots__ = ("names", "positions")

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def position(self, name: str | None) -> int | None:
        """Returns the position of a string, which is appended when it is new."""
        if name is None:
            return None
        known = self.positions.get(name)
        if known is not None:
            return known
        self.positions[name] = len(self.names)
        self.names.append(name)
        return len(self.names) - 1


def group_fields(group: ServerGroup) -> dict[str, Any]:
    """Returns the JSON fields of a group, without its identifier."""
    fields: dict[str, Any] = {
        "service": group.service,
        "server_ids": list(group.server_ids),
        "gateway": group.gateway,
        "gateway_epoch": group.gateway_epoch,
        "changed_version": group.changed_version,
    }
    if group.previous_gateway is not None:
        fields["previous_gateway"] = group.previous_gateway
    return fields


def read_group(name: str, fields: FieldReader) -> ServerGroup:
    """Reads a group."""
    return ServerGroup(
        group_id=name,
        service=fields.text("service"),
        server_ids=fields.texts("server_ids"),
        gateway=fields.text("gateway"),
        gateway_epoch=fields.integer("gateway_epoch", 0),
        changed_version=fields.integer("changed_version", 0),
        previous_gateway=fields.optional_text("previous_gateway"),
    )


def records_fields(
    records: Mapping[ShardKey, ShardRecord], names: NameList
) -> dict[str, list[list[int | None]]]:
    """Returns the records of each service as arrays in the order of their indexes."""
    found: dict[str, list[list[int | None]]] = {}
    for key in sorted(records):
        found.setdefault(key[0], []).append(_row_of(key[1], records[key], names))
    return found


def _row_of(index: int, record: ShardRecord, names: NameList) -> list[int | None]:
    row = [
        index,
        names.position(record.group_id),
        record.epoch,
        record.changed_version,
        record.since_ms,
        names.position(record.reason),
        names.position(record.previous_group),
        names.position(record.pending_from),
        names.position(record.released_to),
    ]
    while row[-1] is None:
        row.pop()
    return row


def read_records(
    fields: FieldReader, field: str, names: tuple[str, ...]
) -> dict[ShardKey, ShardRecord]:
    """Reads the records of every service."""
    services = fields.child(field)
    found: dict[ShardKey, ShardRecord] = {}
    for service in services.checked_names():
        rows = services.items(service)
        _check_rows(rows, services.path_of(service), len(names))
        if len({row[0] for row in rows}) != len(rows):
            raise services.error(service, "must not hold an index twice")
        found.update(((service, row[0]), _record_of(row, names)) for row in rows)
    return found


def _record_of(row: list[Any], names: tuple[str, ...]) -> ShardRecord:
    if len(row) == REQUIRED_POSITIONS:
        return ShardRecord(names[row[1]], row[2], row[3], row[4], names[row[5]])
    optional = [None if place is None else names[place] for place in row[REQUIRED_POSITIONS:]]
    return ShardRecord(names[row[1]], row[2], row[3], row[4], names[row[5]], *optional)


def _check_rows(rows: tuple[Any, ...], path: str, name_count: int) -> None:
    """Checks rows without optional positions all at once, because a table holds thousands."""
    short = [row for row in rows if type(row) is list and len(row) == REQUIRED_POSITIONS]
    all_valid = _are_valid(short, name_count)
    for place, row in enumerate(rows):
        if all_valid and type(row) is list and len(row) == REQUIRED_POSITIONS:
            continue
        _check_row(row, f"{path}[{place}]", name_count)


def _are_valid(rows: list[list[Any]], name_count: int) -> bool:
    for position, column in enumerate(zip(*rows, strict=True)):
        limit = name_count - 1 if position in NAME_POSITIONS else LARGEST_INTEGER
        if set(map(type, column)) != {int} or min(column) < 0 or max(column) > limit:
            return False
    return True


def _check_row(row: Any, path: str, name_count: int) -> None:
    """Raises the error for the first position of a row that is not allowed."""
    if not isinstance(row, list) or not REQUIRED_POSITIONS <= len(row) <= ALL_POSITIONS:
        rule = f"must be a list of {REQUIRED_POSITIONS} to {ALL_POSITIONS} numbers"
        raise DocumentError(path, f"{rule}, not {quoted(row)}")
    for position, value in enumerate(row):
        is_name = position in NAME_POSITIONS or position >= REQUIRED_POSITIONS
        if value is not None or position < REQUIRED_POSITIONS:
            limit = name_count - 1 if is_name else LARGEST_INTEGER
            checked_integer(value, f"{path}[{position}]", 0, limit)
