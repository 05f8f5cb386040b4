"""The operators' configuration: routes of callers, services and limits."""

import enum

from fireflylink_core._value import BaseValue


class RequestKind(enum.Enum):
    """What may be done twice with the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class RouteTarget(BaseValue):
    """A service that takes part of a route's requests, in proportion to ``weight``."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route(BaseValue):
    """Requests of one host whose path begins with ``prefix``, and how they are treated.

    ``max_attempts`` is the largest number of servers that one request may be sent to, ``priority``
    the order of urgency with 0 first, ``objective_ms`` the time within which an answer has its full
    worth, ``timeout_ms`` the longest time that a caller is kept waiting.
    """

    __slots__ = (
        "host",
        "kind",
        "max_attempts",
        "name",
        "objective_ms",
        "prefix",
        "priority",
        "targets",
        "timeout_ms",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        kind: RequestKind,
        targets: tuple[RouteTarget, ...],
        timeout_ms: float,
        objective_ms: float,
        priority: int = 0,
        max_attempts: int = 1,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.targets = targets
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.priority = priority
        self.max_attempts = max_attempts

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


class Service(BaseValue):
    """A kind of backend server.

    ``connection_limit`` is what one server accepts from all daemons together. A cold server bears
    ``cold_requests_per_second`` for ``cold_seconds``. Servers of a ``keyed`` service run only
    requests of keys that they hold.
    """

    __slots__ = (
        "cold_requests_per_second",
        "cold_seconds",
        "connection_limit",
        "keyed",
        "name",
    )

    def __init__(
        self,
        name: str,
        connection_limit: int,
        cold_seconds: float,
        cold_requests_per_second: float,
        keyed: bool = False,
    ) -> None:
        self.name = name
        self.connection_limit = connection_limit
        self.cold_seconds = cold_seconds
        self.cold_requests_per_second = cold_requests_per_second
        self.keyed = keyed


class CallerLimits(BaseValue):
    """What a caller may send, in bytes, and how long it may take or stay idle, in milliseconds."""

    __slots__ = ("header_timeout_ms", "idle_timeout_ms", "max_body_bytes", "max_header_bytes")

    def __init__(
        self,
        max_header_bytes: int = 16384,
        max_body_bytes: int = 1 << 26,
        header_timeout_ms: float = 3000.0,
        idle_timeout_ms: float = 15000.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Configuration(BaseValue):
    """One version of everything that operators declare. Versions compare as numbers."""

    __slots__ = ("limits", "routes", "services", "version")

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
