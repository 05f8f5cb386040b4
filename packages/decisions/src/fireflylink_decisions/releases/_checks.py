"""Checks of a whole configuration, whichever note led to it."""

from collections.abc import Iterator

from fireflylink_core import BackendServer, Configuration, DataCentreState, Service, ShardRange


def configuration_problems(configuration: Configuration) -> Iterator[str]:
    """Yields what is wrong with a configuration, one line each."""
    yield from _server_problems(configuration)
    yield from _address_problems(configuration)
    for service in configuration.services.values():
        yield from _data_centre_problems(configuration, service)
        yield from _range_problems(service)
        yield from _range_server_problems(configuration, service)
        yield from _eligibility_problems(configuration, service)


def eligible_servers(
    configuration: Configuration, service: Service, shard_range: ShardRange
) -> tuple[BackendServer, ...]:
    """Returns the servers that may own the shards of a range and take new work."""
    return tuple(
        server
        for server in configuration.servers_of(service.name)
        if (not shard_range.server_ids or server.server_id in shard_range.server_ids)
        and server.data_centre in configuration.data_centres
        and configuration.takes_new_work(server)
    )


def _server_problems(configuration: Configuration) -> Iterator[str]:
    for server in configuration.servers.values():
        place = f"servers.{server.server_id}"
        service = configuration.services.get(server.service)
        if server.data_centre not in configuration.data_centres:
            yield f"{place}.data_centre: {server.data_centre} is not a data centre"
        if service is None:
            yield f"{place}.service: {server.service} is not a service"
        elif server.data_centre not in service.data_centres:
            allowed = ", ".join(service.data_centres)
            yield f"{place}.data_centre: must be one of {allowed}, not {server.data_centre}"


def _address_problems(configuration: Configuration) -> Iterator[str]:
    """Yields servers with one address, which would own keys under two names."""
    owners: dict[tuple[str, int], str] = {}
    for server in configuration.servers.values():
        other = owners.setdefault((server.host, server.port), server.server_id)
        if other != server.server_id:
            address = f"{server.host}:{server.port}"
            yield f"servers.{server.server_id}: {address} is the address of {other} too"


def _data_centre_problems(configuration: Configuration, service: Service) -> Iterator[str]:
    place = f"services.{service.name}.data_centres"
    unknown = [name for name in service.data_centres if name not in configuration.data_centres]
    for name in unknown:
        yield f"{place}: {name} is not a data centre"
    if unknown:
        return
    states = [configuration.data_centres[name].state for name in service.data_centres]
    if DataCentreState.IN not in states:
        yield f"{place}: the service would have no data centre in service"


def _range_problems(service: Service) -> Iterator[str]:
    place = f"services.{service.name}.ranges"
    expected = 0
    for entry in sorted(service.ranges, key=lambda entry: entry.first):
        shown = f"shards {entry.first} to {entry.last}"
        if entry.last < entry.first:
            yield f"{place}: {shown} is not a range; last must be at least first"
        if entry.first < expected:
            yield f"{place}: {shown} overlap the range that ends at {expected - 1}"
        if entry.first > expected:
            yield f"{place}: shards {expected} to {entry.first - 1} are in no range"
        expected = max(expected, entry.last + 1)
    if expected < service.shard_count:
        yield f"{place}: shards {expected} to {service.shard_count - 1} are in no range"
    if expected > service.shard_count:
        yield f"{place}: shard {expected - 1} is beyond shard_count {service.shard_count}"


def _range_server_problems(configuration: Configuration, service: Service) -> Iterator[str]:
    for entry in service.ranges:
        for server_id in entry.server_ids:
            server = configuration.servers.get(server_id)
            if server is None or server.service != service.name:
                yield (
                    f"services.{service.name}.ranges: {server_id} in shards {entry.first} to "
                    f"{entry.last} is not a server of {service.name}"
                )


def _eligibility_problems(configuration: Configuration, service: Service) -> Iterator[str]:
    for entry in service.ranges:
        if not eligible_servers(configuration, service, entry):
            yield (
                f"services.{service.name}: shards {entry.first} to {entry.last} would be left "
                "without a server that is in service"
            )
