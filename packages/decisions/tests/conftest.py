"""Servers, candidates, limits and a manual clock for the tests of decisions."""

import pytest

from fireflylink_core import BackendServer, ManualClock, ServerIncarnation
from fireflylink_decisions.limits import ColdLimit, FleetPosition
from fireflylink_decisions.ownership import Candidate
from fireflylink_decisions.servers import ServerTracker, ServiceLimits


def make_server(name: str, data_centre: str = "kingston", slots: int = 4) -> BackendServer:
    return BackendServer(name, "holds", "127.0.0.1", 1000, data_centre, slots, started_ms=1)


def make_candidate(name: str, capacity: float = 25.0) -> Candidate:
    return Candidate(ServerIncarnation(name, 1), capacity, "kingston")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def limits() -> ServiceLimits:
    """Limits of one of nine daemons: from all of them together, a cold server may get
    7.3 x 1.5 + 5 requests in any second, and a server accepts 110 connections."""
    return ServiceLimits(
        ColdLimit(7.3, 1.5, 5.0),
        110,
        FleetPosition("d0", tuple(f"d{number}" for number in range(9))),
        "kingston",
    )


@pytest.fixture
def tracker() -> ServerTracker:
    return ServerTracker(make_server("s1"))


@pytest.fixture
def server_factory():
    return make_server


@pytest.fixture
def candidate_factory():
    return make_candidate
