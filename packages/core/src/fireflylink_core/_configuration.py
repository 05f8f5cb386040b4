"""The operators' configuration: routes, services and limits on callers."""

import enum

from fireflylink_core._value import BaseValue


class RequestKind(enum.Enum):
    """Whether the requests of a route may run more than once.

    ``IDEMPOTENT`` requests may be retried even if they may have run, ``ONCE`` requests may not.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"


class RouteTarget(BaseValue):
    """A service that receives a share of a route's requests, in proportion to ``weight``."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route(BaseValue):
    """Requests to one host whose path begins with ``prefix``, and how they are handled.

    A route without ``targets`` is one that could not be read: its requests are refused, and no
    route with a shorter prefix takes them. ``timeout_ms`` is the longest time that a caller waits
    for its reply. ``objective_ms`` is the target latency: a later answer is worth less to the
    caller. Priority 0 is the most urgent. ``max_attempts`` limits the attempts of one request that
    reach a server, not counting those that the server declined as misdirected.
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
    """A group of backend servers that run the same kind of requests.

    ``connection_limit`` is how many connections one server accepts from all daemons together. A
    server is cold, which means still warming up, for ``cold_seconds`` after its start and after an
    evacuation of its data centre has ended. During that time it can run only
    ``max_cold_requests_per_second``. In a ``keyed`` service a request goes to the owner of its key,
    and servers run only requests for keys that they hold.
    """

    __slots__ = (
        "cold_seconds",
        "connection_limit",
        "keyed",
        "max_cold_requests_per_second",
        "name",
    )

    def __init__(
        self,
        name: str,
        connection_limit: int,
        cold_seconds: float,
        max_cold_requests_per_second: float,
        keyed: bool = False,
    ) -> None:
        self.name = name
        self.connection_limit = connection_limit
        self.cold_seconds = cold_seconds
        self.max_cold_requests_per_second = max_cold_requests_per_second
        self.keyed = keyed


class CallerLimits(BaseValue):
    """Limits on the size of requests, in bytes, and on the time that the daemon waits for callers.

    ``max_header_bytes`` limits the request line and the headers together. ``header_timeout_ms``
    limits the wait for the headers of a request, ``idle_timeout_ms`` the wait for the next request
    on a connection and for the body of a request. A front end may wait for less time for the next
    request.
    """

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
    """One version of the operators' configuration. A higher ``version`` is newer.

    ``problems`` names each part that could not be read, by its path. If ``is_complete`` is false,
    ``routes`` may lack some that the operators configured.
    """

    __slots__ = ("is_complete", "limits", "problems", "routes", "services", "version")

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: CallerLimits,
        problems: tuple[str, ...] = (),
        is_complete: bool = True,
    ) -> None:
        self.problems = problems
        self.is_complete = is_complete
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
