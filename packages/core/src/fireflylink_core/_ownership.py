"""Ownership of shards: records, groups of servers and the table of a data centre."""

from collections.abc import Mapping

from fireflylink_core._configuration import Isolation
from fireflylink_core._value import BaseValue

ShardKey = tuple[str, int]
"""Service name and shard index; for a single-key exception, service name and key hash."""


class ShardRecord(BaseValue):
    """Which group of servers owns a shard, since when and why.

    ``epoch`` rises with each change of owner. ``changed_version`` is the table version that made
    this record. ``previous_group`` has to release the shard before its new owner starts, unless
    that version is settled. ``pending_from`` names the table that still owns the shard while it
    is moved between data centres; ``released_to`` names the table that has it afterwards.
    """

    __slots__ = (
        "changed_version",
        "epoch",
        "group_id",
        "pending_from",
        "previous_group",
        "reason",
        "released_to",
        "since_ms",
    )

    def __init__(
        self,
        group_id: str,
        epoch: int,
        changed_version: int,
        since_ms: int,
        reason: str,
        previous_group: str | None = None,
        pending_from: str | None = None,
        released_to: str | None = None,
    ) -> None:
        self.group_id = group_id
        self.epoch = epoch
        self.changed_version = changed_version
        self.since_ms = since_ms
        self.reason = reason
        self.previous_group = previous_group
        self.pending_from = pending_from
        self.released_to = released_to


class ServerGroup(BaseValue):
    """Servers that have one gateway, the only daemon that sends requests to them.

    A group of a keyed service holds one server. ``gateway_epoch`` rises with each change of gateway
    and is part of every grant, so that a server that checks grants refuses an earlier gateway.
    """

    __slots__ = (
        "changed_version",
        "gateway",
        "gateway_epoch",
        "group_id",
        "previous_gateway",
        "server_ids",
        "service",
    )

    def __init__(
        self,
        group_id: str,
        service: str,
        server_ids: tuple[str, ...],
        gateway: str,
        gateway_epoch: int,
        changed_version: int,
        previous_gateway: str | None = None,
    ) -> None:
        self.group_id = group_id
        self.service = service
        self.server_ids = server_ids
        self.gateway = gateway
        self.gateway_epoch = gateway_epoch
        self.changed_version = changed_version
        self.previous_gateway = previous_gateway


class OwnershipTable(BaseValue):
    """One version of the ownership of the shards whose home is a data centre.

    ``write_id`` is unique to the write, so that a writer that lost the reply can tell by reading
    back whether its write took effect. ``previous_voters`` is not empty while authority needs a
    majority of the former voters too.
    """

    __slots__ = (
        "exceptions",
        "groups",
        "previous_voters",
        "shards",
        "table_id",
        "version",
        "voters",
        "write_id",
    )

    def __init__(
        self,
        table_id: str,
        version: int,
        write_id: str,
        voters: tuple[str, ...],
        groups: Mapping[str, ServerGroup],
        shards: Mapping[ShardKey, ShardRecord],
        exceptions: Mapping[ShardKey, ShardRecord],
        previous_voters: tuple[str, ...] = (),
    ) -> None:
        self.table_id = table_id
        self.version = version
        self.write_id = write_id
        self.voters = voters
        self.groups = groups
        self.shards = shards
        self.exceptions = exceptions
        self.previous_voters = previous_voters


def table_id_of(data_centre: str, isolation: Isolation) -> str:
    """Returns the identifier of a data centre's table for an isolation mode."""
    return f"{data_centre}.{isolation.value}"


def data_centre_of_table(table_id: str) -> str:
    """Returns the data centre whose table has the given identifier."""
    return table_id.rpartition(".")[0]


def isolation_of_table(table_id: str) -> Isolation:
    """Returns the isolation mode of the table with the given identifier."""
    return Isolation(table_id.rpartition(".")[2])
