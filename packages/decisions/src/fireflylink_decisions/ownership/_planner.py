"""The planner of the system: rules applied in order to a draft."""

from fireflylink_core import (
    DataCentreState,
    Isolation,
    OwnershipTable,
    data_centre_of_table,
    isolation_of_table,
)
from fireflylink_decisions.ownership._claims import ClaimRule, WithdrawalRule
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._errors import OwnershipError
from fireflylink_decisions.ownership._groups import GatewayRule, GroupRule
from fireflylink_decisions.ownership._hot_keys import HotKeyRule
from fireflylink_decisions.ownership._pending import (
    CleanupRule,
    ConfirmationRule,
    OrphanRule,
    RecoveryRule,
)
from fireflylink_decisions.ownership._plan import EMPTY_PLAN, BasePlanner, Plan, PlanningInput
from fireflylink_decisions.ownership._rebalancing import RebalancingRule
from fireflylink_decisions.ownership._relocation import RelocationRule
from fireflylink_decisions.ownership._rule import BaseRule
from fireflylink_decisions.ownership._takeover import TakeoverRule
from fireflylink_decisions.ownership._voters import VoterRule


class BoundedLoadPlanner(BasePlanner):
    """Places shards by bounded-load rendezvous hashing.

    Example::

        plan = BoundedLoadPlanner().plan(planning_input)
        for table in plan.tables:
            write_by_cas(table)
    """

    __slots__ = ("rules",)

    def __init__(self) -> None:
        self.rules: tuple[BaseRule, ...] = (
            VoterRule(),
            WithdrawalRule(),
            GroupRule(),
            GatewayRule(),
            ConfirmationRule(),
            CleanupRule(),
            OrphanRule(),
            RecoveryRule(),
            ClaimRule(),
            RelocationRule(),
            TakeoverRule(),
            HotKeyRule(),
            RebalancingRule(),
        )

    def plan(self, planning_input: PlanningInput) -> Plan:
        _check(planning_input)
        if planning_input.configuration.version == 0:
            return EMPTY_PLAN
        draft = PlanningDraft(planning_input)
        if draft.own.base is None and not _wants_table(draft):
            return EMPTY_PLAN
        for rule in self.rules:
            rule.apply(draft)
        return Plan(_changed_tables(draft), tuple(draft.moves))


def _check(planning_input: PlanningInput) -> None:
    table_id = planning_input.table_id
    try:
        isolation_of_table(table_id)
    except ValueError:
        raise OwnershipError(
            f"table_id {table_id!r} is not '<data centre>.keep' or '<data centre>.yield'"
        ) from None
    if not planning_input.write_id:
        raise OwnershipError("write_id is empty; it has to be unique to the write")


def _wants_table(draft: PlanningDraft) -> bool:
    """Tells whether a table that does not exist is to be created."""
    if not draft.local_members() or draft.data_centre not in draft.configuration.data_centres:
        return False
    if draft.state_of(draft.data_centre) is DataCentreState.LOST:
        return False
    # The keep table is always needed, as its first live voter is the root of the data centre.
    if draft.isolation is Isolation.KEEP:
        return True
    return any(draft.data_centre in service.data_centres for service in draft.own_services())


def _changed_tables(draft: PlanningDraft) -> tuple[OwnershipTable, ...]:
    """Returns the changed tables: destinations, the own table, then lost sources."""
    order = sorted(draft.tables, key=lambda table_id: (_rank(draft, table_id), table_id))
    built = [draft.tables[table_id].built(draft.source.write_id) for table_id in order]
    return tuple(table for table in built if table is not None)


def _rank(draft: PlanningDraft, table_id: str) -> int:
    if table_id == draft.own.table_id:
        return 1
    lost = draft.state_of(data_centre_of_table(table_id)) is DataCentreState.LOST
    return 2 if lost else 0
