"""The expected effect of a release note."""

from collections.abc import Iterator, Mapping

from fireflylink_core import (
    BaseValue,
    Configuration,
    DataCentreState,
    OwnershipTable,
    Service,
    ShardKey,
    shard_of_hash,
)
from fireflylink_decisions.releases._checks import eligible_servers
from fireflylink_decisions.releases._edits import SECTIONS
from fireflylink_decisions.releases._owners import Owners, exception_owners, shard_owners
from fireflylink_decisions.releases._preview_values import (
    EntryChange,
    ForcedMoves,
    LoadShare,
    NotePreview,
    ServerLoad,
)

Parts = dict[str, float]
"""The part of a service's shards on each server."""


def preview(
    configuration: Configuration,
    new_configuration: Configuration,
    tables: Mapping[str, OwnershipTable],
) -> NotePreview:
    """Returns what a new configuration changes.

    ``tables`` are the stored ownership tables by identifier. Parts of the load are counted in
    shards, because the stored state holds no request rates.
    """
    owners = shard_owners(tables)
    exceptions = exception_owners(tables)
    moves: list[ForcedMoves] = []
    shares: list[LoadShare] = []
    loads: list[ServerLoad] = []
    for service in sorted(new_configuration.services.values(), key=lambda entry: entry.name):
        forecast = _ServiceForecast(new_configuration, service, owners)
        moves.extend(forecast.forced_moves(exceptions))
        shares.extend(forecast.load_shares(configuration))
        loads.append(forecast.server_load())
    return NotePreview(
        from_version=configuration.version,
        to_version=new_configuration.version,
        entries=tuple(_entry_changes(configuration, new_configuration)),
        forced_moves=tuple(moves),
        load_shares=tuple(shares),
        server_loads=tuple(loads),
        warnings=tuple(_warnings(configuration, new_configuration, owners)),
    )


class _ServiceForecast:
    """The owners of one service's shards now and under a new configuration."""

    __slots__ = ("candidates", "configuration", "moving", "owners", "service")

    def __init__(self, configuration: Configuration, service: Service, owners: Owners) -> None:
        self.configuration = configuration
        self.service = service
        self.owners = {
            index: owners.get((service.name, index), ()) for index in range(service.shard_count)
        }
        self.candidates: list[tuple[str, ...]] = [()] * service.shard_count
        for shard_range in service.ranges:
            servers = eligible_servers(configuration, service, shard_range)
            names = tuple(server.server_id for server in servers)
            for index in range(shard_range.first, shard_range.last + 1):
                self.candidates[index] = names
        self.moving = {index for index in self.owners if not self.kept(index)}

    def kept(self, index: int) -> tuple[str, ...]:
        """Returns the owners of a shard that may keep it."""
        return _common(self.owners[index], self.candidates[index])

    def forced_moves(self, exceptions: Owners) -> Iterator[ForcedMoves]:
        """Yields the moves away from each former owner."""
        grouped: dict[tuple[str, ...], list[int]] = {}
        for index in sorted(self.moving):
            grouped.setdefault(self.owners[index], []).append(index)
        keys = self._moving_exceptions(exceptions)
        for servers in sorted(grouped.keys() | keys.keys()):
            indexes = grouped.get(servers, [])
            counts = [len(self.candidates[index]) for index in (*indexes, *keys.get(servers, ()))]
            yield ForcedMoves(
                service=self.service.name,
                from_servers=servers,
                indexes=tuple(indexes),
                exceptions=len(keys.get(servers, ())),
                candidates=min(counts),
            )

    def load_shares(self, configuration: Configuration) -> Iterator[LoadShare]:
        """Yields the part of each data centre; ``configuration`` is the one before the note."""
        places = {**configuration.servers, **self.configuration.servers}
        before, moved, settled = (
            _parts_by_place(parts, {name: server.data_centre for name, server in places.items()})
            for parts in (self.before(), self.moved(), self.settled())
        )
        for place in sorted({*self.service.data_centres, *before}):
            yield LoadShare(
                service=self.service.name,
                data_centre=place,
                before=before.get(place, 0.0),
                moved=moved.get(place, 0.0),
                settled=settled.get(place, 0.0),
            )

    def server_load(self) -> ServerLoad:
        """Returns the largest part on one server."""
        parts = (self.before(), self.moved(), self.settled())
        return ServerLoad(self.service.name, *(max(part.values(), default=0.0) for part in parts))

    def before(self) -> Parts:
        """Returns the part of each server now."""
        return self._parts(self.owners)

    def moved(self) -> Parts:
        """Returns the part to expect after the forced moves, each to any candidate equally."""
        return self._parts(
            {index: self.kept(index) or self.candidates[index] for index in self.owners}
        )

    def settled(self) -> Parts:
        """Returns the part to expect after rebalancing."""
        return self._parts(dict(enumerate(self.candidates)))

    def _parts(self, holders: Mapping[int, tuple[str, ...]]) -> Parts:
        found: Parts = {}
        for servers in holders.values():
            for server_id in servers:
                part = 1.0 / len(servers) / self.service.shard_count
                found[server_id] = found.get(server_id, 0.0) + part
        return found

    def _moving_exceptions(self, exceptions: Owners) -> dict[tuple[str, ...], list[int]]:
        """Returns the shards of the single keys that must move, by former owner."""
        found: dict[tuple[str, ...], list[int]] = {}
        for (service, hashed_key), servers in exceptions.items():
            if service != self.service.name:
                continue
            index = shard_of_hash(hashed_key, self.service.shard_count)
            if not _common(servers, self.candidates[index]):
                found.setdefault(servers, []).append(index)
        return found


