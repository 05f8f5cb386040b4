"""Sizes of the two users' services."""

from fireflylink_core import BaseValue, ServiceKind

LOCAL_HOP_SECONDS = 0.0001


class ServiceSize(BaseValue):
    """A service as it is simulated; times in seconds."""

    __slots__ = (
        "connections",
        "data_centres",
        "hop_seconds",
        "kind",
        "name",
        "post_share",
        "servers",
        "service_seconds",
        "slots",
        "user",
    )

    def __init__(
        self,
        user: str,
        name: str,
        kind: ServiceKind,
        servers: int,
        slots: int,
        connections: int,
        hop_seconds: float,
        service_seconds: float,
        post_share: float,
        data_centres: int = 3,
    ) -> None:
        self.user = user
        self.name = name
        self.kind = kind
        self.servers = servers
        self.slots = slots
        self.connections = connections
        self.hop_seconds = hop_seconds
        self.service_seconds = service_seconds
        self.post_share = post_share
        self.data_centres = data_centres

    @property
    def capacity(self) -> float:
        """Requests per second that all servers together can answer."""
        return self.servers * self.slots / self.service_seconds


def association(name: str, kind: ServiceKind, servers: int, post_share: float) -> ServiceSize:
    """Returns a service of the mediation venues association."""
    return ServiceSize("association", name, kind, servers, 4, 110, 0.003, 0.010, post_share)


def press(name: str, kind: ServiceKind, servers: int, post_share: float) -> ServiceSize:
    """Returns a service of the fortune press."""
    return ServiceSize("press", name, kind, servers, 2, 45, 0.005, 0.010, post_share)


SIZES = (
    association("availability", ServiceKind.KEYED, 16, 0.0),
    association("holds", ServiceKind.KEYED, 8, 0.5),
    association("bookings", ServiceKind.POOLED, 6, 0.7),
    press("fortunes", ServiceKind.KEYED, 21, 0.0),
    press("approvals", ServiceKind.POOLED, 10, 0.7),
    press("orders", ServiceKind.POOLED, 6, 0.7),
)
