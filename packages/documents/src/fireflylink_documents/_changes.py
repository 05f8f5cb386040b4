"""The difference between two versions of a document.

A move of a few shards sends a few records instead of a table with thousands, and a release note
sends a few entries instead of the whole configuration.
"""

from collections.abc import Mapping
from typing import TypeVar

from returns.result import Failure, Result, Success

from fireflylink_core import (
    AppliedNote,
    BackendServer,
    BaseValue,
    Configuration,
    DataCentre,
    OwnershipTable,
    ServerGroup,
    Service,
    ShardKey,
    ShardRecord,
)
from fireflylink_documents._errors import DocumentError

KeyT = TypeVar("KeyT", str, ShardKey)
ValueT = TypeVar("ValueT")


class TableChanges(BaseValue):
    """What turns one version of an ownership table into a later one."""

    __slots__ = (
        "base_version",
        "base_write_id",
        "exceptions",
        "groups",
        "previous_voters",
        "removed_exceptions",
        "removed_groups",
        "removed_shards",
        "shards",
        "table_id",
        "version",
        "voters",
        "write_id",
    )

    def __init__(
        self,
        table_id: str,
        base_version: int,
        base_write_id: str,
        version: int,
        write_id: str,
        voters: tuple[str, ...],
        previous_voters: tuple[str, ...],
        groups: Mapping[str, ServerGroup],
        removed_groups: tuple[str, ...],
        shards: Mapping[ShardKey, ShardRecord],
        removed_shards: tuple[ShardKey, ...],
        exceptions: Mapping[ShardKey, ShardRecord],
        removed_exceptions: tuple[ShardKey, ...],
    ) -> None:
        self.table_id = table_id
        self.base_version = base_version
        self.base_write_id = base_write_id
        self.version = version
        self.write_id = write_id
        self.voters = voters
        self.previous_voters = previous_voters
        self.groups = groups
        self.removed_groups = removed_groups
        self.shards = shards
        self.removed_shards = removed_shards
        self.exceptions = exceptions
        self.removed_exceptions = removed_exceptions


class ConfigurationChanges(BaseValue):
    """What turns one version of the configuration into a later one.

    ``dropped_notes`` counts the oldest applied notes that the later version no longer lists.
    """

    __slots__ = (
        "applied_notes",
        "base_version",
        "data_centres",
        "dropped_notes",
        "removed_data_centres",
        "removed_servers",
        "removed_services",
        "servers",
        "services",
        "version",
    )

    def __init__(
        self,
        base_version: int,
        version: int,
        data_centres: Mapping[str, DataCentre],
        services: Mapping[str, Service],
        servers: Mapping[str, BackendServer],
        removed_data_centres: tuple[str, ...],
        removed_services: tuple[str, ...],
        removed_servers: tuple[str, ...],
        applied_notes: tuple[AppliedNote, ...],
        dropped_notes: int,
    ) -> None:
        self.base_version = base_version
        self.version = version
        self.data_centres = data_centres
        self.services = services
        self.servers = servers
        self.removed_data_centres = removed_data_centres
        self.removed_services = removed_services
        self.removed_servers = removed_servers
        self.applied_notes = applied_notes
        self.dropped_notes = dropped_notes


def table_changes(old: OwnershipTable, new: OwnershipTable) -> TableChanges:
    """Returns what turns one version of a table into a later one."""
    return TableChanges(
        table_id=new.table_id,
        base_version=old.version,
        base_write_id=old.write_id,
        version=new.version,
        write_id=new.write_id,
        voters=new.voters,
        previous_voters=new.previous_voters,
        groups=_changed(old.groups, new.groups),
        removed_groups=_removed(old.groups, new.groups),
        shards=_changed(old.shards, new.shards),
        removed_shards=_removed(old.shards, new.shards),
        exceptions=_changed(old.exceptions, new.exceptions),
        removed_exceptions=_removed(old.exceptions, new.exceptions),
    )


def apply_changes(
    old: OwnershipTable, changes: TableChanges
) -> Result[OwnershipTable, DocumentError]:
    """Returns the later version of a table, or an error if the changes start from another one."""
    base = (changes.table_id, changes.base_version, changes.base_write_id)
    if base != (old.table_id, old.version, old.write_id):
        return Failure(_other_base(changes.base_version, old.version))
    return Success(
        OwnershipTable(
            table_id=old.table_id,
            version=changes.version,
            write_id=changes.write_id,
            voters=changes.voters,
            groups=_merged(old.groups, changes.groups, changes.removed_groups),
            shards=_merged(old.shards, changes.shards, changes.removed_shards),
            exceptions=_merged(old.exceptions, changes.exceptions, changes.removed_exceptions),
            previous_voters=changes.previous_voters,
        )
    )


def configuration_changes(old: Configuration, new: Configuration) -> ConfigurationChanges:
    """Returns what turns one version of the configuration into a later one."""
    dropped = _dropped_notes(old.applied_notes, new.applied_notes)
    return ConfigurationChanges(
        base_version=old.version,
        version=new.version,
        data_centres=_changed(old.data_centres, new.data_centres),
        services=_changed(old.services, new.services),
        servers=_changed(old.servers, new.servers),
        removed_data_centres=_removed(old.data_centres, new.data_centres),
        removed_services=_removed(old.services, new.services),
        removed_servers=_removed(old.servers, new.servers),
        applied_notes=new.applied_notes[len(old.applied_notes) - dropped :],
        dropped_notes=dropped,
    )


def apply_configuration_changes(
    old: Configuration, changes: ConfigurationChanges
) -> Result[Configuration, DocumentError]:
    """Returns the later configuration, or an error if the changes start from another version."""
    if changes.base_version != old.version:
        return Failure(_other_base(changes.base_version, old.version))
    return Success(
        Configuration(
            version=changes.version,
            data_centres=_merged(
                old.data_centres, changes.data_centres, changes.removed_data_centres
            ),
            services=_merged(old.services, changes.services, changes.removed_services),
            servers=_merged(old.servers, changes.servers, changes.removed_servers),
            applied_notes=old.applied_notes[changes.dropped_notes :] + changes.applied_notes,
        )
    )


def _dropped_notes(old: tuple[AppliedNote, ...], new: tuple[AppliedNote, ...]) -> int:
    for dropped in range(len(old)):
        kept = old[dropped:]
        if new[: len(kept)] == kept:
            return dropped
    return len(old)


def _other_base(base_version: int, version: int) -> DocumentError:
    return DocumentError("base_version", f"is {base_version}, but the version held is {version}")


def _changed(old: Mapping[KeyT, ValueT], new: Mapping[KeyT, ValueT]) -> dict[KeyT, ValueT]:
    return {
        key: value
        for key, value in new.items()
        if old.get(key) is not value and old.get(key) != value
    }


def _removed(old: Mapping[KeyT, ValueT], new: Mapping[KeyT, ValueT]) -> tuple[KeyT, ...]:
    return tuple(sorted(old.keys() - new.keys()))


def _merged(
    old: Mapping[KeyT, ValueT], changed: Mapping[KeyT, ValueT], removed: tuple[KeyT, ...]
) -> dict[KeyT, ValueT]:
    merged = {**old, **changed}
    for key in removed:
        merged.pop(key, None)
    return merged
