"""Backend servers as they register themselves."""

import enum

from fireflylink_core._value import BaseValue


class ServerState(enum.Enum):
    """Whether a server takes new work."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(BaseValue):
    """One incarnation of a backend server.

    ``started_ms`` is the Unix millisecond of its start: the same ``server_id`` with another value
    is another incarnation, which holds no key. ``cold_ms`` is how much longer the server said it is
    cold when it wrote the registration.
    """

    __slots__ = (
        "cold_ms",
        "data_centre",
        "host",
        "port",
        "server_id",
        "service",
        "slots",
        "software",
        "started_ms",
        "state",
    )

    def __init__(
        self,
        server_id: str,
        service: str,
        host: str,
        port: int,
        data_centre: str,
        slots: int,
        state: ServerState = ServerState.READY,
        cold_ms: float = 0.0,
        started_ms: int = 0,
        software: str = "",
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.slots = slots
        self.state = state
        self.cold_ms = cold_ms
        self.started_ms = started_ms
        self.software = software

    @property
    def incarnation(self) -> "ServerIncarnation":
        """The identity of this incarnation of the server."""
        return ServerIncarnation(self.server_id, self.started_ms)


class ServerIncarnation(BaseValue):
    """Identifies one incarnation of a server: its id and the Unix millisecond of its start."""

    __slots__ = ("server_id", "started_ms")

    def __init__(self, server_id: str, started_ms: int) -> None:
        self.server_id = server_id
        self.started_ms = started_ms

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, ServerIncarnation)
            and self.server_id == other.server_id
            and self.started_ms == other.started_ms
        )

    def __hash__(self) -> int:
        return hash((self.server_id, self.started_ms))

    def __str__(self) -> str:
        return f"{self.server_id}@{self.started_ms}"


class ServerLoad(BaseValue):
    """The load that a server reported with an answer.

    ``slowdown_factor`` is the present service time relative to the normal one, which is 1.
    """

    __slots__ = ("running", "slots", "slowdown_factor", "waiting")

    def __init__(
        self, running: int, waiting: int, slots: int, slowdown_factor: float = 1.0
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown_factor = slowdown_factor
