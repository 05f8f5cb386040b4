"""Moves that even out load, within the bound on churn."""

import math

from fireflylink_core import Service, ShardRecord
from fireflylink_decisions.ownership._claims import CLAIM_REASON
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._ledger import BOUND_FACTOR, GroupLoad, ServiceLedger
from fireflylink_decisions.ownership._measure import LoadMeasure
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._transfers import can_move_planned, transfer_shard

REBALANCING_REASON = "rebalanced"
MINUTE_MS = 60_000

START_ABOVE = 1.10
STOP_ABOVE = 1.05
"""Bounds on max/mean load: rebalancing starts above the first and stops below the second."""

START_BELOW = 0.75
STOP_BELOW = 0.95
"""Bounds on min/mean load, so that a server or data centre that returns is filled up."""


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
    """Counts the shards that left a group of this table within a period."""
    origins = draft.own.groups.keys()
    recent = 0
    for table in draft.tables.values():
        for key, record in table.shards.items():
            if key[0] != service.name or record.released_to is not None:
                continue
            if _is_recent(draft, record, period_ms) and (
                table is draft.own or record.previous_group in origins
            ):
                recent += 1
    return recent


def _is_recent(draft: PlanningDraft, record: ShardRecord, period_ms: float) -> bool:
    moved = record.reason != CLAIM_REASON
    return moved and draft.source.now_ms - record.since_ms < period_ms


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
        if self.mean <= 0 or not self.targets:
            return False
        above = self.mean * (STOP_ABOVE if self.active else START_ABOVE)
        below = self.mean * (STOP_BELOW if self.active else START_BELOW)
        starved = min(load.relative() for load in self.targets) < below
        sources = [load for load in self.targets if load.table_id == self.draft.own.table_id]
        sources.sort(key=lambda load: (-load.relative(), load.group.group_id))
        for source in sources:
            if source.relative() <= (self.mean if starved else above):
                return False
            if self._move_from(source):
                self.active = True
                return True
        return False

    def _move_from(self, source: GroupLoad) -> bool:
        ranked = sorted(
            (load for load in self.targets if load is not source),
            key=lambda load: (
                load.relative() >= self.mean,
                load.table_id != source.table_id,
                load.relative(),
                load.group.group_id,
            ),
        )
        movable = self._movable(source)
        for target in ranked:
            index = self._best_shard(source, target, movable)
            if index is not None:
                self._apply(source, target, index)
                return True
        return False

    def _movable(self, source: GroupLoad) -> list[tuple[float, int]]:
        """Returns load and index of the shards that may leave a group, the largest first."""
        own = self.draft.own
        service = self.measure.service
        found = [
            (self.measure.load(own.table_id, key, False), key[1])
            for key, record in own.shards.items()
            if key[0] == service.name
            and record.group_id == source.group.group_id
            and record.released_to is None
            and not _is_recent(self.draft, record, MINUTE_MS)
            and can_move_planned(self.draft, own, service, key[1])
        ]
        return sorted(found, key=lambda entry: (-entry[0], entry[1]))

    def _best_shard(
        self, source: GroupLoad, target: GroupLoad, movable: list[tuple[float, int]]
    ) -> int | None:
        """Returns the largest shard that fits, so that few moves are enough."""
        excess = source.load - self.mean * source.slots
        room = self.mean * target.slots * BOUND_FACTOR - target.load
        for load, index in movable:
            if load > min(room, excess * BOUND_FACTOR) or load <= 0:
                continue
            improves = target.relative(load) < source.relative()
            if improves and target.admits(self.measure.service, index):
                return index
        return None

    def _apply(self, source: GroupLoad, target: GroupLoad, index: int) -> None:
        key = (self.measure.service.name, index)
        load = self.measure.load(source.table_id, key, False)
        group_id = target.group.group_id
        if target.table_id == source.table_id:
            self.draft.move(key, False, group_id, REBALANCING_REASON, True)
        else:
            transfer_shard(
                self.draft, self.ledger, self.draft.own, index, group_id, REBALANCING_REASON, True
            )
        source.load -= load
        target.load += load
