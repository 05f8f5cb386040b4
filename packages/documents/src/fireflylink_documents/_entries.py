"""Data centres, services and backend servers as JSON objects."""

from collections.abc import Callable, Mapping
from typing import Any

from fireflylink_core import (
    BackendServer,
    DataCentre,
    DataCentreState,
    Isolation,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
)
from fireflylink_documents._fields import FieldReader

MAX_NAME_LENGTH = 100
MAX_SHARD_COUNT = 65_536
MAX_REQUEST_MS = 600_000
MAX_SLOTS = 100_000
MAX_QUEUE = 1_000_000
MAX_PORT = 65_535
MAX_PERCENT = 100.0

FieldReaders = Mapping[str, Callable[[FieldReader], Any]]
"""How to read each field of an entry; the fields that are left out keep their defaults."""


def read_ranges(fields: FieldReader) -> tuple[ShardRange, ...]:
    """Reads the shard ranges of a service."""
    return tuple(
        ShardRange(
            first=entry.integer("first", 0, MAX_SHARD_COUNT - 1),
            last=entry.integer("last", 0, MAX_SHARD_COUNT - 1),
            server_ids=entry.texts("server_ids", ()),
        )
        for entry in fields.child_list("ranges")
    )


DATA_CENTRE_READERS: FieldReaders = {
    "region": lambda fields: fields.text("region", max_length=MAX_NAME_LENGTH),
    "state": lambda fields: fields.choice("state", DataCentreState),
}
DATA_CENTRE_REQUIRED = ("region",)

SERVICE_READERS: FieldReaders = {
    "kind": lambda fields: fields.choice("kind", ServiceKind),
    "data_centres": lambda fields: fields.texts("data_centres"),
    "shard_count": lambda fields: fields.integer("shard_count", 1, MAX_SHARD_COUNT),
    "isolation": lambda fields: fields.choice("isolation", Isolation),
    "max_request_ms": lambda fields: fields.integer("max_request_ms", 1, MAX_REQUEST_MS),
    "cold_slots": lambda fields: fields.integer("cold_slots", 1, MAX_SLOTS),
    "queue_limit": lambda fields: fields.integer("queue_limit", 0, MAX_QUEUE),
    "churn_percent_per_minute": lambda fields: fields.number(
        "churn_percent_per_minute", 0.0, MAX_PERCENT
    ),
    "ranges": read_ranges,
}
SERVICE_REQUIRED = ("kind", "data_centres")

SERVER_READERS: FieldReaders = {
    "service": lambda fields: fields.text("service", max_length=MAX_NAME_LENGTH),
    "data_centre": lambda fields: fields.text("data_centre", max_length=MAX_NAME_LENGTH),
    "host": lambda fields: fields.address("host"),
    "port": lambda fields: fields.integer("port", 1, MAX_PORT),
    "slots": lambda fields: fields.integer("slots", 1, MAX_SLOTS),
    "connections": lambda fields: fields.integer("connections", 1, MAX_SLOTS),
    "checks_grants": lambda fields: fields.boolean("checks_grants"),
    "state": lambda fields: fields.choice("state", ServerState),
}
SERVER_REQUIRED = ("service", "data_centre", "host", "port", "slots", "connections")


def read_data_centre(name: str, fields: FieldReader) -> DataCentre:
    """Reads a data centre."""
    return DataCentre(name, **read_given(fields, DATA_CENTRE_READERS, DATA_CENTRE_REQUIRED))


def read_service(name: str, fields: FieldReader) -> Service:
    """Reads a service."""
    return Service(name, **read_given(fields, SERVICE_READERS, SERVICE_REQUIRED))


def read_server(name: str, fields: FieldReader) -> BackendServer:
    """Reads a backend server."""
    return BackendServer(name, **read_given(fields, SERVER_READERS, SERVER_REQUIRED))


def read_given(
    fields: FieldReader, readers: FieldReaders, required: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Reads the required fields and those of the others that are present."""
    fields.know(readers)
    return {
        name: read(fields)
        for name, read in readers.items()
        if name in required or name in fields.fields
    }


def data_centre_fields(entry: DataCentre) -> dict[str, Any]:
    """Returns the JSON fields of a data centre, without its name."""
    return {"region": entry.region, "state": entry.state.value}


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
        "ranges": ranges_fields(entry.ranges),
    }


def ranges_fields(ranges: tuple[ShardRange, ...]) -> list[dict[str, Any]]:
    """Returns the JSON objects of the shard ranges of a service."""
    return [
        {"first": entry.first, "last": entry.last, "server_ids": list(entry.server_ids)}
        for entry in ranges
    ]


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
