"""Who owns each shard according to the stored tables."""

from collections.abc import Iterator, Mapping

from fireflylink_core import OwnershipTable, ServerGroup, ShardKey, ShardRecord

Owners = Mapping[ShardKey, tuple[str, ...]]
"""The servers of the group that owns each shard."""


def shard_owners(tables: Mapping[str, OwnershipTable]) -> dict[ShardKey, tuple[str, ...]]:
    """Returns the servers that own each shard, over all tables."""
    found: dict[ShardKey, tuple[str, ...]] = {}
    for table in tables.values():
        for key, group in _in_effect(tables, table, table.shards):
            found[key] = group.server_ids
    return found


def exception_owners(tables: Mapping[str, OwnershipTable]) -> dict[ShardKey, tuple[str, ...]]:
    """Returns the servers that own each key with a record of its own, over all tables."""
    found: dict[ShardKey, tuple[str, ...]] = {}
    for table in tables.values():
        for key, group in _in_effect(tables, table, table.exceptions):
            found[key] = group.server_ids
    return found


def _in_effect(
    tables: Mapping[str, OwnershipTable],
    table: OwnershipTable,
    records: Mapping[ShardKey, ShardRecord],
) -> Iterator[tuple[ShardKey, ServerGroup]]:
    """Yields the records of a table that are in effect.

    A record that waits for another table takes effect once that table says that it released the
    shard.
    """
    for key, record in records.items():
        group = table.groups.get(record.group_id)
        if group is None or record.released_to is not None:
            continue
        if record.pending_from is None or _is_released(tables, table.table_id, key, record):
            yield key, group


def _is_released(
    tables: Mapping[str, OwnershipTable], table_id: str, key: ShardKey, record: ShardRecord
) -> bool:
    source = tables.get(record.pending_from or "")
    if source is None:
        return False
    former = source.shards.get(key) or source.exceptions.get(key)
    return former is not None and former.released_to == table_id
