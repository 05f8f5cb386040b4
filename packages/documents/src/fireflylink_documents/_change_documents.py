"""The differences between versions as JSON documents."""

from collections.abc import Iterable

from returns.result import Result

from fireflylink_core import ShardKey
from fireflylink_documents._changes import ConfigurationChanges, TableChanges
from fireflylink_documents._configuration import (
    applied_note_fields,
    entries_fields,
    read_applied_note,
    read_entries,
)
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import LARGEST_INTEGER, FieldReader, checked_integer, read_fields
from fireflylink_documents._json import dump_json
from fireflylink_documents._tables import (
    NameList,
    group_fields,
    read_group,
    read_records,
    records_fields,
)

TABLE_CHANGES_KIND = "ownership-changes"
CONFIGURATION_CHANGES_KIND = "configuration-changes"


def encode_changes(changes: TableChanges) -> bytes:
    """Returns the JSON payload of the changes of an ownership table."""
    names = NameList()
    return dump_json(
        {
            "document": TABLE_CHANGES_KIND,
            "table_id": changes.table_id,
            "base_version": changes.base_version,
            "base_write_id": changes.base_write_id,
            "version": changes.version,
            "write_id": changes.write_id,
            "voters": list(changes.voters),
            "previous_voters": list(changes.previous_voters),
            "groups": {name: group_fields(group) for name, group in changes.groups.items()},
            "removed_groups": list(changes.removed_groups),
            "shards": records_fields(changes.shards, names),
            "removed_shards": _indexes_fields(changes.removed_shards),
            "exceptions": records_fields(changes.exceptions, names),
            "removed_exceptions": _indexes_fields(changes.removed_exceptions),
            "names": names.names,
        }
    )


def decode_changes(payload: bytes) -> Result[TableChanges, DocumentError]:
    """Returns the changes of an ownership table of a JSON payload."""
    return read_fields(payload, _read_table_changes)


def _read_table_changes(fields: FieldReader) -> TableChanges:
    fields.kind(TABLE_CHANGES_KIND)
    names = fields.texts("names")
    groups = fields.children_by_name("groups")
    return TableChanges(
        table_id=fields.text("table_id"),
        base_version=fields.integer("base_version", 0),
        base_write_id=fields.text("base_write_id"),
        version=fields.integer("version", 0),
        write_id=fields.text("write_id"),
        voters=fields.texts("voters"),
        previous_voters=fields.texts("previous_voters"),
        groups={name: read_group(name, entry) for name, entry in groups.items()},
        removed_groups=fields.texts("removed_groups"),
        shards=read_records(fields, "shards", names),
        removed_shards=_read_indexes(fields, "removed_shards"),
        exceptions=read_records(fields, "exceptions", names),
        removed_exceptions=_read_indexes(fields, "removed_exceptions"),
    )


def encode_configuration_changes(changes: ConfigurationChanges) -> bytes:
    """Returns the JSON payload of the changes of a configuration."""
    return dump_json(
        {
            "document": CONFIGURATION_CHANGES_KIND,
            "base_version": changes.base_version,
            "version": changes.version,
            **entries_fields(changes),
            "removed_data_centres": list(changes.removed_data_centres),
            "removed_services": list(changes.removed_services),
            "removed_servers": list(changes.removed_servers),
            "applied_notes": [applied_note_fields(note) for note in changes.applied_notes],
            "dropped_notes": changes.dropped_notes,
        }
    )


def decode_configuration_changes(payload: bytes) -> Result[ConfigurationChanges, DocumentError]:
    """Returns the changes of a configuration of a JSON payload."""
    return read_fields(payload, _read_configuration_changes)


def _read_configuration_changes(fields: FieldReader) -> ConfigurationChanges:
    fields.kind(CONFIGURATION_CHANGES_KIND)
    return ConfigurationChanges(
        base_version=fields.integer("base_version", 0),
        version=fields.integer("version", 0),
        **read_entries(fields),
        removed_data_centres=fields.texts("removed_data_centres"),
        removed_services=fields.texts("removed_services"),
        removed_servers=fields.texts("removed_servers"),
        applied_notes=tuple(read_applied_note(note) for note in fields.child_list("applied_notes")),
        dropped_notes=fields.integer("dropped_notes", 0),
    )


def _indexes_fields(keys: Iterable[ShardKey]) -> dict[str, list[int]]:
    found: dict[str, list[int]] = {}
    for service, index in keys:
        found.setdefault(service, []).append(index)
    return found


def _read_indexes(fields: FieldReader, field: str) -> tuple[ShardKey, ...]:
    services = fields.child(field)
    found: list[ShardKey] = []
    for service in services.checked_names():
        path = services.path_of(service)
        for place, index in enumerate(services.items(service)):
            checked = checked_integer(index, f"{path}[{place}]", 0, LARGEST_INTEGER)
            found.append((service, checked))
    return tuple(sorted(found))
