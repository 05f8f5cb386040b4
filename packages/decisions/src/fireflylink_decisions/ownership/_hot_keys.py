"""Single-key exceptions for hot keys."""

from fireflylink_core import Service, ServiceKind, ShardKey, ShardRecord
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._ledger import ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure, subject_of
from fireflylink_decisions.ownership._rule import BaseRule

HOT_SHARE = 0.25
"""A key whose load exceeds this share of a server's mean load gets an exception."""

COOL_SHARE = 0.125
"""An exception ends once its key's load is below this share of a server's mean load."""

MIN_EXCEPTION_MS = 60_000
"""An exception lasts at least this long, so that a key at the limit does not move to and fro."""

HOT_REASON = "hot key"
COOL_REASON = "hot key cooled down"


class HotKeyRule(BaseRule):
    """Gives each hot key its own record, and ends the exceptions of keys that cooled down.

    An exception ends in two steps, each settled: first it names the group of the shard, then it is
    removed. Otherwise no record would name the server that may still serve the key.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if draft.own.base is None or draft.own.previous_voters:
            return
        for service in draft.own_services():
            if service.kind is ServiceKind.KEYED and _has_keys(draft, service):
                measure = LoadMeasure(draft, service)
                ledger = measure.ledger()
                mean = mean_server_load(ledger, draft.tables_of(service))
                if not measure.measured or mean <= 0:
                    continue
                self._cool(draft, service, mean)
                self._heat(draft, measure, ledger, mean)

    def _heat(
        self, draft: PlanningDraft, measure: LoadMeasure, ledger: ServiceLedger, mean: float
    ) -> None:
        hot = sorted(
            (
                (key, load)
                for key, load in draft.source.hot_keys.items()
                if key[0] == measure.service.name and load > HOT_SHARE * mean
            ),
            key=lambda entry: (-entry[1], entry[0]),
        )
        for key, load in hot:
            shard_key = (key[0], key[1] % measure.service.shard_count)
            if not _is_plain(draft, shard_key, False) or _has_exception(draft, key):
                continue
            shard = draft.own.shards[shard_key]
            ledger.add(shard.group_id, -load)
            item = measure.item(draft.own.table_id, key, True)
            placed = ledger.place([item], ledger.usable([draft.own.table_id]))
            target = placed.get(subject_of(key, True))
            if target is not None:
                self._create(draft, key, shard, target.group.group_id)

    def _create(
        self, draft: PlanningDraft, key: ShardKey, shard: ShardRecord, group_id: str
    ) -> None:
        former = draft.own.exceptions.get(key)
        draft.own.exceptions[key] = ShardRecord(
            group_id,
            max(shard.epoch, former.epoch if former else 0) + 1,
            draft.own.version,
            draft.source.now_ms,
            HOT_REASON,
            previous_group=None if group_id == shard.group_id else shard.group_id,
        )
        draft.note(key, shard.group_id, group_id, HOT_REASON, True)

    def _cool(self, draft: PlanningDraft, service: Service, mean: float) -> None:
        for key, record in sorted(draft.own.exceptions.items()):
            if key[0] != service.name or not _is_plain(draft, key, True):
                continue
            if draft.source.hot_keys.get(key, 0.0) >= COOL_SHARE * mean:
                continue
            recent = draft.source.now_ms - record.since_ms < MIN_EXCEPTION_MS
            if recent and record.reason != COOL_REASON:
                continue
            self._end(draft, service, key, record)

    def _end(
        self, draft: PlanningDraft, service: Service, key: ShardKey, record: ShardRecord
    ) -> None:
        shard_key = (key[0], key[1] % service.shard_count)
        if not _is_plain(draft, shard_key, False):
            return
        shard = draft.own.shards[shard_key]
        if record.group_id != shard.group_id:
            draft.move(key, True, shard.group_id, COOL_REASON, True)
            return
        del draft.own.exceptions[key]
        # The next exception of the key has to have a higher epoch than this one.
        epoch = max(shard.epoch, record.epoch)
        draft.own.shards[shard_key] = shard.replace(epoch=epoch)


def _has_exception(draft: PlanningDraft, key: ShardKey) -> bool:
    """Tells whether a key has an exception or still depends on the release of an earlier one."""
    return any(
        key in table.exceptions and table.exceptions[key].released_to is None
        for table in draft.tables.values()
    )


def _has_keys(draft: PlanningDraft, service: Service) -> bool:
    names = [key[0] for key in draft.source.hot_keys]
    names += [key[0] for key in draft.own.exceptions]
    return service.name in names


def _is_plain(draft: PlanningDraft, key: ShardKey, exception: bool) -> bool:
    """Tells whether an own record is in effect and no earlier owner may hold its shard."""
    record = draft.own.book(exception).get(key)
    if record is None or record.released_to is not None:
        return False
    return not draft.unsettled(key, exception)


def mean_server_load(ledger: ServiceLedger, table_ids: list[str]) -> float:
    """Returns the mean load of the usable servers of a service."""
    usable = ledger.usable(table_ids)
    servers = sum(len(load.servers) for load in usable)
    return sum(load.load for load in usable) / servers if servers else 0.0
