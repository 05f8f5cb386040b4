"""Moves between tables whose later writes did not follow yet."""

from fireflylink_core import DataCentreState, Service, ShardKey, ShardRecord, data_centre_of_table
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._ledger import ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._records import record_in, releases
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._transfers import can_move_planned, linked, transfer_shard

COMPLETE_REASON = "completed move"


class ConfirmationRule(BaseRule):
    """Makes pending records plain once the release by their source is settled.

    The decider of the source does this, as only it knows which versions of the source are settled.
    A data centre that operators declared lost has no decider, and nothing of it acts any longer.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        for exception in (False, True):
            self._as_source(draft, exception)
        self._from_lost(draft)

    def _as_source(self, draft: PlanningDraft, exception: bool) -> None:
        own = draft.own
        for table_id, table in draft.tables.items():
            book = table.book(exception)
            for key, pending in list(book.items()):
                if pending.pending_from != own.table_id:
                    continue
                record = own.book(exception).get(key)
                if record is None or record.changed_version > draft.source.settled_version:
                    continue
                if _is_released(record, pending, table_id):
                    book[key] = pending.replace(pending_from=None)

    def _from_lost(self, draft: PlanningDraft) -> None:
        """Confirms shards that came from a lost table, each together with its single keys."""
        own = draft.own
        for key, record in list(own.shards.items()):
            if record.pending_from is None or record.released_to is not None:
                continue
            if key[0] not in draft.configuration.services:
                continue
            moved = [(False, key), *_pending_keys(draft, key, record.pending_from)]
            if all(self._is_confirmed(draft, *found) for found in moved):
                for exception, found_key in moved:
                    book = own.book(exception)
                    book[found_key] = book[found_key].replace(pending_from=None)

    def _is_confirmed(self, draft: PlanningDraft, exception: bool, key: ShardKey) -> bool:
        record = draft.own.book(exception)[key]
        if record.pending_from is None or record.changed_version > draft.source.settled_version:
            return False
        if not draft.record_active(draft.own.table_id, key, exception):
            return False
        return self._is_lost_for_good(draft, key, record.pending_from, exception)

    def _is_lost_for_good(
        self, draft: PlanningDraft, key: ShardKey, table_id: str, exception: bool
    ) -> bool:
        """Tells whether a table is lost and no owner before it can hold the shard either."""
        if draft.state_of(data_centre_of_table(table_id)) is not DataCentreState.LOST:
            return False
        record = record_in(draft.tables.get(table_id), key, exception)
        return record is not None and record.pending_from is None


def _pending_keys(
    draft: PlanningDraft, shard_key: ShardKey, source: str
) -> list[tuple[bool, ShardKey]]:
    """Lists the single keys of an own shard that are pending from the same table."""
    return [
        (True, key)
        for key, record in draft.own.exceptions.items()
        if record.pending_from == source
        and record.released_to is None
        and _shard_key(draft, key) == shard_key
    ]


def _is_released(record: ShardRecord, pending: ShardRecord, table_id: str) -> bool:
    """Tells whether a settled own record proves that no earlier owner can hold the shard.

    An own record that is itself pending depends on the settling of a third table. If the shard came
    back to this table on the way, its present record is above the released one and later than the
    release.
    """
    if releases(record, pending, table_id):
        return record.pending_from is None
    return pending.released_to is not None and record.epoch > pending.epoch


class CleanupRule(BaseRule):
    """Ends pending records that can never take effect and drops old releases of single keys.

    A shard's dead record becomes a released one instead of being deleted, so that a table without
    a record of a shard never had it. Records of single keys are deleted, as their number would grow
    with every change of the hot keys.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        own = draft.own
        for key, record in list(own.shards.items()):
            if record.released_to is None and _is_dead(draft, key, record, False):
                own.shards[key] = record.replace(pending_from=None, released_to=record.pending_from)
        for key, record in list(own.exceptions.items()):
            if record.released_to is None:
                if _is_dead(draft, key, record, True) or self._is_stray(draft, key, record):
                    del own.exceptions[key]
            elif self._is_passed_on(draft, key, record):
                del own.exceptions[key]

    def _is_stray(self, draft: PlanningDraft, key: ShardKey, record: ShardRecord) -> bool:
        """Tells whether a key's record is pending although its shard is not.

        Both move in the same writes, so the move that made the record was given up.
        """
        if record.pending_from is None or draft.record_active(draft.own.table_id, key, True):
            return False
        shard = record_in(draft.own.base, _shard_key(draft, key), False)
        return shard is None or shard.pending_from != record.pending_from

    def _is_passed_on(self, draft: PlanningDraft, key: ShardKey, record: ShardRecord) -> bool:
        """Tells whether no pending record depends on the release of a single key."""
        # A destination that this plan changes may be written after this table.
        written = draft.source.tables
        if record.changed_version > draft.source.settled_version:
            return False
        shard_key = _shard_key(draft, key)
        shard = draft.own.shards.get(shard_key)
        for table in written.values():
            found = table.exceptions.get(key)
            if found is not None and found.pending_from == draft.own.table_id:
                return False
        if shard is None or shard.released_to is None:
            return True
        # The known version of the destination has to be one that includes the move.
        destination = written.get(shard.released_to)
        moved = destination.shards.get(shard_key) if destination else None
        return moved is not None and moved.epoch > shard.epoch


