"""Takeover of the shards of data centres that operators declared lost."""

from fireflylink_core import DataCentreState, Service, ShardKey, data_centre_of_table
from fireflylink_decisions.ownership._draft import PlanningDraft, TableDraft
from fireflylink_decisions.ownership._ledger import ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._transfers import can_transfer, linked, transfer_shard

LOST_REASON = "data centre lost"


class TakeoverRule(BaseRule):
    """Moves shards of lost data centres to the own table.

    Each live data centre takes the shards that placement gives to its own groups. If deciders place
    a shard differently, the write of the lost table that comes first gives it to one of them.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if not draft.local_members() or _is_lost(draft, draft.own.table_id):
            return
        for service in draft.own_services():
            for table_id in draft.tables_of(service):
                if table_id != draft.own.table_id and _is_lost(draft, table_id):
                    self._take(draft, service, draft.tables[table_id])

    def _take(self, draft: PlanningDraft, service: Service, source: TableDraft) -> None:
        keys = [
            key
            for key in sorted(source.shards)
            if key[0] == service.name
            and draft.record_active(source.table_id, key, False)
            and can_transfer(draft, source, draft.own, key)
        ]
        if not keys:
            return
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        items = {key: measure.item(source.table_id, key, False) for key in keys}
        placed = ledger.place(items.values(), ledger.usable(draft.tables_of(service)))
        for key, item in items.items():
            group_id = self._pending_group(draft, ledger, source, key)
            target = placed.get(item.subject)
            if group_id is None and target and target.table_id == draft.own.table_id:
                group_id = target.group.group_id
            if group_id is not None:
                transfer_shard(draft, ledger, source, key[1], group_id, LOST_REASON, False)
        _adopt(draft, source)

    def _pending_group(
        self, draft: PlanningDraft, ledger: ServiceLedger, source: TableDraft, key: ShardKey
    ) -> str | None:
        """Returns the group of a pending record that the own table already has."""
        pending = draft.own.shards.get(key)
        if pending is None or not linked(source.shards[key], pending, source):
            return None
        return pending.group_id if pending.group_id in ledger.groups else None


def _is_lost(draft: PlanningDraft, table_id: str) -> bool:
    return draft.state_of(data_centre_of_table(table_id)) is DataCentreState.LOST


def _adopt(draft: PlanningDraft, source: TableDraft) -> None:
    """Gives a lost data centre's table voters that can settle its releases.

    Its former voters are not asked: by the operators' word they no longer act.
    """
    if source.built(draft.source.write_id) is None:
        return
    live = {
        voter
        for table_id, table in draft.tables.items()
        if draft.state_of(data_centre_of_table(table_id)) is DataCentreState.IN
        for voter in table.voters
    }
    if not live & set(source.voters) and draft.own.voters:
        source.voters = draft.own.voters
        source.previous_voters = ()
