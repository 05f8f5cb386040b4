"""Loads of the groups of a service, as a draft has them."""

from fireflylink_core import BackendServer, ServerGroup, Service, ShardKey
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._ledger import GroupLoad, PlacementItem, ServiceLedger

IDLE_SHARE = 0.01
"""Load of a shard without requests, as a share of the mean, so that idle shards are spread too."""


class LoadMeasure:
    """Loads of the shards of one service; counts of shards while no load is measured."""

    __slots__ = ("draft", "idle", "mean", "measured", "service", "unmeasured")

    def __init__(self, draft: PlanningDraft, service: Service) -> None:
        self.draft = draft
        self.service = service
        loads = [
            load for (name, _), load in draft.source.shard_loads.items() if name == service.name
        ]
        self.measured = sum(loads) > 0
        self.unmeasured: set[str] = set()
        # A gateway reports only shards that had requests; the others of its table count as idle.
        shards = self._split_tables() if self.measured else 0
        self.mean = sum(loads) / max(shards, len(loads)) if self.measured else 1.0
        self.idle = self.mean * IDLE_SHARE if self.measured else 0.0

    def _split_tables(self) -> int:
        """Finds the tables that report no load of any shard; counts the shards of the others."""
        shards = 0
        for table_id in self.draft.tables_of(self.service):
            keys = [
                key
                for key in self.draft.tables[table_id].shards
                if key[0] == self.service.name and self.draft.record_active(table_id, key, False)
            ]
            if any(key in self.draft.source.shard_loads for key in keys):
                shards += len(keys)
            elif keys:
                self.unmeasured.add(table_id)
        return shards

    def load(self, table_id: str, key: ShardKey, exception: bool) -> float:
        """Returns the load of a shard or of a single key."""
        source = self.draft.source
        if exception:
            return source.hot_keys.get(key, 0.0) if self.measured else 0.0
        if not self.measured:
            return 1.0
        if table_id in self.unmeasured:
            return self.mean
        return source.shard_loads.get(key, 0.0) + self.idle

    def item(self, table_id: str, key: ShardKey, exception: bool) -> PlacementItem:
        """Returns a shard or single key as an item to place."""
        load = self.load(table_id, key, exception)
        return PlacementItem(subject_of(key, exception), self.shard_index(key, exception), load)

    def shard_index(self, key: ShardKey, exception: bool) -> int:
        """Returns the index of a shard or of the shard that holds a single key."""
        return key[1] % self.service.shard_count if exception else key[1]

    def ledger(self) -> ServiceLedger:
        """Returns the loads of all groups of the service."""
        table_ids = self.draft.tables_of(self.service)
        ledger = ServiceLedger(self.service, {}, 0.0 if self.measured else 1.0, self.unmeasured)
        for table_id in table_ids:
            for group in self.draft.tables[table_id].groups.values():
                if group.service == self.service.name:
                    ledger.groups[group.group_id] = self._group_load(table_id, group)
        for table_id in table_ids:
            self._add_loads(ledger, table_id)
        return ledger

    def _group_load(self, table_id: str, group: ServerGroup) -> GroupLoad:
        servers = usable_servers(self.draft, self.service, table_id, group)
        cold = self.draft.source.cold_servers
        slots = sum(
            min(server.slots, self.service.cold_slots) if server.server_id in cold else server.slots
            for server in servers
        )
        return GroupLoad(table_id, group, servers, slots)

    def _add_loads(self, ledger: ServiceLedger, table_id: str) -> None:
        table = self.draft.tables[table_id]
        for exception in (False, True):
            for key, record in table.book(exception).items():
                if key[0] != self.service.name:
                    continue
                if self.draft.record_active(table_id, key, exception):
                    ledger.add(record.group_id, self.load(table_id, key, exception))


def subject_of(key: ShardKey, exception: bool) -> str:
    """Returns the text by which a shard or single key is ranked."""
    return f"{key[0]}!{key[1]}" if exception else f"{key[0]}#{key[1]}"


def server_fits(draft: PlanningDraft, service: Service, table_id: str, server_id: str) -> bool:
    """Tells whether a server is still declared for a service in the data centre of a table."""
    server = draft.configuration.servers.get(server_id)
    if server is None or server.service != service.name:
        return False
    return server.data_centre == table_id.rpartition(".")[0]


def usable_servers(
    draft: PlanningDraft, service: Service, table_id: str, group: ServerGroup
) -> tuple[BackendServer, ...]:
    """Returns the servers of a group that may receive new requests and are not down."""
    if table_id.rpartition(".")[0] not in service.data_centres:
        return ()
    found: list[BackendServer] = []
    for server_id in group.server_ids:
        if not server_fits(draft, service, table_id, server_id):
            continue
        server = draft.configuration.servers[server_id]
        down = server_id in draft.source.down_servers
        if not down and draft.configuration.takes_new_work(server):
            found.append(server)
    return tuple(found)