def _is_dead(draft: PlanningDraft, key: ShardKey, record: ShardRecord, exception: bool) -> bool:
    """Tells whether a pending record can never take effect.

    The known source record may be out of date. It counts only from the epoch on from which the
    record was made.
    """
    if record.pending_from not in draft.tables:
        return False
    source = draft.tables[record.pending_from].book(exception).get(key)
    if source is None or releases(source, record, draft.own.table_id):
        return False
    if source.epoch >= record.epoch:
        return True
    return source.released_to is not None and source.epoch + 1 == record.epoch


def _shard_key(draft: PlanningDraft, key: ShardKey) -> ShardKey:
    return key[0], key[1] % draft.configuration.services[key[0]].shard_count


class OrphanRule(BaseRule):
    """Completes or gives up moves out of the own table that have only their first write."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        for service in draft.own_services():
            waiting = _waiting(draft, service)
            if waiting:
                ledger = LoadMeasure(draft, service).ledger()
                for exception, key, table_id in waiting:
                    self._resolve(draft, ledger, exception, key, table_id)

    def _resolve(
        self,
        draft: PlanningDraft,
        ledger: ServiceLedger,
        exception: bool,
        key: ShardKey,
        table_id: str,
    ) -> None:
        record = draft.own.book(exception)[key]
        if record.released_to is not None:
            return
        service = ledger.service
        group_id = draft.tables[table_id].book(exception)[key].group_id
        if not exception and self._is_usable(ledger, group_id, key[1]):
            if can_move_planned(draft, service, key[1]):
                transfer_shard(draft, ledger, draft.own, key[1], group_id, COMPLETE_REASON, True)
        elif record.pending_from is None:
            # The higher epoch keeps the pending record from ever taking effect.
            draft.own.book(exception)[key] = record.replace(epoch=record.epoch + 1)

    def _is_usable(self, ledger: ServiceLedger, group_id: str, index: int) -> bool:
        group = ledger.groups.get(group_id)
        return group is not None and group.slots > 0 and group.admits(ledger.service, index)


def _waiting(draft: PlanningDraft, service: Service) -> list[tuple[bool, ShardKey, str]]:
    """Lists the pending records, shards first, that a release by this table would put in effect."""
    found: list[tuple[bool, ShardKey, str]] = []
    for table_id, table in draft.tables.items():
        for exception in (False, True):
            for key, pending in table.book(exception).items():
                if key[0] != service.name or pending.pending_from != draft.own.table_id:
                    continue
                if not draft.record_active(draft.own.table_id, key, exception):
                    continue
                if linked(draft.own.book(exception)[key], pending, draft.own):
                    found.append((exception, key, table_id))
    return sorted(found)


class RecoveryRule(BaseRule):
    """Takes up shards that were released to this table but have no record in it.

    This happens if a decider with an earlier configuration dropped the records of a service.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if not draft.local_members():
            return
        for service in draft.own_services():
            for table_id, table in sorted(draft.tables.items()):
                for key, record in sorted(table.shards.items()):
                    missing = record.released_to == draft.own.table_id and (
                        key not in draft.own.shards
                    )
                    if missing and key[0] == service.name and _is_latest(draft, key, record):
                        self._take_up(draft, service, table_id, key)

    def _take_up(
        self, draft: PlanningDraft, service: Service, table_id: str, key: ShardKey
    ) -> None:
        measure = LoadMeasure(draft, service)
        ledger = measure.ledger()
        item = measure.item(table_id, key, False)
        placed = ledger.place([item], ledger.usable([draft.own.table_id]))
        if item.subject in placed:
            draft.restore(table_id, key, placed[item.subject].group.group_id)


def _is_latest(draft: PlanningDraft, key: ShardKey, record: ShardRecord) -> bool:
    return all(
        table.shards[key].epoch <= record.epoch
        for table in draft.tables.values()
        if key in table.shards
    )
