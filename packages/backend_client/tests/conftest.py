"""A backend stand-in and a pool of connections to it."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from fireflylink_backend_client import BackendPool, BaseCallResult, CallHeaders
from fireflylink_core import BackendServer, CallerRequest, SystemClock
from fireflylink_standins import BackendSettings, BackendStandin

SERVICE = "holds"


class Setup:
    """One stand-in and one pool, with short ways to make calls."""

    __slots__ = ("backend", "clock", "pool")

    def __init__(self, **settings: Any) -> None:
        fields = {"service_time_ms": 2.0, "connections": 6, "checks_grants": False, **settings}
        self.clock = SystemClock()
        self.backend = BackendStandin(BackendSettings("server-1", SERVICE, **fields))
        self.backend.start()
        self.pool = BackendPool(self.server())

    def server(self) -> BackendServer:
        """Returns the configuration of the stand-in."""
        connections = self.backend.settings.connections
        return BackendServer(
            "server-1", SERVICE, "kingston", "127.0.0.1", self.backend.port, 4, connections
        )

    def call(
        self, method: str = "GET", call_id: str = "call-1", seconds: float = 0.5, **fields: Any
    ) -> BaseCallResult:
        """Makes a call that ends after a number of seconds."""
        deadline = self.clock.now() + seconds
        body = fields.pop("body", b"")
        fields.setdefault("request_id", f"request-of-{call_id}")
        request = CallerRequest(SERVICE, "key", method, body, deadline, **fields)
        server_deadline = int(self.backend.state.clock_ms() + seconds * 1000)
        return self.pool.call(request, CallHeaders(call_id, server_deadline, 1, 7, 1))

    def close(self) -> None:
        """Ends the pool and the stand-in."""
        self.pool.close()
        self.backend.stop()


@pytest.fixture
def make_setup() -> Iterator[Callable[..., Setup]]:
    setups: list[Setup] = []

    def make(**settings: Any) -> Setup:
        setups.append(Setup(**settings))
        return setups[-1]

    yield make
    for setup in setups:
        setup.close()


@pytest.fixture
def setup(make_setup: Callable[..., Setup]) -> Setup:
    return make_setup()
