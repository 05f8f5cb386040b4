"""The configuration document."""

from typing import Any

from returns.result import Result

from fireflylink_core import (
    AppliedNote,
    BackendServer,
    Configuration,
    DataCentre,
    DataCentreState,
    Isolation,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
)
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import LARGEST_INTEGER, FieldReader, read_fields
from fireflylink_documents._json import dump_json

CONFIGURATION_KIND = "configuration"
MAX_SHARD_COUNT = 65_536
MAX_REQUEST_MS = 600_000
MAX_SLOTS = 100_000
MAX_QUEUE = 1_000_000
MAX_PORT = 65_535
MAX_PERCENT = 100.0


def encode_configuration(configuration: Configuration) -> bytes:
    """Returns the JSON payload of a configuration; equal values give equal bytes."""
    return dump_json(
        {
            "document": CONFIGURATION_KIND,
            "version": configuration.version,
            "data_centres": {
                name: data_centre_fields(entry)
                for name, entry in configuration.data_centres.items()
            },
            "services": {
                name: service_fields(entry) for name, entry in configuration.services.items()
            },
            "servers": {
                name: server_fields(entry) for name, entry in configuration.servers.items()
            },
            "applied_notes": [applied_note_fields(note) for note in configuration.applied_notes],
        }
    )


def decode_configuration(payload: bytes) -> Result[Configuration, DocumentError]:
    """Returns the configuration of a JSON payload."""
    return read_fields(payload, _read_configuration)


def _read_configuration(fields: FieldReader) -> Configuration:
    check_kind(fields, CONFIGURATION_KIND)
    return Configuration(
        version=fields.integer("version", 0),
        data_centres={
            name: read_data_centre(name, entry)
            for name, entry in fields.children_by_name("data_centres").items()
        },
        services={
            name: read_service(name, entry)
            for name, entry in fields.children_by_name("services").items()
        },
        servers={
            name: read_server(name, entry)
            for name, entry in fields.children_by_name("servers").items()
        },
        applied_notes=tuple(read_applied_note(note) for note in fields.child_list("applied_notes")),
    )


def check_kind(fields: FieldReader, kind: str) -> None:
    """Raises ``DocumentError`` if a document is of another kind.

    All kinds are signed with one key, so the kind is a part of the signed payload.
    """
    if fields.text("document") != kind:
        raise fields.error("document", f"must be {kind}")


def data_centre_fields(entry: DataCentre) -> dict[str, Any]:
    """Returns the JSON fields of a data centre, without its name."""
    return {"region": entry.region, "state": entry.state.value}


def read_data_centre(name: str, fields: FieldReader) -> DataCentre:
    """Reads a data centre."""
    return DataCentre(
        name=name,
        region=fields.text("region"),
        state=fields.choice("state", DataCentreState, DataCentreState.IN),
    )


def service_fields(entry: Service) -> dict[str, Any]:
    """Returns the JSON fields of a service, without its name."""
    return {
        "kind": entry.kind.value,
        "data_centres": list(entry.data_centres),
        "shard_count": entry.shard_count,
        "isolation": entry.isolation.value,
        "max_request_ms": entry.max_request_ms,
        "cold_slots": entry.cold_slots,
        "queue_limit": entry.queue_limit,
        "churn_percent_per_minute": entry.churn_percent_per_minute,
        "ranges": [range_fields(shard_range) for shard_range in entry.ranges],
    }


def read_service(name: str, fields: FieldReader) -> Service:
    """Reads a service; fields that are left out take their defaults."""
    return Service(
        name=name,
        kind=fields.choice("kind", ServiceKind),
        data_centres=fields.texts("data_centres"),
        shard_count=fields.integer("shard_count", 1, MAX_SHARD_COUNT, 256),
        isolation=fields.choice("isolation", Isolation, Isolation.KEEP),
        max_request_ms=fields.integer("max_request_ms", 1, MAX_REQUEST_MS, 2000),
        cold_slots=fields.integer("cold_slots", 1, MAX_SLOTS, 1),
        queue_limit=fields.integer("queue_limit", 0, MAX_QUEUE, 64),
        churn_percent_per_minute=fields.number("churn_percent_per_minute", 0.0, MAX_PERCENT, 2.0),
        ranges=read_ranges(fields),
    )


def range_fields(entry: ShardRange) -> dict[str, Any]:
    """Returns the JSON fields of a shard range."""
    return {"first": entry.first, "last": entry.last, "server_ids": list(entry.server_ids)}


def read_ranges(fields: FieldReader) -> tuple[ShardRange, ...]:
    """Reads the shard ranges of a service."""
    return tuple(
        ShardRange(
            first=entry.integer("first", 0, MAX_SHARD_COUNT - 1),
            last=entry.integer("last", 0, MAX_SHARD_COUNT - 1),
            server_ids=entry.texts("server_ids", ()),
        )
        for entry in fields.child_list("ranges", ())
    )


def server_fields(entry: BackendServer) -> dict[str, Any]:
    """Returns the JSON fields of a backend server, without its name."""
    return {
        "service": entry.service,
        "data_centre": entry.data_centre,
        "host": entry.host,
        "port": entry.port,
        "slots": entry.slots,
        "connections": entry.connections,
        "checks_grants": entry.checks_grants,
        "state": entry.state.value,
    }


def read_server(name: str, fields: FieldReader) -> BackendServer:
    """Reads a backend server."""
    return BackendServer(
        server_id=name,
        service=fields.text("service"),
        data_centre=fields.text("data_centre"),
        host=fields.text("host"),
        port=fields.integer("port", 1, MAX_PORT),
        slots=fields.integer("slots", 1, MAX_SLOTS),
        connections=fields.integer("connections", 1, MAX_SLOTS),
        checks_grants=fields.boolean("checks_grants", True),
        state=fields.choice("state", ServerState, ServerState.IN),
    )


def applied_note_fields(note: AppliedNote) -> dict[str, Any]:
    """Returns the JSON fields of an applied note."""
    return {
        "note_id": note.note_id,
        "version": note.version,
        "author": note.author,
        "applied_ms": note.applied_ms,
        "summary": note.summary,
    }


def read_applied_note(fields: FieldReader) -> AppliedNote:
    """Reads an applied note."""
    return AppliedNote(
        note_id=fields.text("note_id"),
        version=fields.integer("version", 1),
        author=fields.text("author"),
        applied_ms=fields.integer("applied_ms", 0, LARGEST_INTEGER),
        summary=fields.text("summary"),
    )
