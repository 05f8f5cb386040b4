"""Stand-ins within this process, and a group for processes of the workspace."""

import pathlib
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from fireflylink_backend_client import BackendPool, BaseCallResult, CallHeaders, GrantCommand
from fireflylink_core import BackendServer, CallerRequest, ServiceKind, SystemClock
from fireflylink_standins import (
    BackendSettings,
    BackendStandin,
    ExampleSystem,
    LocalSystem,
    ProcessGroup,
    Scenario,
    duplicated_requests,
    overlapping_owners,
)
from fireflylink_standins._examples import ExampleService

SERVICE = "holds"


class Server:
    """A backend stand-in, and a client that calls it the way a gateway does."""

    __slots__ = ("clock", "pool", "standin")

    def __init__(self, **settings: Any) -> None:
        fields = {"service_time_ms": 20.0, "checks_grants": False, **settings}
        self.clock = SystemClock()
        self.standin = BackendStandin(BackendSettings("server-1", SERVICE, **fields))
        self.standin.start()
        self.pool = BackendPool(
            BackendServer("server-1", SERVICE, "kingston", "127.0.0.1", self.standin.port, 4, 110)
        )

    def call(
        self,
        method: str = "GET",
        call_id: str = "call-1",
        seconds: float = 0.5,
        gateway_epoch: int = 1,
        epoch: int = 1,
        body: bytes = b"",
        request_id: str = "",
        deadline_ms: int = 0,
    ) -> BaseCallResult:
        """Makes a call that ends after a number of seconds."""
        deadline = self.clock.now() + seconds
        request_id = request_id or f"request-of-{call_id}"
        request = CallerRequest(SERVICE, "key", method, body, deadline, request_id=request_id)
        deadline_ms = deadline_ms or int(self.standin.state.clock_ms() + seconds * 1000)
        return self.pool.call(request, CallHeaders(call_id, deadline_ms, gateway_epoch, 7, epoch))

    def grant(self, gateway_epoch: int = 1, epoch: int = 1, seconds: float = 2.0) -> Any:
        """Grants shard 7 for a number of seconds."""
        deadline_ms = int(self.standin.state.clock_ms() + seconds * 1000)
        command = GrantCommand("entry-1", gateway_epoch, deadline_ms, ((7, epoch),), ())
        return self.pool.grant(command, self.clock.now() + 0.5)

    def status(self) -> Any:
        """Returns the reply to a health request."""
        return self.pool.health(self.clock.now() + 0.5).unwrap()

    @property
    def violations(self) -> dict[str, int]:
        """Violations that the stand-in counted."""
        return dict(self.standin.state.journal.violations)

    def close(self) -> None:
        """Ends the pool and the stand-in."""
        self.pool.close()
        self.standin.stop()


@pytest.fixture
def make_server() -> Iterator[Callable[..., Server]]:
    servers: list[Server] = []

    def make(**settings: Any) -> Server:
        servers.append(Server(**settings))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


@pytest.fixture
def server(make_server: Callable[..., Server]) -> Server:
    return make_server()


@pytest.fixture
def group() -> Iterator[ProcessGroup]:
    with ProcessGroup() as processes:
        yield processes


HOLDS = ExampleService("holds", ServiceKind.KEYED, 4, 24)
BOOKINGS = ExampleService("bookings", ServiceKind.POOLED, 4, 24)
TWO_CENTRES = ExampleSystem(
    "jm-south", ("kingston", "mandeville"), (HOLDS, BOOKINGS), slots=4, connections=110
)
ONE_CENTRE = ExampleSystem("jm-south", ("kingston",), (HOLDS,), slots=4, connections=110)
DAEMONS_PER_CENTRE = 3
SEED = 17
HEALTHY_SECONDS = 20.0


def run_system(
    folder: pathlib.Path, example: ExampleSystem, checks_grants: bool
) -> Iterator[LocalSystem]:
    system = LocalSystem(folder, example, DAEMONS_PER_CENTRE, checks_grants)
    try:
        system.start()
        yield system
    finally:
        system.stop()


@pytest.fixture(scope="session")
def checked_system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalSystem]:
    """Two data centres whose servers verify grants, for all failure tests but the next ones."""
    yield from run_system(tmp_path_factory.mktemp("checked"), TWO_CENTRES, True)


@pytest.fixture(scope="session")
def unchecked_system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalSystem]:
    """A data centre whose servers obey whoever sends to them."""
    yield from run_system(tmp_path_factory.mktemp("unchecked"), ONE_CENTRE, False)


def guarded(system: LocalSystem, violations: tuple[str, ...]) -> Iterator[Scenario]:
    """Ends the faults after a test; fails it when the journals show a broken guarantee."""
    scenario = Scenario(system, SEED)
    scenario.settle(HEALTHY_SECONDS)
    earlier = {name: scenario.violations(name) for name in system.backends}
    started_ms = scenario.now_ms()
    yield scenario
    scenario.quiet()
    for service in system.example.services:
        system.wait_until_served(service.name)
        entries = scenario.started_after(service.name, started_ms)
        assert duplicated_requests(entries) == []
        overlaps = [
            (first.as_document(), second.as_document())
            for first, second in overlapping_owners(entries)
        ]
        assert overlaps == []
        counted = scenario.violations(service.name)
        for kind in violations:
            assert counted.get(kind, 0) == earlier[service.name].get(kind, 0), (kind, counted)
    scenario.until(
        "every daemon has the same configuration",
        lambda: len(set(scenario.versions().values())) == 1,
        HEALTHY_SECONDS,
    )


@pytest.fixture
def scenario(checked_system: LocalSystem) -> Iterator[Scenario]:
    """The system of two data centres; every test that uses it also checks its journals."""
    yield from guarded(
        checked_system, ("cold-overload", "duplicate-request", "connections-exceeded")
    )


@pytest.fixture
def unchecked(unchecked_system: LocalSystem) -> Iterator[Scenario]:
    """The system whose servers do not check grants; the journals tell who sent to them."""
    yield from guarded(
        unchecked_system, ("cold-overload", "duplicate-request", "connections-exceeded")
    )
