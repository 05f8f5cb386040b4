"""The part of a run with planned work only, for which promises with a time bound hold."""


class CalmPeriod:
    """Planned work without any fault between ``starts_at`` and ``ends_at``.

    ``evacuated_servers`` are the ids of the servers of the data centre whose evacuation the store
    acknowledged at ``evacuated_at``. All times are in seconds on the boot clock.
    """

    __slots__ = ("ends_at", "evacuated_at", "evacuated_servers", "starts_at")

    def __init__(
        self,
        starts_at: float,
        ends_at: float,
        evacuated_at: float,
        evacuated_servers: frozenset[str],
    ) -> None:
        self.starts_at = starts_at
        self.ends_at = ends_at
        self.evacuated_at = evacuated_at
        self.evacuated_servers = evacuated_servers
