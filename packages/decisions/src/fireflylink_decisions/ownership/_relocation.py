"""Moves of shards whose group cannot or should not own them any longer."""

from fireflylink_core import DataCentreState, Isolation, ServerState, Service, ShardKey
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._ledger import GroupLoad, PlacementItem, ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._transfers import (
    can_move_planned,
    can_transfer,
    catch_up,
    transfer_shard,
)

BATCH_SHARDS = 64
"""Planned moves of one plan, which bounds the handovers that run at once."""


class Displaced:
    """A shard or single key that has to leave its group, and why."""

    __slots__ = ("exception", "item", "key", "planned", "reason")

    def __init__(
        self, key: ShardKey, exception: bool, item: PlacementItem, reason: str, planned: bool
    ) -> None:
        self.key = key
        self.exception = exception
        self.item = item
        self.reason = reason
        self.planned = planned


class RelocationRule(BaseRule):
    """Moves shards off lost servers at once, and off drained ones and data centres in batches.

    A group in the same table is preferred. Where there is none, the shard goes to another table.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        room = BATCH_SHARDS
        names = {key[0] for key in draft.own.shards}
        for name in sorted(names & draft.configuration.services.keys()):
            service = draft.configuration.services[name]
            measure = LoadMeasure(draft, service)
            ledger = measure.ledger()
            displaced = self._displaced(draft, measure, ledger)
            lost = [found for found in displaced if not found.planned]
            planned = [found for found in displaced if found.planned]
            if service.isolation is draft.isolation:
                planned = planned[:room]
                room -= len(planned)
            if lost or planned:
                self._relocate(draft, ledger, lost + planned)

    def _displaced(
        self, draft: PlanningDraft, measure: LoadMeasure, ledger: ServiceLedger
    ) -> list[Displaced]:
        found: list[Displaced] = []
        for exception in (False, True):
            for key, record in sorted(draft.own.book(exception).items()):
                if key[0] != measure.service.name or record.released_to is not None:
                    continue
                index = measure.shard_index(key, exception)
                group = ledger.groups.get(record.group_id)
                if _stays(draft, measure.service, group, index):
                    continue
                reason, planned = _reason(draft, measure.service, record.group_id)
                if planned and draft.unsettled(key, exception):
                    continue
                item = measure.item(draft.own.table_id, key, exception)
                found.append(Displaced(key, exception, item, reason, planned))
        return found

    def _relocate(
        self, draft: PlanningDraft, ledger: ServiceLedger, displaced: list[Displaced]
    ) -> None:
        service = ledger.service
        placed: dict[str, GroupLoad] = {}
        if service.isolation is draft.isolation and not _cut_off(draft):
            items = [found.item for found in displaced]
            placed = ledger.place(items, ledger.usable([draft.own.table_id]))
        left: list[Displaced] = []
        for found in displaced:
            target = placed.get(found.item.subject)
            if target is None:
                left.append(found)
                continue
            draft.move(
                found.key, found.exception, target.group.group_id, found.reason, found.planned
            )
        self._transfer(draft, ledger, [found for found in left if not found.exception])

    def _transfer(
        self, draft: PlanningDraft, ledger: ServiceLedger, displaced: list[Displaced]
    ) -> None:
        movable = [found for found in displaced if self._may_transfer(draft, ledger, found)]
        tables = [
            table_id
            for table_id in draft.tables_of(ledger.service)
            if table_id != draft.own.table_id
        ]
        placed = ledger.place([found.item for found in movable], ledger.usable(tables))
        for found in movable:
            target = placed.get(found.item.subject)
            if target is None:
                continue
            destination = draft.tables[target.table_id]
            if not can_transfer(draft, draft.own, destination, found.key):
                catch_up(draft, destination, found.key)
                continue
            transfer_shard(
                draft,
                ledger,
                draft.own,
                found.key[1],
                target.group.group_id,
                found.reason,
                found.planned,
            )

    def _may_transfer(self, draft: PlanningDraft, ledger: ServiceLedger, found: Displaced) -> bool:
        if not draft.record_active(draft.own.table_id, found.key, False):
            return False
        if not found.planned:
            return True
        return can_move_planned(draft, ledger.service, found.key[1])


def _stays(draft: PlanningDraft, service: Service, group: GroupLoad | None, index: int) -> bool:
    if group is None or group.slots == 0 or group.table_id != draft.own.table_id:
        return False
    return not _cut_off(draft) and group.admits(service, index)


def _cut_off(draft: PlanningDraft) -> bool:
    """Tells whether the data centre of a yield table is cut off or lost as a whole."""
    return draft.isolation is Isolation.YIELD and not draft.local_members()


def _reason(draft: PlanningDraft, service: Service, group_id: str) -> tuple[str, bool]:
    """Returns why a group cannot keep a shard, and whether it can still hand it over."""
    if _cut_off(draft):
        return "data centre cut off", False
    state = draft.state_of(draft.data_centre)
    if state is DataCentreState.LOST:
        return "data centre lost", False
    group = draft.own.groups.get(group_id)
    servers = group.server_ids if group else ()
    if servers and all(server_id in draft.source.down_servers for server_id in servers):
        return "server down", False
    if state is DataCentreState.OUT:
        return "data centre out of service", True
    if service.isolation is not draft.isolation:
        return "isolation mode changed", True
    if draft.data_centre not in service.data_centres:
        return "data centre left the service", True
    if group is None or any(name not in draft.configuration.servers for name in servers):
        return "server withdrawn", True
    if any(draft.configuration.servers[name].state is ServerState.IN for name in servers):
        return "shard range changed", True
    return "server draining", True
