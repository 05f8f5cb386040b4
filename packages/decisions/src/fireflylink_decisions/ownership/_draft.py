"""The tables under change while a plan is made."""

from fireflylink_core import (
    Configuration,
    DataCentreState,
    Isolation,
    Member,
    MemberState,
    OwnershipTable,
    ServerGroup,
    Service,
    ShardKey,
    ShardRecord,
    data_centre_of_table,
    isolation_of_table,
    table_id_of,
)
from fireflylink_decisions.ownership._plan import PlanningInput, ShardMove
from fireflylink_decisions.ownership._records import NO_RELEASE, in_transit, is_active, record_in


class TableDraft:
    """A table that may be changed; ``version`` is the one that the change will have."""

    __slots__ = (
        "base",
        "exceptions",
        "groups",
        "previous_voters",
        "shards",
        "table_id",
        "version",
        "voters",
    )

    def __init__(self, table_id: str, base: OwnershipTable | None) -> None:
        self.table_id = table_id
        self.base = base
        self.version = base.version + 1 if base else 1
        self.voters: tuple[str, ...] = base.voters if base else ()
        self.previous_voters: tuple[str, ...] = base.previous_voters if base else ()
        self.groups: dict[str, ServerGroup] = dict(base.groups) if base else {}
        self.shards: dict[ShardKey, ShardRecord] = dict(base.shards) if base else {}
        self.exceptions: dict[ShardKey, ShardRecord] = dict(base.exceptions) if base else {}

    def book(self, exception: bool) -> dict[ShardKey, ShardRecord]:
        """Returns the records of shards or those of single-key exceptions."""
        return self.exceptions if exception else self.shards

    def built(self, write_id: str) -> OwnershipTable | None:
        """Returns the new table, or None if nothing changed."""
        built = OwnershipTable(
            self.table_id,
            self.version,
            write_id,
            self.voters,
            self.groups,
            self.shards,
            self.exceptions,
            self.previous_voters,
        )
        if self.base is None:
            return built
        same = self.base.replace(version=self.version, write_id=write_id)
        return None if built == same else built


class PlanningDraft:
    """What the rules of a plan read and change.

    ``own`` is the table to plan for. Other tables are changed only as the destination or the source
    of a move between tables.
    """

    __slots__ = ("configuration", "data_centre", "isolation", "moves", "own", "source", "tables")

    def __init__(self, source: PlanningInput) -> None:
        self.source = source
        self.configuration: Configuration = source.configuration
        self.data_centre = data_centre_of_table(source.table_id)
        self.isolation: Isolation = isolation_of_table(source.table_id)
        self.tables = {
            table_id: TableDraft(table_id, source.tables[table_id])
            for table_id in sorted(source.tables)
        }
        if source.table_id not in self.tables:
            self.tables[source.table_id] = TableDraft(source.table_id, None)
        self.own = self.tables[source.table_id]
        self.moves: list[ShardMove] = []

    def live_members(self) -> list[Member]:
        """Returns the members that take part, in the order of their ids."""
        live = [
            member
            for member in self.source.members
            if member.state is MemberState.LIVE
            and member.instance_id not in self.source.lost_members
        ]
        return sorted(live, key=lambda member: member.instance_id)

    def local_members(self) -> list[str]:
        """Returns the ids of the live members in the table's data centre."""
        return [
            member.instance_id
            for member in self.live_members()
            if member.data_centre == self.data_centre
        ]

    def own_services(self) -> list[Service]:
        """Returns the services of the table's isolation mode, in the order of their names."""
        services = self.configuration.services
        return [
            services[name]
            for name in sorted(services)
            if services[name].isolation is self.isolation
        ]

    def tables_of(self, service: Service) -> list[str]:
        """Returns the ids of the known tables that may hold shards of a service."""
        ids = [table_id_of(name, service.isolation) for name in service.data_centres]
        return [table_id for table_id in ids if table_id in self.tables]

    def state_of(self, data_centre: str) -> DataCentreState:
        """Returns what operators declared about a data centre; an unknown one is out."""
        declared = self.configuration.data_centres.get(data_centre)
        return declared.state if declared else DataCentreState.OUT

    def record_active(self, table_id: str, key: ShardKey, exception: bool) -> bool:
        """Tells whether a draft table owns a shard, by the rule for pending records."""
        return is_active(self.tables, table_id, key, exception)

    def unsettled(self, key: ShardKey, exception: bool) -> bool:
        """Tells whether an earlier owner may still hold a shard that the own table owns.

        A record that this plan has changed counts as well, so that no write makes two steps.
        """
        record = self.own.book(exception)[key]
        base = record_in(self.own.base, key, exception)
        return record is not base or in_transit(record, self.source.settled_version)

    def move(
        self, key: ShardKey, exception: bool, group_id: str, reason: str, planned: bool
    ) -> None:
        """Gives a shard of the own table to another group of the same table."""
        book = self.own.book(exception)
        record = book[key]
        self.note(key, record.group_id, group_id, reason, planned)
        if record.changed_version == self.own.version:
            book[key] = record.replace(group_id=group_id, reason=reason)
            return
        transit = self.unsettled(key, exception)
        # A pending record keeps its epoch, which links it to the release by its source table.
        book[key] = record.replace(
            group_id=group_id,
            epoch=record.epoch if record.pending_from else record.epoch + 1,
            changed_version=self.own.version,
            since_ms=self.source.now_ms,
            reason=reason,
            previous_group=NO_RELEASE if transit else record.group_id,
        )

    def transfer(
        self,
        source: TableDraft,
        destination: TableDraft,
        key: ShardKey,
        exception: bool,
        group_id: str,
        reason: str,
        planned: bool,
    ) -> None:
        """Gives a shard to another table: a pending record there and a release here."""
        record = source.book(exception)[key]
        self.note(key, record.group_id, group_id, reason, planned)
        # Which versions of another table are settled is not known, and a lost one releases nothing.
        transit = source is not self.own or self.unsettled(key, exception)
        destination.book(exception)[key] = ShardRecord(
            group_id,
            record.epoch + 1,
            destination.version,
            self.source.now_ms,
            reason,
            previous_group=NO_RELEASE if transit else record.group_id,
            pending_from=source.table_id,
        )
        self.release(source, destination, key, exception, reason)

    def release(
        self,
        source: TableDraft,
        destination: TableDraft,
        key: ShardKey,
        exception: bool,
        reason: str,
    ) -> None:
        """Marks a shard as released to another table, which has a pending record of it."""
        book = source.book(exception)
        book[key] = book[key].replace(
            released_to=destination.table_id,
            changed_version=source.version,
            since_ms=self.source.now_ms,
            reason=reason,
        )

    def restore(self, table_id: str, key: ShardKey, group_id: str) -> None:
        """Makes a record in the own table for a shard that another table released to it."""
        released = self.tables[table_id].shards[key]
        reason = "record restored"
        self.note(key, released.group_id, group_id, reason, False)
        self.own.shards[key] = ShardRecord(
            group_id,
            released.epoch + 1,
            self.own.version,
            self.source.now_ms,
            reason,
            previous_group=NO_RELEASE,
            pending_from=table_id,
        )

    def note(
        self, key: ShardKey, from_group: str, to_group: str, reason: str, planned: bool
    ) -> None:
        self.moves.append(ShardMove(key[0], key[1], from_group, to_group, reason, planned))
