"""Input and result of a planner."""

import abc
from collections.abc import Mapping

from fireflylink_core import BaseValue, Configuration, Member, OwnershipTable, ShardKey


class PlanningInput(BaseValue):
    """Everything that a plan for one table depends on.

    ``tables`` holds all known tables; the table to plan for may be missing from it, in which case
    it is created. ``members`` are the daemons of the table's data centre and, for a table of mode
    yield, those of the other data centres too, from which its voters are chosen. ``shard_loads``
    counts requests/s without those of single-key exceptions, whose loads are in ``hot_keys``.
    ``settled_version`` is the highest settled version of the table to plan for.
    """

    __slots__ = (
        "cold_servers",
        "configuration",
        "down_servers",
        "hot_keys",
        "lost_members",
        "members",
        "now_ms",
        "settled_version",
        "shard_loads",
        "table_id",
        "tables",
        "write_id",
    )

    def __init__(
        self,
        configuration: Configuration,
        tables: Mapping[str, OwnershipTable],
        table_id: str,
        members: tuple[Member, ...],
        lost_members: frozenset[str],
        down_servers: frozenset[str],
        cold_servers: frozenset[str],
        shard_loads: Mapping[ShardKey, float],
        hot_keys: Mapping[ShardKey, float],
        settled_version: int,
        now_ms: int,
        write_id: str,
    ) -> None:
        self.configuration = configuration
        self.tables = tables
        self.table_id = table_id
        self.members = members
        self.lost_members = lost_members
        self.down_servers = down_servers
        self.cold_servers = cold_servers
        self.shard_loads = shard_loads
        self.hot_keys = hot_keys
        self.settled_version = settled_version
        self.now_ms = now_ms
        self.write_id = write_id


class ShardMove(BaseValue):
    """A change of the owner of a shard or, if ``index`` is a key hash, of a single key.

    ``from_group`` is empty for the first owner. ``planned`` is false if the former owner is lost.
    """

    __slots__ = ("from_group", "index", "planned", "reason", "service", "to_group")

    def __init__(
        self,
        service: str,
        index: int,
        from_group: str,
        to_group: str,
        reason: str,
        planned: bool,
    ) -> None:
        self.service = service
        self.index = index
        self.from_group = from_group
        self.to_group = to_group
        self.reason = reason
        self.planned = planned


class Plan(BaseValue):
    """Tables to write by CAS, in this order, and the moves that they make.

    A writer stops at the first write that fails: the tables before it are valid without the later
    ones, because a pending record has no effect until its source table releases the shard.
    """

    __slots__ = ("moves", "tables")

    def __init__(self, tables: tuple[OwnershipTable, ...], moves: tuple[ShardMove, ...]) -> None:
        self.tables = tables
        self.moves = moves


EMPTY_PLAN = Plan((), ())


class BasePlanner(abc.ABC):
    """Decides who owns the shards of a table."""

    __slots__ = ()

    @abc.abstractmethod
    def plan(self, planning_input: PlanningInput) -> Plan:
        """Returns the tables to write; the same input always gives the same plan."""
