"""Loads of the groups of a service and placement of shards on them."""

import math
from collections.abc import Iterable, Mapping

from fireflylink_core import BackendServer, ServerGroup, Service, rendezvous_score

BOUND_FACTOR = 1.05
"""A group accepts a shard up to this multiple of its share of the mean load."""

MIN_SCORE = 1e-12


class GroupLoad:
    """A group with the slots of its usable servers and the load of the shards it owns."""

    __slots__ = ("cold_slots", "group", "load", "servers", "slots", "table_id")

    def __init__(
        self,
        table_id: str,
        group: ServerGroup,
        servers: tuple[BackendServer, ...],
        cold_slots: int,
    ) -> None:
        self.table_id = table_id
        self.group = group
        self.servers = servers
        self.slots = sum(server.slots for server in servers)
        self.cold_slots = cold_slots
        self.load = 0.0

    def relative(self, added: float = 0.0) -> float:
        """Returns the load per slot after some load is added."""
        return (self.load + added) / self.slots

    def admits(self, service: Service, index: int) -> bool:
        """Tells whether a usable server of the group may own a shard."""
        return any(service.admits(index, server.server_id) for server in self.servers)


class PlacementItem:
    """A shard or single key that needs a group: its subject for ranking, its index and load."""

    __slots__ = ("index", "load", "subject")

    def __init__(self, subject: str, index: int, load: float) -> None:
        self.subject = subject
        self.index = index
        self.load = load


class ServiceLedger:
    """The groups of one service in all tables, with their loads.

    ``unit`` is 1 while loads are counts of shards, so that the bound is rounded up to a whole
    shard, and 0 once loads are measured. Tables in ``unmeasured`` have shards without any measured
    load; they are no destination for rebalancing.
    """

    __slots__ = ("groups", "service", "unit", "unmeasured")

    def __init__(
        self, service: Service, groups: dict[str, GroupLoad], unit: float, unmeasured: set[str]
    ) -> None:
        self.service = service
        self.groups = groups
        self.unit = unit
        self.unmeasured = unmeasured

    def usable(self, table_ids: Iterable[str]) -> list[GroupLoad]:
        """Returns the groups of the tables that have a usable server, in the order of their ids."""
        wanted = frozenset(table_ids)
        found = [
            load for load in self.groups.values() if load.slots > 0 and load.table_id in wanted
        ]
        return sorted(found, key=lambda load: load.group.group_id)

    def add(self, group_id: str, load: float) -> None:
        """Counts load that a group gained or, if negative, lost."""
        if group_id in self.groups:
            self.groups[group_id].load += load

    def place(
        self, items: Iterable[PlacementItem], candidates: list[GroupLoad]
    ) -> dict[str, GroupLoad]:
        """Chooses a group for each item by bounded-load rendezvous and counts its load there.

        The largest items are placed first. An item that no candidate admits is left out. Where no
        admitting candidate is below the bound, the least loaded one takes the item.
        """
        ordered = sorted(items, key=lambda item: (-item.load, item.index, item.subject))
        mean = _mean_after(ordered, candidates)
        placed: dict[str, GroupLoad] = {}
        for item in ordered:
            admitting = [load for load in candidates if load.admits(self.service, item.index)]
            if not admitting:
                continue
            chosen = self._choose(item, admitting, mean)
            chosen.load += item.load
            placed[item.subject] = chosen
        return placed

    def _choose(self, item: PlacementItem, admitting: list[GroupLoad], mean: float) -> GroupLoad:
        below = [
            load for load in admitting if load.load + item.load <= self.bound(load.cold_slots, mean)
        ]
        if below:
            return max(below, key=lambda load: _weighted_score(load, item.subject))
        return min(admitting, key=lambda load: (load.relative(item.load), load.group.group_id))

    def bound(self, slots: int, mean: float) -> float:
        """Returns the load up to which a group with some slots accepts shards."""
        limit = mean * slots * BOUND_FACTOR
        return math.ceil(limit / self.unit) * self.unit if self.unit else limit


def _mean_after(items: list[PlacementItem], candidates: list[GroupLoad]) -> float:
    slots = sum(load.slots for load in candidates)
    total = sum(load.load for load in candidates) + sum(item.load for item in items)
    return total / slots if slots else 0.0


def _weighted_score(load: GroupLoad, subject: str) -> float:
    return weighted_rendezvous(load.group.group_id, subject, load.slots)


def weighted_rendezvous(member: str, subject: str, weight: float) -> float:
    """Returns a score whose maximum falls on a member in proportion to its weight."""
    score = max(rendezvous_score(member, subject), MIN_SCORE)
    return -weight / math.log(score)


def bounded_homes(weights: Mapping[str, float], subjects: list[str]) -> list[str]:
    """Assigns subjects, in order, to members by weighted rendezvous below the bound."""
    total = sum(weights.values())
    room = {
        member: math.ceil(len(subjects) * BOUND_FACTOR * weight / total)
        for member, weight in weights.items()
    }
    homes: list[str] = []
    for subject in subjects:
        below = [member for member in sorted(weights) if room[member] > 0]
        home = max(below, key=lambda name: weighted_rendezvous(name, subject, weights[name]))
        room[home] -= 1
        homes.append(home)
    return homes
