"""Configurations, daemons and loads of the two users."""

import random

from fireflylink_core import (
    BackendServer,
    Configuration,
    DataCentre,
    Isolation,
    Member,
    Service,
    ServiceKind,
    ShardKey,
    key_hash,
)

KEYS = 200_000
"""Keys of a keyed service; their requests follow a Zipf law with exponent 1.0."""

REQUESTS_PER_SECOND = 1000.0
HOT_KEYS = 52
DAEMONS = 11

USERS: dict[str, tuple[tuple[str, ...], int, dict[str, tuple[ServiceKind, int]]]] = {
    "Association": (
        ("kingston", "spanish-town", "mandeville"),
        4,
        {
            "availability": (ServiceKind.KEYED, 16),
            "holds": (ServiceKind.KEYED, 8),
            "bookings": (ServiceKind.POOLED, 6),
        },
    ),
    "Press": (
        ("pnw-a", "pnw-b", "pnw-c"),
        2,
        {
            "fortunes": (ServiceKind.KEYED, 21),
            "approvals": (ServiceKind.POOLED, 10),
            "print-orders": (ServiceKind.POOLED, 6),
        },
    ),
}
"""Data centres, slots of a server, and kind and number of servers of each service."""


def build_configuration(user: str, isolation: Isolation) -> Configuration:
    """Returns a user's configuration, in which every other server checks grants."""
    centres, slots, sizes = USERS[user]
    services = {
        name: Service(name, kind, centres, isolation=isolation) for name, (kind, _) in sizes.items()
    }
    servers: dict[str, BackendServer] = {}
    for name, (_, count) in sizes.items():
        for number in range(count):
            server_id, centre = f"{name}-{number:02}", centres[number % len(centres)]
            servers[server_id] = BackendServer(
                server_id, name, centre, "127.0.0.1", 1, slots, 50, number % 2 == 0
            )
    return Configuration(1, {name: DataCentre(name, "r") for name in centres}, services, servers)


def build_members(user: str) -> tuple[Member, ...]:
    """Returns a user's daemons, spread over the data centres."""
    centres = USERS[user][0]
    return tuple(
        Member(f"d{number:02}", centres[number % len(centres)], "127.0.0.1", 1, 2)
        for number in range(DAEMONS)
    )


class Load:
    """Requests/s and numbers of keys of the shards, and requests/s of the hottest keys."""

    __slots__ = ("hot_keys", "keys", "shards")

    def __init__(self, configuration: Configuration, generator: random.Random) -> None:
        self.keys: dict[ShardKey, int] = {}
        self.shards: dict[ShardKey, float] = {}
        self.hot_keys: dict[ShardKey, float] = {}
        for service in configuration.services.values():
            if service.kind is ServiceKind.KEYED:
                self._add_zipf(service, generator.random())
                continue
            for index in range(service.shard_count):
                self.keys[(service.name, index)] = KEYS // service.shard_count
                self.shards[(service.name, index)] = REQUESTS_PER_SECOND / service.shard_count

    def _add_zipf(self, service: Service, salt: float) -> None:
        scale = REQUESTS_PER_SECOND / sum(1.0 / rank for rank in range(1, KEYS + 1))
        for rank in range(1, KEYS + 1):
            hashed = key_hash(f"{service.name}/{salt}/{rank}")
            shard = (service.name, hashed % service.shard_count)
            self.keys[shard] = self.keys.get(shard, 0) + 1
            self.shards[shard] = self.shards.get(shard, 0.0) + scale / rank
            if rank <= HOT_KEYS:
                self.hot_keys[(service.name, hashed)] = scale / rank
