"""Moves of shards, with their single-key exceptions, between tables."""

from fireflylink_core import Service, ShardKey, ShardRecord
from fireflylink_decisions.ownership._draft import PlanningDraft, TableDraft
from fireflylink_decisions.ownership._ledger import ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._records import record_in


def exceptions_of(
    draft: PlanningDraft, source: TableDraft, service: Service, index: int
) -> list[ShardKey]:
    """Returns the single keys of a shard that a table owns by an exception."""
    return sorted(
        key
        for key in source.exceptions
        if key[0] == service.name
        and key[1] % service.shard_count == index
        and draft.record_active(source.table_id, key, True)
    )


def can_move_planned(draft: PlanningDraft, service: Service, index: int) -> bool:
    """Tells whether no earlier owner can still hold a shard of the own table or a key of it."""
    if draft.unsettled((service.name, index), False):
        return False
    return not any(
        draft.unsettled(key, True) for key in exceptions_of(draft, draft.own, service, index)
    )


def linked(record: ShardRecord, pending: ShardRecord | None, source: TableDraft) -> bool:
    """Tells whether a pending record would take effect if the source released the shard."""
    if pending is None or pending.pending_from != source.table_id:
        return False
    return record.epoch + 1 == pending.epoch


def can_transfer(
    draft: PlanningDraft, source: TableDraft, destination: TableDraft, key: ShardKey
) -> bool:
    """Tells whether the records at both ends allow a move.

    The source record has to be as it is written: a pending record that follows from one that may
    never be written would have an epoch of the future. A release at the destination is overwritten
    only if neither the shard's present owner nor a later release depends on it.
    """
    record = source.shards[key]
    if record is not record_in(source.base, key, False):
        return False
    former = destination.shards.get(key)
    if former is None or linked(record, former, source):
        return True
    if former.released_to is not None and former.pending_from is not None:
        return False
    if destination.table_id in _pending_chain(draft, record, key):
        return False
    return former.epoch <= record.epoch


def _pending_chain(draft: PlanningDraft, record: ShardRecord, key: ShardKey) -> list[str]:
    """Lists the tables whose releases an owner still waits for."""
    chain: list[str] = []
    found: ShardRecord | None = record
    while found is not None and found.pending_from is not None:
        if found.pending_from in chain:
            break
        chain.append(found.pending_from)
        found = record_in(draft.tables.get(found.pending_from), key, False)
    return chain


def catch_up(draft: PlanningDraft, destination: TableDraft, key: ShardKey) -> None:
    """Raises the epoch of an own shard to that of a dead record at a destination.

    Epochs of a table's records then never fall, by which an old view of the table is recognised.
    """
    record = draft.own.shards[key]
    former = destination.shards.get(key)
    if former is None or former.epoch <= record.epoch or record.pending_from is not None:
        return
    if record is record_in(draft.own.base, key, False) and not linked(record, former, draft.own):
        draft.own.shards[key] = record.replace(epoch=former.epoch)


def transfer_shard(
    draft: PlanningDraft,
    ledger: ServiceLedger,
    source: TableDraft,
    index: int,
    group_id: str,
    reason: str,
    planned: bool,
) -> None:
    """Moves a shard with its single-key exceptions to the table of a group.

    A key's exception has to be in the table of its shard: the gateway of a shard sees from one
    version of one table which keys of it belong to others.
    """
    service = ledger.service
    destination = draft.tables[ledger.groups[group_id].table_id]
    measure = LoadMeasure(draft, service)
    for key in exceptions_of(draft, source, service, index):
        if linked(source.exceptions[key], destination.exceptions.get(key), source):
            draft.release(source, destination, key, True, reason)
            continue
        item = measure.item(source.table_id, key, True)
        placed = ledger.place([item], ledger.usable([destination.table_id]))
        chosen = placed[item.subject].group.group_id if placed else group_id
        draft.transfer(source, destination, key, True, chosen, reason, planned)
    key = (service.name, index)
    if linked(source.shards[key], destination.shards.get(key), source):
        draft.release(source, destination, key, False, reason)
    else:
        draft.transfer(source, destination, key, False, group_id, reason, planned)
