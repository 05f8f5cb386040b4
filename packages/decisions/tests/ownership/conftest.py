"""Fixtures for tests of ownership decisions."""

from collections.abc import Callable

import pytest

from fireflylink_core import (
    BackendServer,
    Configuration,
    DataCentre,
    Isolation,
    Member,
    OwnershipTable,
    Service,
    ServiceKind,
)
from fireflylink_decisions.ownership import BoundedLoadPlanner, Plan, PlanningInput

DATA_CENTRES = ("kingston", "mandeville", "spanish-town")


def build_configuration(
    isolation: Isolation = Isolation.KEEP,
    servers_each: int = 3,
    shard_count: int = 48,
    churn: float = 10.0,
) -> Configuration:
    """Returns a keyed and a pooled service over three data centres."""
    services = {
        "rooms": Service(
            "rooms",
            ServiceKind.KEYED,
            DATA_CENTRES,
            shard_count,
            isolation,
            churn_percent_per_minute=churn,
        ),
        "bookings": Service("bookings", ServiceKind.POOLED, DATA_CENTRES, 12, isolation),
    }
    servers = {}
    for service in services:
        for data_centre in DATA_CENTRES:
            for number in range(servers_each):
                name = f"{service}-{data_centre}-{number}"
                servers[name] = BackendServer(
                    name, service, data_centre, "127.0.0.1", 1, slots=4, connections=110
                )
    centres = {name: DataCentre(name, "jm-south") for name in DATA_CENTRES}
    return Configuration(1, centres, services, servers)


class Cluster:
    """The tables of all data centres and the reports that the next plan is made from."""

    def __init__(self, configuration: Configuration, members_each: int = 5) -> None:
        self.configuration = configuration
        self.tables: dict[str, OwnershipTable] = {}
        self.settled: dict[str, int] = {}
        self.members = [
            Member(f"{name}-d{number}", name, "127.0.0.1", 1, 2)
            for name in DATA_CENTRES
            for number in range(members_each)
        ]
        self.lost: set[str] = set()
        self.down: set[str] = set()
        self.cold: set[str] = set()
        self.loads: dict[tuple[str, int], float] = {}
        self.hot: dict[tuple[str, int], float] = {}
        self.now_ms = 1_000_000
        self.writes = 0
        self.planner = BoundedLoadPlanner()

    def input_for(self, table_id: str) -> PlanningInput:
        """Returns the input for a plan of a table."""
        data_centre, _, mode = table_id.rpartition(".")
        members = tuple(
            member
            for member in self.members
            if mode == "yield" or member.data_centre == data_centre
        )
        self.writes += 1
        return PlanningInput(
            self.configuration,
            dict(self.tables),
            table_id,
            members,
            frozenset(self.lost),
            frozenset(self.down),
            frozenset(self.cold),
            dict(self.loads),
            dict(self.hot),
            self.settled.get(table_id, 0),
            self.now_ms,
            f"write-{self.writes}",
        )

    def plan(self, table_id: str) -> Plan:
        """Returns the plan for a table without writing it."""
        return self.planner.plan(self.input_for(table_id))

    def write(self, table: OwnershipTable) -> None:
        """Writes a table as the platform's compare-and-swap would."""
        former = self.tables.get(table.table_id)
        assert table.version == (former.version if former else 0) + 1
        self.tables[table.table_id] = table

    def step(self, table_id: str) -> Plan:
        """Plans for a table and writes the result."""
        plan = self.plan(table_id)
        for table in plan.tables:
            self.write(table)
        return plan

    def table_ids(self) -> list[str]:
        """Returns the tables of the configuration's isolation modes, and all keep tables."""
        modes = {service.isolation.value for service in self.configuration.services.values()}
        return [f"{name}.{mode}" for name in DATA_CENTRES for mode in sorted(modes | {"keep"})]

    def settle(self) -> None:
        """Lets every written version settle."""
        self.settled = {table_id: table.version for table_id, table in self.tables.items()}
        self.now_ms += 2_100

    def run(self, rounds: int = 8) -> int:
        """Plans for all tables until nothing changes; returns the number of rounds it took."""
        for number in range(rounds):
            changed = [self.step(table_id).tables for table_id in self.table_ids()]
            self.settle()
            if not any(changed):
                return number
        return rounds


@pytest.fixture
def cluster() -> Cluster:
    """A cluster whose services have mode keep, with all tables in place."""
    built = Cluster(build_configuration())
    built.run()
    return built


@pytest.fixture
def new_cluster() -> Callable[..., Cluster]:
    """Returns a function that makes a cluster without tables."""

    def make(members_each: int = 5, **options: object) -> Cluster:
        return Cluster(build_configuration(**options), members_each)  # type: ignore[arg-type]

    return make
