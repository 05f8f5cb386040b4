"""First owners of shards, and records of services that were withdrawn."""

from fireflylink_core import DataCentreState, Service, ShardKey, ShardRecord, table_id_of
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._eligibility import declared_servers
from fireflylink_decisions.ownership._ledger import bounded_homes
from fireflylink_decisions.ownership._measure import LoadMeasure, subject_of
from fireflylink_decisions.ownership._rule import BaseRule

CLAIM_REASON = "first owner"


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
    versions of it. Therefore a shard without any record counts as owned by the table of the first
    data centre of its service that is not lost: a claim by another table is a pending record that
    this first table has to release.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if not draft.local_members():
            return
        for service in draft.own_services():
            first = first_table_of(draft, service)
            if first == draft.own.table_id:
                self._release(draft, service)
            if draft.data_centre in service.data_centres:
                self._claim(draft, service, first)

    def _claim(self, draft: PlanningDraft, service: Service, first: str) -> None:
        unclaimed = [
            index
            for index in range(service.shard_count)
            if not any((service.name, index) in table.shards for table in draft.tables.values())
        ]
        homes = home_data_centres(draft, service) if unclaimed else []
        own = [index for index in unclaimed if homes and homes[index] == draft.data_centre]
        if not own:
            return
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        keys = {subject_of((service.name, index), False): index for index in own}
        items = [measure.item(draft.own.table_id, (service.name, index), False) for index in own]
        placed = ledger.place(items, ledger.usable([draft.own.table_id]))
        pending = None if first == draft.own.table_id else first
        for subject in sorted(placed, key=lambda name: keys[name]):
            key = (service.name, keys[subject])
            self._create(draft, key, placed[subject].group.group_id, pending)

    def _create(
        self, draft: PlanningDraft, key: ShardKey, group_id: str, pending: str | None
    ) -> None:
        draft.own.shards[key] = ShardRecord(
            group_id,
            draft.own.version,
            draft.own.version,
            draft.source.now_ms,
            CLAIM_REASON,
            pending_from=pending,
        )
        draft.note(key, "", group_id, CLAIM_REASON, True)

    def _release(self, draft: PlanningDraft, service: Service) -> None:
        """Releases shards without a record to the table that claims them."""
        for index in range(service.shard_count):
            key = (service.name, index)
            claims = [
                (table.shards[key].epoch, table_id)
                for table_id, table in sorted(draft.tables.items())
                if key in table.shards and table.shards[key].pending_from == draft.own.table_id
            ]
            if not claims or key in draft.own.shards:
                continue
            if any(draft.record_active(table_id, key, False) for table_id in draft.tables):
                continue
            epoch, table_id = max(claims)
            draft.own.shards[key] = ShardRecord(
                draft.tables[table_id].shards[key].group_id,
                epoch - 1,
                draft.own.version,
                draft.source.now_ms,
                CLAIM_REASON,
                released_to=table_id,
            )


def first_table_of(draft: PlanningDraft, service: Service) -> str:
    """Returns the table that owns the shards of a service that have no record yet."""
    for name in service.data_centres:
        if draft.state_of(name) is not DataCentreState.LOST:
            return table_id_of(name, service.isolation)
    return table_id_of(service.data_centres[0], service.isolation)


def home_data_centres(draft: PlanningDraft, service: Service) -> list[str]:
    """Returns the home of each shard, or nothing if no data centre takes new work.

    Homes depend only on the configuration, because reports on servers differ between deciders.
    """
    weights: dict[str, float] = {}
    for server in declared_servers(draft.configuration, service):
        weights[server.data_centre] = weights.get(server.data_centre, 0.0) + server.slots
    if not weights:
        return []
    subjects = [subject_of((service.name, index), False) for index in range(service.shard_count)]
    return bounded_homes(weights, subjects)
