"""Rules about the state of a single record."""

from collections.abc import Iterator, Mapping
from typing import Protocol

from fireflylink_core import ShardKey, ShardRecord

NO_RELEASE = "-"
"""A previous group that no gateway acts for, so that the new owner waits until it is settled.

It stands where several earlier owners may still hold the shard, so that the release by one of them
must not let the new owner start.
"""


class RecordTable(Protocol):
    """The records of a table, whether it is final or still a draft."""

    @property
    def shards(self) -> Mapping[ShardKey, ShardRecord]:
        """Records of shards."""

    @property
    def exceptions(self) -> Mapping[ShardKey, ShardRecord]:
        """Records of single keys."""


def record_in(table: RecordTable | None, key: ShardKey, exception: bool) -> ShardRecord | None:
    """Returns the record of a shard or of a single-key exception in a table."""
    if table is None:
        return None
    return (table.exceptions if exception else table.shards).get(key)


def releases(source: ShardRecord | None, pending: ShardRecord, table_id: str) -> bool:
    """Tells whether a source record lets a pending record of a table take effect.

    The epochs must be adjacent, so that neither a release of an earlier stay in that table nor a
    pending record that the source gave up can make a second owner.
    """
    if source is None or source.released_to != table_id:
        return False
    return source.epoch + 1 == pending.epoch


def is_active(
    tables: Mapping[str, RecordTable], table_id: str, key: ShardKey, exception: bool
) -> bool:
    """Tells whether a table's record of a shard makes that table its owner."""
    record = record_in(tables.get(table_id), key, exception)
    if record is None or record.released_to is not None:
        return False
    if record.pending_from is None:
        return True
    source = record_in(tables.get(record.pending_from), key, exception)
    return releases(source, record, table_id)


def in_transit(record: ShardRecord, settled_version: int) -> bool:
    """Tells whether an earlier owner of the shard may still hold it."""
    if record.pending_from is not None:
        return True
    return record.previous_group is not None and record.changed_version > settled_version


def all_records(
    table: RecordTable,
) -> Iterator[tuple[bool, ShardKey, ShardRecord]]:
    """Yields each record with whether it is a single-key exception."""
    for key, record in table.shards.items():
        yield False, key, record
    for key, record in table.exceptions.items():
        yield True, key, record


def unsettled_sources(
    tables: Mapping[str, RecordTable], table_id: str, key: ShardKey, exception: bool
) -> tuple[tuple[str, int], ...]:
    """Lists the table versions that have to be settled before an active record's owner starts.

    There may be several while a shard moves on before its last move between tables was settled.
    The list is empty if the shard had no earlier owner.
    """
    record = record_in(tables.get(table_id), key, exception)
    if record is None or record.previous_group is None:
        return ()
    found = [(table_id, record.changed_version)]
    while record is not None and record.pending_from is not None:
        source_id = record.pending_from
        record = record_in(tables.get(source_id), key, exception)
        if record is None or (source_id, record.changed_version) in found:
            break
        found.append((source_id, record.changed_version))
    return tuple(found)
