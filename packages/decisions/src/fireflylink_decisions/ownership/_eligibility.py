"""Which servers may own which shards."""

from collections.abc import Iterable

from fireflylink_core import BackendServer, Configuration, Service, ShardKey


def declared_servers(configuration: Configuration, service: Service) -> tuple[BackendServer, ...]:
    """Returns the servers of a service that operators let receive new requests."""
    return tuple(
        server
        for server in configuration.servers_of(service.name)
        if server.data_centre in service.data_centres and configuration.takes_new_work(server)
    )


def admits_any(service: Service, index: int, servers: Iterable[BackendServer]) -> bool:
    """Tells whether at least one of the servers may own a shard."""
    return any(service.admits(index, server.server_id) for server in servers)


def find_unowned(configuration: Configuration) -> tuple[ShardKey, ...]:
    """Lists the shards that no server may own.

    A release note whose configuration leaves such a shard is refused.
    """
    unowned: list[ShardKey] = []
    for name in sorted(configuration.services):
        service = configuration.services[name]
        servers = declared_servers(configuration, service)
        for index in range(service.shard_count):
            if not admits_any(service, index, servers):
                unowned.append((name, index))
    return tuple(unowned)
