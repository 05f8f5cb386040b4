"""Moves of shards between tables."""

from fireflylink_core import DataCentreState, Service, ShardKey, ShardRecord
from fireflylink_decisions.ownership._draft import PlanningDraft, TableDraft
from fireflylink_decisions.ownership._ledger import ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure, subject_of
from fireflylink_decisions.ownership._records import in_transit, releases
from fireflylink_decisions.ownership._rule import BaseRule

COMPLETE_REASON = "completed move"


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


def can_move_planned(
    draft: PlanningDraft, source: TableDraft, service: Service, index: int
) -> bool:
    """Tells whether no earlier owner can still hold the shard or one of its single keys."""
    settled = draft.source.settled_version
    if in_transit(source.shards[(service.name, index)], settled):
        return False
    return not any(
        in_transit(source.exceptions[key], settled)
        for key in exceptions_of(draft, source, service, index)
    )


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


def linked(record: ShardRecord, pending: ShardRecord | None, source: TableDraft) -> bool:
    """Tells whether a pending record would take effect if the source released the shard."""
    if pending is None or pending.pending_from != source.table_id:
        return False
    return record.epoch + 1 == pending.epoch


class PendingRule(BaseRule):
    """Finishes moves between tables whose second or later write did not follow."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        self._confirm(draft)
        self._confirm_from_lost(draft)
        self._bury(draft)
        self._recover(draft)
        for service in draft.own_services():
            self._resolve(draft, service)

    def _confirm(self, draft: PlanningDraft) -> None:
        """Makes records at destinations plain once the release by this table is settled."""
        own = draft.own
        for exception in (False, True):
            for key, record in own.book(exception).items():
                if record.released_to not in draft.tables:
                    continue
                if record.changed_version > draft.source.settled_version:
                    continue
                book = draft.tables[record.released_to].book(exception)
                pending = book.get(key)
                if pending is None or pending.pending_from != own.table_id:
                    continue
                if releases(record, pending, record.released_to):
                    book[key] = pending.replace(pending_from=None)

    def _confirm_from_lost(self, draft: PlanningDraft) -> None:
        """Does the same for records from lost data centres, whose tables have no decider."""
        own = draft.own
        for exception in (False, True):
            book = own.book(exception)
            for key, record in list(book.items()):
                if record.pending_from is None or record.changed_version > (
                    draft.source.settled_version
                ):
                    continue
                lost = draft.state_of(record.pending_from.rpartition(".")[0])
                if lost is DataCentreState.LOST and draft.record_active(
                    own.table_id, key, exception
                ):
                    book[key] = record.replace(pending_from=None)

    def _bury(self, draft: PlanningDraft) -> None:
        """Turns pending records that can never take effect into released ones.

        They are not deleted, so that a table without a record never had the shard.
        """
        own = draft.own
        for exception in (False, True):
            book = own.book(exception)
            for key, record in list(book.items()):
                if record.pending_from not in draft.tables or record.released_to is not None:
                    continue
                source = draft.tables[record.pending_from].book(exception).get(key)
                if source is None or releases(source, record, own.table_id):
                    continue
                if source.epoch >= record.epoch or source.released_to is not None:
                    book[key] = record.replace(pending_from=None, released_to=record.pending_from)

    def _recover(self, draft: PlanningDraft) -> None:
        """Takes up shards that were released to this table but have no record in it.

        This happens if a decider with an earlier configuration dropped a service's records.
        """
        for service in draft.own_services():
            for table_id, table in draft.tables.items():
                for key, record in list(table.shards.items()):
                    if record.released_to != draft.own.table_id or key in draft.own.shards:
                        continue
                    if key[0] == service.name and _is_latest(draft, key, record):
                        self._take_up(draft, service, table_id, key, record)

    def _take_up(
        self,
        draft: PlanningDraft,
        service: Service,
        table_id: str,
        key: ShardKey,
        record: ShardRecord,
    ) -> None:
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        placed = ledger.place(
            [measure.item(table_id, key, False)], ledger.usable([draft.own.table_id])
        )
        for subject in placed:
            draft.restore(table_id, key, record, placed[subject].group.group_id)

    def _resolve(self, draft: PlanningDraft, service: Service) -> None:
        """Completes pending moves out of this table, or gives them up if the group is unusable."""
        waiting = _waiting(draft, service)
        if not waiting:
            return
        ledger = LoadMeasure(draft, service).ledger()
        for exception, key, table_id in waiting:
            record = draft.own.book(exception)[key]
            if record.released_to is not None:
                continue
            group_id = draft.tables[table_id].book(exception)[key].group_id
            group = ledger.groups.get(group_id)
            index = key[1] % service.shard_count
            usable = group is not None and group.slots > 0 and group.admits(service, index)
            if usable and not exception and can_move_planned(draft, draft.own, service, index):
                transfer_shard(draft, ledger, draft.own, index, group_id, COMPLETE_REASON, True)
            elif record.pending_from is None:
                # The higher epoch keeps the pending record from ever taking effect.
                draft.own.book(exception)[key] = record.replace(epoch=record.epoch + 1)


def _waiting(draft: PlanningDraft, service: Service) -> list[tuple[bool, ShardKey, str]]:
    """Lists the pending records, shards first, that a release by this table would put in effect."""
    found: list[tuple[bool, ShardKey, str]] = []
    for table_id, table in sorted(draft.tables.items()):
        for exception in (False, True):
            for key, pending in table.book(exception).items():
                if key[0] != service.name or not draft.record_active(
                    draft.own.table_id, key, exception
                ):
                    continue
                if linked(draft.own.book(exception)[key], pending, draft.own):
                    found.append((exception, key, table_id))
    return sorted(found)


def _is_latest(draft: PlanningDraft, key: ShardKey, record: ShardRecord) -> bool:
    epochs = [table.shards[key].epoch for table in draft.tables.values() if key in table.shards]
    return record.epoch >= max(epochs)


class TakeoverRule(BaseRule):
    """Takes shards of data centres that operators declared lost."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if not draft.local_members():
            return
        if draft.state_of(draft.data_centre) is DataCentreState.LOST:
            return
        for service in draft.own_services():
            for table_id in draft.tables_of(service):
                lost = draft.state_of(table_id.rpartition(".")[0]) is DataCentreState.LOST
                if lost and table_id != draft.own.table_id:
                    self._take(draft, service, draft.tables[table_id])

    def _take(self, draft: PlanningDraft, service: Service, source: TableDraft) -> None:
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        subjects: dict[str, int] = {}
        for key in sorted(source.shards):
            if key[0] == service.name and draft.record_active(source.table_id, key, False):
                subjects[subject_of(key, False)] = key[1]
        if not subjects:
            return
        items = [
            measure.item(source.table_id, (service.name, index), False)
            for index in subjects.values()
        ]
        placed = ledger.place(items, ledger.usable(draft.tables_of(service)))
        for subject, index in subjects.items():
            group_id = self._destination(draft, ledger, source, index)
            target = placed.get(subject)
            if group_id is None and target and target.table_id == draft.own.table_id:
                group_id = target.group.group_id
            if group_id is not None:
                reason = "data centre lost"
                transfer_shard(draft, ledger, source, index, group_id, reason, False)
                self._adopt(draft, source)

    def _destination(
        self, draft: PlanningDraft, ledger: ServiceLedger, source: TableDraft, index: int
    ) -> str | None:
        """Returns the group of a pending record that this table already has."""
        key = (ledger.service.name, index)
        pending = draft.own.shards.get(key)
        if pending is None or not linked(source.shards[key], pending, source):
            return None
        return pending.group_id if pending.group_id in ledger.groups else None

    def _adopt(self, draft: PlanningDraft, source: TableDraft) -> None:
        """Gives a lost data centre's table voters that can settle the release.

        Its former voters are not asked: the operators' word says that they no longer act.
        """
        adopted = {
            voter
            for table_id, table in draft.tables.items()
            if draft.state_of(table_id.rpartition(".")[0]) is DataCentreState.IN
            for voter in table.voters
        }
        if not adopted & set(source.voters) and draft.own.voters:
            source.voters = draft.own.voters
            source.previous_voters = ()
