"""Services, kinds of requests and the fleet that the emulator runs."""

from fireflylink_core import BaseValue


class ServiceProfile(BaseValue):
    """One service and a kind of requests for it. Times are in seconds.

    Profiles that share a service have the same ``name`` and different ``kind``. A request that is
    answered within ``objective_seconds`` earns ``value``, a later one ``late_value``. Callers retry
    up to ``max_caller_retries`` times after a refusal or, if ``idempotent``, after a failure.
    The limit of requests per second for a cold server is computed from ``cold_per_second``;
    ``priority`` 0 is the most urgent.
    """

    __slots__ = (
        "cold_per_second",
        "deadline_seconds",
        "idempotent",
        "keyed",
        "kind",
        "late_value",
        "max_attempts",
        "max_caller_retries",
        "name",
        "objective_seconds",
        "priority",
        "servers",
        "slots",
        "value",
        "work_seconds",
    )

    def __init__(
        self,
        name: str,
        servers: int,
        slots: int,
        work_seconds: float,
        objective_seconds: float,
        deadline_seconds: float,
        value: float,
        late_value: float,
        keyed: bool = False,
        idempotent: bool = False,
        max_caller_retries: int = 1,
        priority: int = 1,
        max_attempts: int = 2,
        cold_per_second: float = 3.7,
        kind: str = "",
    ) -> None:
        self.name = name
        self.kind = kind or name
        self.servers = servers
        self.slots = slots
        self.work_seconds = work_seconds
        self.objective_seconds = objective_seconds
        self.deadline_seconds = deadline_seconds
        self.value = value
        self.late_value = late_value
        self.keyed = keyed
        self.idempotent = idempotent
        self.max_caller_retries = max_caller_retries
        self.priority = priority
        self.max_attempts = max_attempts
        self.cold_per_second = cold_per_second

    @property
    def capacity(self) -> float:
        """Requests per second that all servers together can run at normal speed."""
        return self.servers * self.slots / self.work_seconds


class FleetProfile(BaseValue):
    """Daemons, data centres and the limits that all daemons share.

    ``remote_latency_seconds`` is the one-way latency to a server in another data centre.
    """

    __slots__ = (
        "cold_extra",
        "cold_factor",
        "connection_limit",
        "daemons",
        "data_centres",
        "remote_latency_seconds",
        "retry_budget_extra",
        "retry_budget_ratio",
        "retry_budget_window_seconds",
    )

    def __init__(
        self,
        daemons: int,
        data_centres: tuple[str, ...],
        connection_limit: int,
        remote_latency_seconds: float = 0.004,
        retry_budget_ratio: float = 0.2,
        retry_budget_extra: float = 60.0,
        retry_budget_window_seconds: float = 10.0,
        cold_factor: float = 1.5,
        cold_extra: float = 5.0,
    ) -> None:
        self.daemons = daemons
        self.data_centres = data_centres
        self.connection_limit = connection_limit
        self.remote_latency_seconds = remote_latency_seconds
        self.retry_budget_ratio = retry_budget_ratio
        self.retry_budget_extra = retry_budget_extra
        self.retry_budget_window_seconds = retry_budget_window_seconds
        self.cold_factor = cold_factor
        self.cold_extra = cold_extra


LOOKUPS = ServiceProfile(
    "lookups", 21, 2, 0.16, 0.5, 1.2, 1.0, 0.1, keyed=True, idempotent=True, priority=2
)
ORDERS = ServiceProfile(
    "lookups", 21, 2, 0.11, 0.3, 0.8, 3.0, 0.3, keyed=True, priority=0, kind="orders"
)
"""Requests for orders, which are routed to the servers of the lookups."""

APPROVALS = ServiceProfile("approvals", 10, 2, 0.21, 0.6, 1.5, 2.0, 0.2)
FLEET = FleetProfile(12, ("a", "b", "c"), 46)
