"""The configuration document."""

from typing import Any

from returns.result import Result

from fireflylink_core import AppliedNote, Configuration
from fireflylink_documents._entries import (
    data_centre_fields,
    read_data_centre,
    read_server,
    read_service,
    server_fields,
    service_fields,
)
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import FieldReader, read_fields
from fireflylink_documents._json import dump_json

CONFIGURATION_KIND = "configuration"


def encode_configuration(configuration: Configuration) -> bytes:
    """Returns the JSON payload of a configuration; equal values give equal bytes."""
    notes = [applied_note_fields(note) for note in configuration.applied_notes]
    return dump_json(
        {
            "document": CONFIGURATION_KIND,
            "version": configuration.version,
            **entries_fields(configuration),
            "applied_notes": notes,
        }
    )


def decode_configuration(payload: bytes) -> Result[Configuration, DocumentError]:
    """Returns the configuration of a JSON payload."""
    return read_fields(payload, _read_configuration)


def _read_configuration(fields: FieldReader) -> Configuration:
    fields.kind(CONFIGURATION_KIND)
    return Configuration(
        version=fields.integer("version", 0),
        **read_entries(fields),
        applied_notes=tuple(read_applied_note(note) for note in fields.child_list("applied_notes")),
    )


def entries_fields(holder: Any) -> dict[str, Any]:
    """Returns the JSON objects of the data centres, services and servers of a value."""
    return {
        "data_centres": {
            name: data_centre_fields(entry) for name, entry in holder.data_centres.items()
        },
        "services": {name: service_fields(entry) for name, entry in holder.services.items()},
        "servers": {name: server_fields(entry) for name, entry in holder.servers.items()},
    }


def read_entries(fields: FieldReader) -> dict[str, Any]:
    """Reads data centres, services and servers by name; each section may be left out."""
    data_centres = fields.children_by_name("data_centres", {})
    services = fields.children_by_name("services", {})
    servers = fields.children_by_name("servers", {})
    return {
        "data_centres": {name: read_data_centre(name, data_centres[name]) for name in data_centres},
        "services": {name: read_service(name, services[name]) for name in services},
        "servers": {name: read_server(name, servers[name]) for name in servers},
    }


def applied_note_fields(note: AppliedNote) -> dict[str, Any]:
    """Returns the JSON fields of an applied note."""
    fields = {
        "note_id": note.note_id,
        "version": note.version,
        "author": note.author,
        "applied_ms": note.applied_ms,
        "summary": note.summary,
    }
    return {**fields, "digest": note.digest} if note.digest else fields


def read_applied_note(fields: FieldReader) -> AppliedNote:
    """Reads an applied note."""
    return AppliedNote(
        note_id=fields.text("note_id"),
        version=fields.integer("version", 1),
        author=fields.text("author"),
        applied_ms=fields.integer("applied_ms", 0),
        summary=fields.text("summary"),
        digest=fields.optional_text("digest") or "",
    )
