"""The merged view of all tables that the request path looks up."""

from collections.abc import Iterable, Mapping

from fireflylink_core import (
    BaseValue,
    Configuration,
    OwnershipTable,
    ServerGroup,
    ShardKey,
    ShardRecord,
    key_hash,
)
from fireflylink_decisions.ownership._records import is_active, record_in, unsettled_sources


class Route(BaseValue):
    """The owner of a shard or of a single key, as found in a table.

    ``index`` is the shard index, or the key hash if ``is_exception``. ``settle_first`` lists the
    table versions, as (table id, version), that have to be settled before the owner starts, unless
    ``record.previous_group`` releases the shard.
    """

    __slots__ = ("group", "index", "is_exception", "record", "settle_first", "table_id")

    def __init__(
        self,
        table_id: str,
        record: ShardRecord,
        group: ServerGroup,
        index: int,
        is_exception: bool,
        settle_first: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.table_id = table_id
        self.record = record
        self.group = group
        self.index = index
        self.is_exception = is_exception
        self.settle_first = settle_first


class Routes:
    """Owners of all shards, merged from the tables of all data centres.

    An instance does not change; ``with_table`` and ``with_configuration`` return another one, so
    that a request sees a single state of all tables.

    Example::

        routes = merge_tables(configuration, tables.values())
        route = routes.find("availability", "room-17")
    """

    __slots__ = ("exceptions", "shard_counts", "shards", "tables")

    def __init__(
        self,
        shard_counts: Mapping[str, int],
        tables: Mapping[str, OwnershipTable],
        shards: dict[ShardKey, Route],
        exceptions: dict[ShardKey, Route],
    ) -> None:
        self.shard_counts = shard_counts
        self.tables = tables
        self.shards = shards
        self.exceptions = exceptions

    def find(self, service: str, key: str) -> Route | None:
        """Returns the owner of a key or, for a pooled service, of a request id.

        It is None for an unknown service and while no known table owns the shard.
        """
        return self.find_hash(service, key_hash(key))

    def find_hash(self, service: str, hashed_key: int) -> Route | None:
        """Returns the owner of a hashed key or of a random number for a pooled service."""
        shard_count = self.shard_counts.get(service)
        if shard_count is None:
            return None
        if self.exceptions:
            route = self.exceptions.get((service, hashed_key))
            if route is not None:
                return route
        return self.shards.get((service, hashed_key % shard_count))

    def with_table(self, table: OwnershipTable) -> "Routes":
        """Returns the routes after one table changed; only changed records are merged again."""
        former = self.tables.get(table.table_id)
        tables = dict(self.tables)
        tables[table.table_id] = table
        shards = dict(self.shards)
        exceptions = dict(self.exceptions)
        for key in _changed_keys(former, table, exception=False):
            _merge_key(shards, tables, key, exception=False)
        for key in _changed_keys(former, table, exception=True):
            _merge_key(exceptions, tables, key, exception=True)
        return Routes(self.shard_counts, tables, shards, exceptions)

    def with_configuration(self, configuration: Configuration) -> "Routes":
        """Returns the same routes with the shard counts of another configuration."""
        return Routes(_shard_counts(configuration), self.tables, self.shards, self.exceptions)


def merge_tables(configuration: Configuration, tables: Iterable[OwnershipTable]) -> Routes:
    """Merges tables into routes; of two owners of a shard the one with the higher epoch wins."""
    by_id = {table.table_id: table for table in tables}
    shards: dict[ShardKey, Route] = {}
    exceptions: dict[ShardKey, Route] = {}
    for key in {key for table in by_id.values() for key in table.shards}:
        _merge_key(shards, by_id, key, exception=False)
    for key in {key for table in by_id.values() for key in table.exceptions}:
        _merge_key(exceptions, by_id, key, exception=True)
    return Routes(_shard_counts(configuration), by_id, shards, exceptions)


def _shard_counts(configuration: Configuration) -> dict[str, int]:
    return {name: service.shard_count for name, service in configuration.services.items()}


def _changed_keys(
    former: OwnershipTable | None, table: OwnershipTable, exception: bool
) -> set[ShardKey]:
    records = table.exceptions if exception else table.shards
    if former is None:
        return set(records)
    former_records = former.exceptions if exception else former.shards
    changed_groups = {
        group_id
        for group_id in former.groups.keys() | table.groups.keys()
        if former.groups.get(group_id) != table.groups.get(group_id)
    }
    changed = set(former_records.keys() - records.keys())
    for key, record in records.items():
        former_record = former_records.get(key)
        if record is former_record and record.group_id not in changed_groups:
            continue
        if record != former_record or record.group_id in changed_groups:
            changed.add(key)
    return changed


def _merge_key(
    routes: dict[ShardKey, Route],
    tables: Mapping[str, OwnershipTable],
    key: ShardKey,
    exception: bool,
) -> None:
    best: Route | None = None
    for table_id in sorted(tables):
        record = record_in(tables[table_id], key, exception)
        if record is None or (best is not None and record.epoch <= best.record.epoch):
            continue
        group = tables[table_id].groups.get(record.group_id)
        if group is not None and is_active(tables, table_id, key, exception):
            earlier = unsettled_sources(tables, table_id, key, exception)
            best = Route(table_id, record, group, key[1], exception, earlier)
    if best is None:
        routes.pop(key, None)
    else:
        routes[key] = best
