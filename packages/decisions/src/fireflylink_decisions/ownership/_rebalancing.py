"""Moves that even out load, within the bound on churn."""

import math

from fireflylink_core import Service, ShardKey, ShardRecord
from fireflylink_decisions.ownership._claims import CLAIM_REASON
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._hot_keys import COOL_REASON, HOT_REASON
from fireflylink_decisions.ownership._ledger import BOUND_FACTOR, GroupLoad, ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._records import NO_RELEASE, all_records
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._transfers import (
    can_move_planned,
    can_transfer,
    catch_up,
    exceptions_of,
    transfer_shard,
)

REBALANCING_REASON = "rebalanced"
MINUTE_MS = 60_000

START_ABOVE = 1.10
STOP_ABOVE = 1.05
"""Bounds on max/mean load: rebalancing starts above the first and stops below the second."""

START_BELOW = 0.75
STOP_BELOW = 0.95
"""Bounds on min/mean load, so that a server or data centre that returns is filled up."""

DISPLACEMENT_GAIN = 0.95
"""A shard is moved beyond the bound only if the higher of both loads falls to this multiple."""


class RebalancingRule(BaseRule):
    """Moves shards from the most to the least loaded groups.

    Each data centre of a service has an equal part of the bound on churn, so that deciders that
    plan at the same time stay within it together.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        if draft.own.base is None or draft.own.previous_voters:
            return
        for service in draft.own_services():
            if draft.data_centre not in service.data_centres:
                continue
            allowance = churn_allowance(draft, service)
            if allowance <= 0:
                continue
            measure = LoadMeasure(draft, service)
            balancer = _Balancer(draft, measure, measure.ledger())
            while allowance > 0 and balancer.step():
                allowance -= 1


def churn_allowance(draft: PlanningDraft, service: Service) -> int:
    """Returns the number of shards that this table may move now.

    A rate below one shard a minute gives one shard in a longer period.
    """
    share = service.churn_percent_per_minute / 100.0 / len(service.data_centres)
    rate = share * service.shard_count
    if rate <= 0:
        return 0
    count = max(1, math.floor(rate))
    period_ms = MINUTE_MS * max(1.0, 1.0 / rate)
    return count - _recent_moves(draft, service, period_ms)


def _recent_moves(draft: PlanningDraft, service: Service, period_ms: float) -> int:
    """Counts the shards and single keys that left a group of this table within a period."""
    origins = draft.own.groups.keys()
    recent = 0
    for table in draft.tables.values():
        for _, key, record in all_records(table):
            if key[0] != service.name or record.released_to is not None:
                continue
            moved_here = table is draft.own and record.previous_group == NO_RELEASE
            if moved_here or record.previous_group in origins:
                recent += _is_recent(draft, record, period_ms)
    return recent


def _is_recent(draft: PlanningDraft, record: ShardRecord, period_ms: float) -> bool:
    moved = record.reason not in (CLAIM_REASON, HOT_REASON, COOL_REASON)
    return moved and draft.source.now_ms - record.since_ms < period_ms


class _Movable:
    """A shard or single key that may be moved, with its load."""

    __slots__ = ("exception", "key", "load")

    def __init__(self, key: ShardKey, exception: bool, load: float) -> None:
        self.key = key
        self.exception = exception
        self.load = load


class _Balancer:
    """One service's loads while shards are moved."""

    __slots__ = ("active", "draft", "ledger", "mean", "measure", "targets")

    def __init__(self, draft: PlanningDraft, measure: LoadMeasure, ledger: ServiceLedger) -> None:
        self.draft = draft
        self.measure = measure
        self.ledger = ledger
        tables = [
            table_id
            for table_id in draft.tables_of(measure.service)
            if table_id not in ledger.unmeasured or table_id == draft.own.table_id
        ]
        self.targets = ledger.usable(tables)
        slots = sum(load.slots for load in self.targets)
        self.mean = sum(load.load for load in self.targets) / slots if slots else 0.0
        self.active = self._recently_active()

    def _recently_active(self) -> bool:
        """Tells whether rebalancing has started and not yet reached its lower bound."""
        return any(
            key[0] == self.measure.service.name
            and record.reason == REBALANCING_REASON
            and _is_recent(self.draft, record, 2 * MINUTE_MS)
            for table in self.draft.tables.values()
            for key, record in table.shards.items()
        )

    def step(self) -> bool:
        """Makes the best move; tells whether there was one."""
        if self.mean <= 0:
            return False
        above = self.mean * (STOP_ABOVE if self.active else START_ABOVE)
        below = self.mean * (STOP_BELOW if self.active else START_BELOW)
        starved = [
            load for load in self.targets if load.relative() < below and self._room(load) > 0
        ]
        sources = [load for load in self.targets if load.table_id == self.draft.own.table_id]
        sources.sort(key=lambda load: (-load.relative(), load.group.group_id))
        for source in sources:
            targets = self.targets if source.relative() > above else starved
            if source.relative() > self.mean and self._move_from(source, targets):
                self.active = True
                return True
        return False

    def _room(self, target: GroupLoad) -> float:
        return self.ledger.bound(target.cold_slots, self.mean) - target.load

    def _move_from(self, source: GroupLoad, targets: list[GroupLoad]) -> bool:
        ranked = sorted(
            (load for load in targets if load is not source),
            key=lambda load: (
                load.relative() >= self.mean,
                load.table_id != source.table_id,
                load.relative(),
                load.group.group_id,
            ),
        )
        movable = self._movable(source) if ranked else []
        for target in ranked:
            found = self._best(source, target, movable)
            if found is not None:
                self._apply(source, target, found)
                return True
        return self._displace(source, ranked, movable)

    def _displace(
        self, source: GroupLoad, targets: list[GroupLoad], movable: list[_Movable]
    ) -> bool:
        """Moves an entry for which no group has room, if the higher load falls by enough.

        The group that takes it gives up smaller shards afterwards. This separates hot keys.
        """
        pairs = [
            (max(source.relative(-entry.load), target.relative(entry.load)), entry, target)
            for entry in movable
            for target in targets
        ]
        for highest, entry, target in sorted(pairs, key=lambda pair: pair[0]):
            if highest > source.relative() * DISPLACEMENT_GAIN:
                return False
            if self._may_move(source, target, entry):
                self._apply(source, target, entry)
                return True
        return False

    def _movable(self, source: GroupLoad) -> list[_Movable]:
        """Returns the shards and single keys that may leave a group, the largest first."""
        found: list[_Movable] = []
        for exception, key, record in all_records(self.draft.own):
            if key[0] != self.measure.service.name or record.released_to is not None:
                continue
            if record.group_id != source.group.group_id:
                continue
            if not self._is_recent(record) and self._is_settled(key, exception):
                load = self.measure.load(source.table_id, key, exception)
                found.append(_Movable(key, exception, load))
        return sorted(found, key=lambda entry: (-entry.load, entry.key))

    def _is_recent(self, record: ShardRecord) -> bool:
        return self.draft.source.now_ms - record.since_ms < MINUTE_MS and (
            record.reason != CLAIM_REASON
        )

    def _is_settled(self, key: ShardKey, exception: bool) -> bool:
        if exception:
            return not self.draft.unsettled(key, True)
        return can_move_planned(self.draft, self.measure.service, key[1])

    def _best(
        self, source: GroupLoad, target: GroupLoad, movable: list[_Movable]
    ) -> _Movable | None:
        """Returns the largest entry within the excess, so that few moves are enough.

        If there is none, the smallest one is moved as long as the higher of both loads falls.
        """
        excess = (source.load - self.mean * source.slots) * BOUND_FACTOR
        fitting = [entry for entry in movable if 0 < entry.load <= self._room(target)]
        within = [entry for entry in fitting if entry.load <= excess]
        beyond = [entry for entry in reversed(fitting) if entry.load > excess]
        for entry in within + beyond:
            if target.relative(entry.load) >= source.relative():
                continue
            if self._may_move(source, target, entry):
                return entry
        return None

    def _may_move(self, source: GroupLoad, target: GroupLoad, entry: _Movable) -> bool:
        if not target.admits(self.measure.service, self._index(entry)):
            return False
        if target.table_id == source.table_id:
            return True
        return not entry.exception and self._may_leave(target, entry)

    def _may_leave(self, target: GroupLoad, entry: _Movable) -> bool:
        """Tells whether a shard may move to another table.

        One with single-key exceptions stays, as it would take the load of its hot keys along.
        """
        if exceptions_of(self.draft, self.draft.own, self.measure.service, entry.key[1]):
            return False
        destination = self.draft.tables[target.table_id]
        if can_transfer(self.draft, self.draft.own, destination, entry.key):
            return True
        catch_up(self.draft, destination, entry.key)
        return False

    def _index(self, entry: _Movable) -> int:
        return self.measure.shard_index(entry.key, entry.exception)

    def _apply(self, source: GroupLoad, target: GroupLoad, entry: _Movable) -> None:
        group_id = target.group.group_id
        if target.table_id == source.table_id:
            self.draft.move(entry.key, entry.exception, group_id, REBALANCING_REASON, True)
            source.load -= entry.load
            target.load += entry.load
            return
        transfer_shard(
            self.draft,
            self.ledger,
            self.draft.own,
            entry.key[1],
            group_id,
            REBALANCING_REASON,
            True,
        )
        source.load -= entry.load
        target.load += entry.load
