"""The two users' systems at the sizes of today, as release notes for stand-ins."""

from collections.abc import Mapping, Sequence
from typing import Any

from fireflylink_core import BaseValue, ServiceKind


class ExampleService(BaseValue):
    """A service of an example and the number of its servers over all data centres."""

    __slots__ = ("kind", "name", "servers", "shard_count")

    def __init__(self, name: str, kind: ServiceKind, servers: int, shard_count: int) -> None:
        self.name = name
        self.kind = kind
        self.servers = servers
        self.shard_count = shard_count


class ExampleSystem(BaseValue):
    """Data centres, services and server limits of one user."""

    __slots__ = ("connections", "data_centres", "region", "services", "slots")

    def __init__(
        self,
        region: str,
        data_centres: tuple[str, ...],
        services: tuple[ExampleService, ...],
        slots: int,
        connections: int,
    ) -> None:
        self.region = region
        self.data_centres = data_centres
        self.services = services
        self.slots = slots
        self.connections = connections


ASSOCIATION = ExampleSystem(
    region="jm-south",
    data_centres=("kingston", "spanish-town", "mandeville"),
    services=(
        ExampleService("availability", ServiceKind.KEYED, 16, 256),
        ExampleService("holds", ServiceKind.KEYED, 8, 128),
        ExampleService("bookings", ServiceKind.POOLED, 6, 48),
    ),
    slots=4,
    connections=110,
)

PRESS = ExampleSystem(
    region="pnw",
    data_centres=("pnw-a", "pnw-b", "pnw-c"),
    services=(
        ExampleService("fortune-texts", ServiceKind.KEYED, 21, 336),
        ExampleService("lot-approvals", ServiceKind.POOLED, 10, 60),
        ExampleService("print-orders", ServiceKind.POOLED, 6, 48),
    ),
    slots=2,
    connections=45,
)

EXAMPLES: Mapping[str, ExampleSystem] = {"association": ASSOCIATION, "press": PRESS}


def first_note(
    example: ExampleSystem, ports: Mapping[str, Sequence[int]], checks_grants: bool = True
) -> dict[str, Any]:
    """Returns the release note that declares everything; ``ports`` are those of each service.

    Servers are spread over the data centres in turn. Server ids are ``<service>-<number>``.
    """
    servers = {}
    for service in example.services:
        for number, port in enumerate(ports[service.name], start=1):
            servers[f"{service.name}-{number}"] = {
                "service": service.name,
                "data_centre": example.data_centres[(number - 1) % len(example.data_centres)],
                "host": "127.0.0.1",
                "port": port,
                "slots": example.slots,
                "connections": example.connections,
                "checks_grants": checks_grants,
            }
    return {
        "note_id": "first-installation",
        "author": "demo",
        "for_version": 0,
        "summary": "declare data centres, services and servers",
        "added": {
            "data_centres": {name: {"region": example.region} for name in example.data_centres},
            "services": {
                service.name: {
                    "kind": service.kind.value,
                    "data_centres": list(example.data_centres),
                    "shard_count": service.shard_count,
                }
                for service in example.services
            },
            "servers": servers,
        },
        "changed": {},
        "withdrawn": {},
    }
