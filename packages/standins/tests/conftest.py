"""Stand-ins within this process, and a group for processes of the workspace."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from fireflylink_backend_client import BackendPool, BaseCallResult, CallHeaders, GrantCommand
from fireflylink_core import BackendServer, CallerRequest, SystemClock
from fireflylink_standins import BackendSettings, BackendStandin, ProcessGroup

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