def _common(servers: tuple[str, ...], allowed: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(server_id for server_id in servers if server_id in allowed)


def _parts_by_place(parts: Parts, places: Mapping[str, str]) -> Parts:
    found: Parts = {}
    for server_id, part in parts.items():
        place = places.get(server_id, "unknown")
        found[place] = found.get(place, 0.0) + part
    return found


def _entry_changes(old: Configuration, new: Configuration) -> Iterator[EntryChange]:
    for section in SECTIONS:
        before: Mapping[str, BaseValue] = getattr(old, section)
        after: Mapping[str, BaseValue] = getattr(new, section)
        for name in sorted(before.keys() | after.keys()):
            if name not in before:
                yield EntryChange(section, name, "added", ())
            elif name not in after:
                yield EntryChange(section, name, "withdrawn", ())
            elif before[name] != after[name]:
                details = tuple(_field_changes(before[name], after[name]))
                yield EntryChange(section, name, "changed", details)


def _field_changes(old: BaseValue, new: BaseValue) -> Iterator[str]:
    for field in new.__slots__:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield f"{field}: {_shown(before)} -> {_shown(after)}"


def _shown(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(_shown(entry) for entry in value)
    if isinstance(value, BaseValue):
        return " ".join(f"{name}={_shown(getattr(value, name))}" for name in value.__slots__)
    return str(getattr(value, "value", value))


def _warnings(old: Configuration, new: Configuration, owners: Owners) -> Iterator[str]:
    for name, entry in sorted(new.data_centres.items()):
        former = old.data_centres.get(name)
        newly_lost = former is None or former.state is not DataCentreState.LOST
        if entry.state is DataCentreState.LOST and newly_lost:
            yield (
                f"data_centres.{name}: others take over its keys at once; be certain that its "
                "daemons and backend servers have stopped"
            )
    yield from _remaining_ownership(old, new, owners)


def _remaining_ownership(old: Configuration, new: Configuration, owners: Owners) -> Iterator[str]:
    """Yields names that owners still refer to; a group of several servers outlives one of them."""
    counts: dict[str, int] = {}
    for servers in owners.values():
        if len(servers) == 1:
            counts[servers[0]] = counts.get(servers[0], 0) + 1
    for name in sorted(old.servers.keys() - new.servers.keys()):
        if counts.get(name):
            yield f"servers.{name}: is withdrawn while it still owns {counts[name]} shards"
    for name in sorted(new.services.keys() - old.services.keys()):
        if any(_is_of(key, name) for key in owners):
            yield f"services.{name}: shards of an earlier service with this name are still owned"


def _is_of(key: ShardKey, service: str) -> bool:
    return key[0] == service
