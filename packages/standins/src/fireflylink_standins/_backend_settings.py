"""Settings of a backend server stand-in."""

from fireflylink_core import BaseValue


class BackendSettings(BaseValue):
    """What one backend server can do and how it behaves.

    A server in cold start runs ``cold_slots`` requests at once, one more after every
    ``cold_ramp_successes`` requests it completes, each ``cold_factor`` times slower. Over that
    limit it crashes and is gone for ``crash_ms``. After it became cold silently it sheds requests
    over the limit without a crash until ``cold_notice_ms`` after its first answer that names the
    new generation. ``queue_limit`` requests wait for a slot; more are shed. ``durable_epochs``:
    the highest epochs seen survive a crash. ``service_spread`` is the largest relative deviation
    of the service time. ``answer_bytes`` is the least size of an answer.
    """

    __slots__ = (
        "answer_bytes",
        "checks_grants",
        "clock_offset_ms",
        "cold_factor",
        "cold_notice_ms",
        "cold_ramp_successes",
        "cold_slots",
        "connections",
        "crash_ms",
        "durable_epochs",
        "health_lag_ms",
        "host",
        "journal_limit",
        "port",
        "queue_limit",
        "server_id",
        "service",
        "service_spread",
        "service_time_ms",
        "slots",
        "starts_cold",
    )

    def __init__(
        self,
        server_id: str,
        service: str,
        host: str = "127.0.0.1",
        port: int = 0,
        slots: int = 4,
        connections: int = 110,
        service_time_ms: float = 5.0,
        service_spread: float = 0.0,
        queue_limit: int = 0,
        cold_slots: int = 1,
        cold_ramp_successes: int = 4,
        cold_factor: float = 1.0,
        cold_notice_ms: float = 100.0,
        crash_ms: float = 1000.0,
        health_lag_ms: float = 1000.0,
        checks_grants: bool = True,
        durable_epochs: bool = True,
        starts_cold: bool = False,
        clock_offset_ms: int = 0,
        answer_bytes: int = 0,
        journal_limit: int = 200_000,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.host = host
        self.port = port
        self.slots = slots
        self.connections = connections
        self.service_time_ms = service_time_ms
        self.service_spread = service_spread
        self.queue_limit = queue_limit
        self.cold_slots = cold_slots
        self.cold_ramp_successes = cold_ramp_successes
        self.cold_factor = cold_factor
        self.cold_notice_ms = cold_notice_ms
        self.crash_ms = crash_ms
        self.health_lag_ms = health_lag_ms
        self.checks_grants = checks_grants
        self.durable_epochs = durable_epochs
        self.starts_cold = starts_cold
        self.clock_offset_ms = clock_offset_ms
        self.answer_bytes = answer_bytes
        self.journal_limit = journal_limit
