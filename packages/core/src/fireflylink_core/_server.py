"""Backend servers, their incarnations and the load that they report."""

import enum

from fireflylink_core._value import BaseValue


class ServerState(enum.Enum):
    """Whether a server may get new work.

    A ``DRAINING`` server is about to leave. It gets no keys and no requests, but the requests for
    keys that it still owns go to it for a part of the drain time.
    """

    READY = "ready"
    DRAINING = "draining"


class BackendServer(BaseValue):
    """The registration of one incarnation (process lifetime) of a backend server.

    ``started_ms`` is its start time in milliseconds since the Unix epoch. The same ``server_id``
    with another start time is another incarnation, which starts without keys. ``slots`` is how many
    requests the server runs at the same time. ``cold_ms`` is the rest of its warm-up time, as of
    the registration. ``software`` is the version of the server's software.
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
        """The identity of this incarnation."""
        return ServerIncarnation(self.server_id, self.started_ms)


class ServerIncarnation(BaseValue):
    """Identifies one incarnation of a server by its id and its start time.

    ``started_ms`` is in milliseconds since the Unix epoch.
    """

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

    ``running`` and ``waiting`` count requests. ``slowdown_factor`` is the present service time
    relative to the normal one: 1 is normal, 2 takes twice as long.
    """

    __slots__ = ("running", "slots", "slowdown_factor", "waiting")

    def __init__(
        self, running: int, waiting: int, slots: int, slowdown_factor: float = 1.0
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown_factor = slowdown_factor


class ServerNotice(BaseValue):
    """What a server announced with an answer about the requests that it wants from this daemon.

    ``is_leaving`` is true if the server is about to leave. ``pause_until`` is the time, in seconds
    on the daemon's clock, until which it wants no requests; None if it asked for no pause.
    ``problem`` says why a part of the announcement was ignored or bounded, and is empty otherwise;
    ``problem_value`` is the start of that part.
    """

    __slots__ = ("is_leaving", "pause_until", "problem", "problem_value")

    def __init__(
        self,
        is_leaving: bool,
        pause_until: float | None,
        problem: str = "",
        problem_value: str = "",
    ) -> None:
        self.is_leaving = is_leaving
        self.pause_until = pause_until
        self.problem = problem
        self.problem_value = problem_value
