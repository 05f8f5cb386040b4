"""Building the planner's input and keeping track of platform revisions."""

from fireflylink_core import (
    DataCentreState,
    OwnershipTable,
    ServerStatus,
    data_centre_of_table,
)
from fireflylink_daemon._control_state import ControlState
from fireflylink_daemon._platform_task import OWNERSHIP_PREFIX, WriteTables, new_write_id
from fireflylink_decisions.ownership import BasePlanner, PlanningInput
from fireflylink_platform_client import Entry

MILLISECONDS_PER_SECOND = 1000.0
WRITE_TIMEOUT = 5.0
"""Seconds after which a plan whose writes have not been reported is given up."""


class PlanningDesk:
    """Makes plans for tables and remembers at which revision each table may be written.

    At most one plan of a table is on its way to the platform. A table is planned only when the
    version held here is the one that the platform was last seen to have.
    """

    __slots__ = ("_busy_until", "_revisions", "planner")

    def __init__(self, planner: BasePlanner) -> None:
        self.planner = planner
        self._revisions: dict[str, tuple[int, int]] = {}
        self._busy_until: dict[str, float] = {}

    def note_entry(self, entry: Entry, version: int) -> None:
        """Takes the revision at which the platform holds a version of a table."""
        table_id = entry.key.removeprefix(OWNERSHIP_PREFIX)
        self.note_revision(table_id, version, entry.revision)

    def note_revision(self, table_id: str, version: int, revision: int) -> None:
        """Takes the revision of a table version."""
        known = self._revisions.get(table_id, (0, 0))
        if revision >= known[1]:
            self._revisions[table_id] = (version, revision)

    def note_writes_ended(self, table_id: str) -> None:
        """Allows the next plan of a table."""
        self._busy_until.pop(table_id, None)

    def plan(
        self, state: ControlState, table_id: str, isolated: frozenset[str], now: float, now_ms: int
    ) -> WriteTables | None:
        """Returns the writes that a table needs, None when it needs none or cannot be planned.

        ``isolated`` names data centres that were found cut off; their yield tables are planned as
        if operators had declared them lost.
        """
        if now < self._busy_until.get(table_id, 0.0) or not self._is_current(state, table_id):
            return None
        plan = self.planner.plan(_planning_input(state, table_id, isolated, now, now_ms))
        if not plan.tables:
            return None
        if not all(self._is_current(state, table.table_id) for table in plan.tables):
            return None
        self._busy_until[table_id] = now + WRITE_TIMEOUT
        revisions = tuple(self._revisions.get(table.table_id, (0, 0))[1] for table in plan.tables)
        return WriteTables(table_id, plan.tables, revisions)

    def _is_current(self, state: ControlState, table_id: str) -> bool:
        held: OwnershipTable | None = state.cache.tables.get(table_id)
        version = held.version if held is not None else 0
        return self._revisions.get(table_id, (0, 0))[0] == version


def _planning_input(
    state: ControlState, table_id: str, isolated: frozenset[str], now: float, now_ms: int
) -> PlanningInput:
    table = state.cache.tables.get(table_id)
    data_centre = data_centre_of_table(table_id)
    watched = set(table.voters) if table is not None else set()
    if table is not None:
        watched.update(group.gateway for group in table.groups.values())
    watched.discard(state.myself.instance_id)
    lost = state.directory.lost(now, _watched_here(state, watched, isolated))
    configuration = state.cache.configuration
    if data_centre in isolated:
        data_centres = dict(configuration.data_centres)
        data_centres[data_centre] = data_centres[data_centre].replace(state=DataCentreState.LOST)
        configuration = configuration.replace(data_centres=data_centres)
    return PlanningInput(
        configuration=configuration,
        tables=dict(state.cache.tables),
        table_id=table_id,
        members=state.directory.members(),
        lost_members=lost,
        down_servers=state.reports.servers_with(ServerStatus.DOWN, now),
        cold_servers=state.reports.servers_with(ServerStatus.COLD, now),
        shard_loads=state.reports.shard_loads(now),
        hot_keys=state.reports.hot_keys(now),
        settled_version=state.settlement(table_id).settled_version(now),
        now_ms=now_ms,
        write_id=new_write_id(),
    )


def _watched_here(
    state: ControlState, watched: set[str], isolated: frozenset[str]
) -> frozenset[str]:
    """Returns the daemons whose silence this root can judge: its own children and the isolated."""
    found = set()
    for instance_id in watched:
        member = state.directory.find(instance_id)
        here = member is None or member.data_centre == state.myself.data_centre
        if here or (member is not None and member.data_centre in isolated):
            found.add(instance_id)
    return frozenset(found)
