"""Services, request types and the fleet that the emulator runs."""

from fireflylink_core import BaseValue


class ServiceProfile(BaseValue):
    """One service and one type of requests for it. Times are in seconds.

    Profiles that share a ``service`` differ in ``request_type``. Each server has ``slots``: it runs
    that many requests at the same time. ``mean_service_seconds`` is the mean service time at a
    server of normal speed, without the slowdown by load and warm-up. Servers of a ``keyed`` service
    run only requests for keys that they hold.

    A request that is answered within its target latency ``objective_seconds`` earns ``value``, a
    later one ``late_value``; only the ratios of the values matter. Callers retry up to
    ``max_caller_retries`` times after a refusal or, if ``idempotent``, after a failure.
    ``max_attempts`` limits how often a daemon sends one attempt of a caller to servers; refused
    connections and misdirected calls do not count. The limit for a cold server (in warm-up) is
    computed from ``max_cold_requests_per_second``, see ``FleetProfile``. ``priority`` 0 is the most
    urgent.
    """

    __slots__ = (
        "deadline_seconds",
        "idempotent",
        "keyed",
        "late_value",
        "max_attempts",
        "max_caller_retries",
        "max_cold_requests_per_second",
        "mean_service_seconds",
        "objective_seconds",
        "priority",
        "request_type",
        "server_count",
        "service",
        "slots",
        "value",
    )

    def __init__(
        self,
        service: str,
        server_count: int,
        slots: int,
        mean_service_seconds: float,
        objective_seconds: float,
        deadline_seconds: float,
        value: float,
        late_value: float,
        keyed: bool = False,
        idempotent: bool = False,
        max_caller_retries: int = 1,
        priority: int = 1,
        max_attempts: int = 2,
        max_cold_requests_per_second: float = 3.7,
        request_type: str = "",
    ) -> None:
        self.service = service
        self.request_type = request_type or service
        self.server_count = server_count
        self.slots = slots
        self.mean_service_seconds = mean_service_seconds
        self.objective_seconds = objective_seconds
        self.deadline_seconds = deadline_seconds
        self.value = value
        self.late_value = late_value
        self.keyed = keyed
        self.idempotent = idempotent
        self.max_caller_retries = max_caller_retries
        self.priority = priority
        self.max_attempts = max_attempts
        self.max_cold_requests_per_second = max_cold_requests_per_second

    @property
    def capacity(self) -> float:
        """Requests per second of all servers together at ``mean_service_seconds`` for each.

        Servers with load are slower, so that the emulated capacity is lower.
        """
        return self.server_count * self.slots / self.mean_service_seconds


class FleetProfile(BaseValue):
    """Daemons, data centres and the limits that all daemons share.

    ``connection_limit`` is how many connections one server accepts from all daemons together.
    ``remote_latency_seconds`` is the one-way latency to a server in another data centre.

    In any window of ``retry_budget_window_seconds``, all daemons together may send for a service
    ``retry_budget_ratio`` times as many retries as requests, plus ``retry_budget_extra``. To a cold
    server they may send ``cold_factor`` times its ``max_cold_requests_per_second``, plus
    ``cold_extra``, in any second.
    """

    __slots__ = (
        "cold_extra",
        "cold_factor",
        "connection_limit",
        "daemon_count",
        "data_centres",
        "remote_latency_seconds",
        "retry_budget_extra",
        "retry_budget_ratio",
        "retry_budget_window_seconds",
    )

    def __init__(
        self,
        daemon_count: int,
        data_centres: tuple[str, ...],
        connection_limit: int,
        remote_latency_seconds: float = 0.004,
        retry_budget_ratio: float = 0.2,
        retry_budget_extra: float = 60.0,
        retry_budget_window_seconds: float = 10.0,
        cold_factor: float = 1.5,
        cold_extra: float = 5.0,
    ) -> None:
        self.daemon_count = daemon_count
        self.data_centres = data_centres
        self.connection_limit = connection_limit
        self.remote_latency_seconds = remote_latency_seconds
        self.retry_budget_ratio = retry_budget_ratio
        self.retry_budget_extra = retry_budget_extra
        self.retry_budget_window_seconds = retry_budget_window_seconds
        self.cold_factor = cold_factor
        self.cold_extra = cold_extra


# The numbers are: servers, slots, mean service time, target latency, deadline, value, late value.
LOOKUPS = ServiceProfile(
    "lookups", 21, 2, 0.16, 0.5, 1.2, 1.0, 0.1, keyed=True, idempotent=True, priority=2
)
ORDERS = ServiceProfile(
    "lookups", 21, 2, 0.11, 0.3, 0.8, 3.0, 0.3, keyed=True, priority=0, request_type="orders"
)
"""Requests for orders, which are routed to the servers of the lookups."""

APPROVALS = ServiceProfile("approvals", 10, 2, 0.21, 0.6, 1.5, 2.0, 0.2)
# The numbers are: daemons and connection limit.
FLEET = FleetProfile(12, ("a", "b", "c"), 46)
