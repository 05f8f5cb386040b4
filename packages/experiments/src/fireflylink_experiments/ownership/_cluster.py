"""The real planner on a manual clock, over a fake store and fake failure detectors."""

from fireflylink_core import (
    Configuration,
    DataCentreState,
    Isolation,
    ManualClock,
    Member,
    OwnershipTable,
    ShardKey,
    data_centre_of_table,
    isolation_of_table,
    table_id_of,
)
from fireflylink_decisions.ownership import (
    BoundedLoadPlanner,
    PlanningInput,
    Routes,
    ShardMove,
    merge_tables,
)
from fireflylink_experiments.ownership._users import Load

GRANT_TERM = 2.0
FENCE_WAIT = GRANT_TERM * 1.02
RENEWAL_PERIOD = 0.4
DETECTION_TIME = 1.0
ROOT_TAKEOVER_TIME = 2.0
REMOTE_TAKEOVER_TIME = 1.5
WRITE_TIME = 0.005
ACKNOWLEDGEMENT_TIME = 0.02


class Cluster:
    """Tables and the times at which they were written, daemons and servers and their losses.

    ``lost`` and ``down`` hold the times of losses; deciders learn of them ``DETECTION_TIME`` later.
    """

    __slots__ = (
        "clock",
        "configuration",
        "down",
        "load",
        "lost",
        "members",
        "moves",
        "next_round",
        "planner",
        "platform_up",
        "routes",
        "tables",
        "written",
    )

    def __init__(
        self, configuration: Configuration, members: tuple[Member, ...], load: Load
    ) -> None:
        self.clock = ManualClock()
        self.configuration = configuration
        self.members = members
        self.load = load
        self.planner = BoundedLoadPlanner()
        self.tables: dict[str, OwnershipTable] = {}
        self.written: dict[str, list[float]] = {}
        self.lost: dict[str, float] = {}
        self.down: dict[str, float] = {}
        self.platform_up = True
        self.moves: list[ShardMove] = []
        self.next_round = 0.0
        self.routes: Routes = merge_tables(configuration, ())

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.clock.now()

    def set_centre(self, name: str, state: DataCentreState) -> None:
        """Applies an operators' note about a data centre."""
        centres = dict(self.configuration.data_centres)
        centres[name] = centres[name].replace(state=state)
        version = self.configuration.version + 1
        self.configuration = self.configuration.replace(version=version, data_centres=centres)

    def lose_centre(self, name: str) -> None:
        """Loses all daemons and servers of a data centre."""
        for member in self.members:
            if member.data_centre == name:
                self.lost[member.instance_id] = self.now()
        for server in self.configuration.servers.values():
            if server.data_centre == name:
                self.down[server.server_id] = self.now()

    def advance(self, seconds: float) -> None:
        """Moves the clock and lets the deciders plan if a round is due."""
        self.clock.advance(seconds)
        if self.now() >= self.next_round and self.platform_up:
            self.next_round = self.now() + RENEWAL_PERIOD
            for name in self.configuration.data_centres:
                for isolation in Isolation:
                    if self._has_decider(table_id_of(name, isolation)):
                        self._decide(table_id_of(name, isolation))

    def settled(self, table_id: str) -> int:
        """Returns the highest version of a table whose earlier versions give no authority."""
        times = self.written.get(table_id, [])
        limit = self.now() - ACKNOWLEDGEMENT_TIME - FENCE_WAIT
        if not times or not self._has_majority(table_id):
            return 0
        return sum(time <= limit for time in times)

    def _has_majority(self, table_id: str) -> bool:
        table = self.tables[table_id]
        lists = [table.voters, *([table.previous_voters] if table.previous_voters else [])]
        return all(
            sum(voter not in self.lost for voter in voters) > len(voters) // 2 for voters in lists
        )

    def _has_decider(self, table_id: str) -> bool:
        local = [
            member.instance_id
            for member in self.members
            if member.data_centre == data_centre_of_table(table_id)
        ]
        if all(name in self.lost for name in local):
            cut_off_since = max(self.lost[name] for name in local)
            yields = isolation_of_table(table_id) is Isolation.YIELD
            return yields and self.now() - cut_off_since >= REMOTE_TAKEOVER_TIME
        keep = self.tables.get(table_id_of(data_centre_of_table(table_id), Isolation.KEEP))
        root = keep.voters[0] if keep else ""
        return root not in self.lost or self.now() - self.lost[root] >= ROOT_TAKEOVER_TIME

    def _decide(self, table_id: str) -> None:
        plan = self.planner.plan(self._planning_input(table_id))
        for number, table in enumerate(plan.tables, start=1):
            self.tables[table.table_id] = table
            times = self.written.setdefault(table.table_id, [])
            times.append(self.now() + number * WRITE_TIME)
            self.routes = self.routes.with_table(table)
        self.moves += plan.moves

    def _planning_input(self, table_id: str) -> PlanningInput:
        seen = self.now() - DETECTION_TIME
        centre = data_centre_of_table(table_id)
        remote = isolation_of_table(table_id) is Isolation.YIELD
        return PlanningInput(
            configuration=self.configuration,
            tables=self.tables,
            table_id=table_id,
            members=tuple(
                member for member in self.members if remote or member.data_centre == centre
            ),
            lost_members=frozenset(name for name, time in self.lost.items() if time <= seen),
            down_servers=frozenset(name for name, time in self.down.items() if time <= seen),
            cold_servers=frozenset(),
            shard_loads=self.shard_loads(),
            hot_keys=self.load.hot_keys,
            settled_version=self.settled(table_id),
            now_ms=self.clock.wall_ms(),
            write_id=f"{table_id}-{self.now():.3f}",
        )

    def shard_loads(self) -> dict[ShardKey, float]:
        """Returns requests/s of the shards without those of single-key exceptions."""
        loads = dict(self.load.shards)
        for service, hashed in self.routes.exceptions:
            shard = (service, hashed % self.configuration.services[service].shard_count)
            loads[shard] -= self.load.hot_keys.get((service, hashed), 0.0)
        return loads
