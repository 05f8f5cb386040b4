"""The operators' configuration: data centres, services and backend servers."""

import enum
from collections.abc import Mapping

from fireflylink_core._value import BaseValue


class DataCentreState(enum.Enum):
    """What operators declared about a data centre."""

    IN = "in"
    OUT = "out"
    LOST = "lost"


class ServerState(enum.Enum):
    """What operators declared about a backend server."""

    IN = "in"
    DRAINING = "draining"


class ServiceKind(enum.Enum):
    """Whether a request has one owning server or may go to any server of the service."""

    KEYED = "keyed"
    POOLED = "pooled"


class Isolation(enum.Enum):
    """What a data centre that is cut off does with the shards of a service.

    ``KEEP``: it goes on serving them. ``YIELD``: it stops by a deadline and others take over.
    """

    KEEP = "keep"
    YIELD = "yield"


class DataCentre(BaseValue):
    """A data centre and whether it takes new work."""

    __slots__ = ("name", "region", "state")

    def __init__(self, name: str, region: str, state: DataCentreState = DataCentreState.IN) -> None:
        self.name = name
        self.region = region
        self.state = state


class ShardRange(BaseValue):
    """A range of shards, both ends included, and the servers that may own them.

    An empty ``server_ids`` admits every server of the service.
    """

    __slots__ = ("first", "last", "server_ids")

    def __init__(self, first: int, last: int, server_ids: tuple[str, ...] = ()) -> None:
        self.first = first
        self.last = last
        self.server_ids = server_ids


class Service(BaseValue):
    """A service that callers address by name.

    ``max_request_ms`` bounds the deadline of a request. ``cold_slots`` is the number of requests a
    server in cold start may run at once. ``queue_limit`` bounds the requests that wait at a
    gateway. ``churn_percent_per_minute`` bounds the shards that rebalancing moves.
    """

    __slots__ = (
        "churn_percent_per_minute",
        "cold_slots",
        "data_centres",
        "isolation",
        "kind",
        "max_request_ms",
        "name",
        "queue_limit",
        "ranges",
        "shard_count",
    )

    def __init__(
        self,
        name: str,
        kind: ServiceKind,
        data_centres: tuple[str, ...],
        shard_count: int = 256,
        isolation: Isolation = Isolation.KEEP,
        max_request_ms: int = 2000,
        cold_slots: int = 1,
        queue_limit: int = 64,
        churn_percent_per_minute: float = 2.0,
        ranges: tuple[ShardRange, ...] = (),
    ) -> None:
        self.name = name
        self.kind = kind
        self.data_centres = data_centres
        self.shard_count = shard_count
        self.isolation = isolation
        self.max_request_ms = max_request_ms
        self.cold_slots = cold_slots
        self.queue_limit = queue_limit
        self.churn_percent_per_minute = churn_percent_per_minute
        self.ranges = ranges or (ShardRange(0, shard_count - 1),)

    def admits(self, shard_index: int, server_id: str) -> bool:
        """Tells whether a server may own a shard."""
        for shard_range in self.ranges:
            if shard_range.first <= shard_index <= shard_range.last:
                return not shard_range.server_ids or server_id in shard_range.server_ids
        return False


class BackendServer(BaseValue):
    """A backend server: its address, its limits and whether it checks grants."""

    __slots__ = (
        "checks_grants",
        "connections",
        "data_centre",
        "host",
        "port",
        "server_id",
        "service",
        "slots",
        "state",
    )

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        host: str,
        port: int,
        slots: int,
        connections: int,
        checks_grants: bool = True,
        state: ServerState = ServerState.IN,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.data_centre = data_centre
        self.host = host
        self.port = port
        self.slots = slots
        self.connections = connections
        self.checks_grants = checks_grants
        self.state = state


class AppliedNote(BaseValue):
    """A release note that made a version of the configuration.

    ``digest`` identifies the content of the note.
    """

    __slots__ = ("applied_ms", "author", "digest", "note_id", "summary", "version")

    def __init__(
        self,
        note_id: str,
        version: int,
        author: str,
        applied_ms: int,
        summary: str,
        digest: str = "",
    ) -> None:
        self.note_id = note_id
        self.version = version
        self.author = author
        self.applied_ms = applied_ms
        self.summary = summary
        self.digest = digest


class Configuration(BaseValue):
    """One version of everything that operators declared.

    ``applied_notes`` lists the most recent notes, newest last, so that a note that is applied again
    after a lost reply is recognised.
    """

    __slots__ = ("applied_notes", "data_centres", "servers", "services", "version")

    def __init__(
        self,
        version: int,
        data_centres: Mapping[str, DataCentre],
        services: Mapping[str, Service],
        servers: Mapping[str, BackendServer],
        applied_notes: tuple[AppliedNote, ...] = (),
    ) -> None:
        self.version = version
        self.data_centres = data_centres
        self.services = services
        self.servers = servers
        self.applied_notes = applied_notes

    def takes_new_work(self, server: BackendServer) -> bool:
        """Tells whether operators let a server receive new requests."""
        if server.state is not ServerState.IN:
            return False
        return self.data_centres[server.data_centre].state is DataCentreState.IN

    def servers_of(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the servers of a service in the order of their identifiers."""
        found = [server for server in self.servers.values() if server.service == service]
        return tuple(sorted(found, key=lambda server: server.server_id))


EMPTY_CONFIGURATION = Configuration(0, {}, {}, {})
