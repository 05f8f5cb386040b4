"""First owners of shards, and records of services that were withdrawn."""

from fireflylink_core import DataCentreState, Service, ShardKey, ShardRecord, table_id_of
from fireflylink_decisions.ownership._draft import PlanningDraft, TableDraft
from fireflylink_decisions.ownership._eligibility import declared_servers
from fireflylink_decisions.ownership._ledger import bounded_homes
from fireflylink_decisions.ownership._measure import LoadMeasure, subject_of
from fireflylink_decisions.ownership._rule import BaseRule

CLAIM_REASON = "first owner"
FIRST_EPOCH = 1


class WithdrawalRule(BaseRule):
    """Drops the records of services and shards that are no longer configured."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        for exception in (False, True):
            book = draft.own.book(exception)
            for key in list(book):
                service = draft.configuration.services.get(key[0])
                if service is None or (not exception and key[1] >= service.shard_count):
                    del book[key]


class ClaimRule(BaseRule):
    """Gives a first owner to shards that no table has.

    The home of such a shard follows from the configuration, and two deciders may have different
    versions of it. Therefore a shard that has no record in the table of the first data centre of
    its service counts as owned by that table: a claim by another table is a pending record that
    the first one has to release. If operators declared the first data centre lost, the claiming
    table's decider writes that release.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if not draft.local_members():
            return
        for service in draft.own_services():
            first = first_table_of(service)
            if draft.data_centre in service.data_centres:
                self._claim(draft, service, first)
            if first == draft.own.table_id:
                self._release(draft, service, draft.own)
            elif draft.state_of(service.data_centres[0]) is DataCentreState.LOST:
                self._release_from_lost(draft, service, first)

    def _claim(self, draft: PlanningDraft, service: Service, first: str) -> None:
        own = _unclaimed_at_home(draft, service)
        if not own:
            return
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        keys = {subject_of((service.name, index), False): index for index in own}
        items = [measure.item(draft.own.table_id, (service.name, index), False) for index in own]
        placed = ledger.place(items, ledger.usable([draft.own.table_id]))
        pending = None if first == draft.own.table_id else first
        for subject, index in keys.items():
            if subject in placed:
                group_id = placed[subject].group.group_id
            else:
                group_id = _any_group(draft, service, index)
            if group_id:
                self._create(draft, (service.name, index), group_id, pending)

    def _create(
        self, draft: PlanningDraft, key: ShardKey, group_id: str, pending: str | None
    ) -> None:
        draft.own.shards[key] = ShardRecord(
            group_id,
            FIRST_EPOCH,
            draft.own.version,
            draft.source.now_ms,
            CLAIM_REASON,
            pending_from=pending,
        )
        draft.note(key, "", group_id, CLAIM_REASON, True)

    def _release(self, draft: PlanningDraft, service: Service, first: TableDraft) -> None:
        """Releases shards without a record in the first table to a table that claims them."""
        for index in range(service.shard_count):
            key = (service.name, index)
            claimant = _claimant(draft, first.table_id, key)
            if key in first.shards or claimant is None:
                continue
            first.shards[key] = ShardRecord(
                draft.tables[claimant].shards[key].group_id,
                FIRST_EPOCH - 1,
                first.version,
                draft.source.now_ms,
                CLAIM_REASON,
                released_to=claimant,
            )

    def _release_from_lost(self, draft: PlanningDraft, service: Service, first: str) -> None:
        claims = [
            key
            for key, record in draft.own.shards.items()
            if key[0] == service.name and record.pending_from == first
        ]
        if not claims:
            return
        if first not in draft.tables:
            draft.tables[first] = TableDraft(first, None)
            draft.tables[first].voters = draft.own.voters
        self._release(draft, service, draft.tables[first])


def _unclaimed_at_home(draft: PlanningDraft, service: Service) -> list[int]:
    """Returns the shards without any record whose home is the table's data centre."""
    unclaimed = [
        index
        for index in range(service.shard_count)
        if not any((service.name, index) in table.shards for table in draft.tables.values())
    ]
    if not unclaimed:
        return []
    homes = home_data_centres(draft, service)
    return [index for index in unclaimed if homes.get(index) == draft.data_centre]


def _any_group(draft: PlanningDraft, service: Service, index: int) -> str:
    """Returns a group that is declared for a shard, although its servers are down.

    A shard without a record could not be moved to another data centre.
    """
    for group_id, group in sorted(draft.own.groups.items()):
        if group.service == service.name and any(
            service.admits(index, server_id) for server_id in group.server_ids
        ):
            return group_id
    return ""


def _claimant(draft: PlanningDraft, first: str, key: ShardKey) -> str | None:
    """Returns the first table, in the order of ids, that has a pending first claim of a shard."""
    for table_id in sorted(draft.tables):
        record = draft.tables[table_id].shards.get(key)
        if record is not None and record.pending_from == first and record.epoch == FIRST_EPOCH:
            return table_id
    return None


def first_table_of(service: Service) -> str:
    """Returns the table that owns the shards of a service that have no record in it."""
    return table_id_of(service.data_centres[0], service.isolation)


def home_data_centres(draft: PlanningDraft, service: Service) -> dict[int, str]:
    """Returns the home of each shard that a declared server may own.

    Homes depend only on the configuration, because reports on servers differ between deciders.
    """
    servers = declared_servers(draft.configuration, service)
    homes: dict[int, str] = {}
    for shard_range in service.ranges:
        weights: dict[str, float] = {}
        for server in servers:
            if not shard_range.server_ids or server.server_id in shard_range.server_ids:
                weights[server.data_centre] = weights.get(server.data_centre, 0.0) + server.slots
        indexes = [
            index
            for index in range(shard_range.first, shard_range.last + 1)
            if index not in homes and index < service.shard_count
        ]
        subjects = [subject_of((service.name, index), False) for index in indexes]
        if weights:
            homes.update(zip(indexes, bounded_homes(weights, subjects), strict=True))
    return homes
