"""What a release note would do."""

from fireflylink_core import BaseValue


class EntryChange(BaseValue):
    """An entry that is added, changed or withdrawn.

    ``action`` is one of ``added``, ``changed`` and ``withdrawn``. ``details`` shows each changed
    field as one text.
    """

    __slots__ = ("action", "details", "name", "section")

    def __init__(self, section: str, name: str, action: str, details: tuple[str, ...]) -> None:
        self.section = section
        self.name = name
        self.action = action
        self.details = details


class ForcedMoves(BaseValue):
    """Shards of one owner that need another owner once the note is in force.

    ``from_servers`` is empty for shards that have no owner yet. ``indexes`` are the shards,
    ``exceptions`` counts the keys with an owner of their own, and ``candidates`` is the number of
    servers that may take a shard, the lowest over these shards.
    """

    __slots__ = ("candidates", "exceptions", "from_servers", "indexes", "service")

    def __init__(
        self,
        service: str,
        from_servers: tuple[str, ...],
        indexes: tuple[int, ...],
        exceptions: int,
        candidates: int,
    ) -> None:
        self.service = service
        self.from_servers = from_servers
        self.indexes = indexes
        self.exceptions = exceptions
        self.candidates = candidates


class LoadShare(BaseValue):
    """The part of a service's shards, in [0, 1], that a data centre serves.

    ``before`` is the part now, ``moved`` the part to expect after the forced moves and ``settled``
    the part to expect once rebalancing has ended.
    """

    __slots__ = ("before", "data_centre", "moved", "service", "settled")

    def __init__(
        self, service: str, data_centre: str, before: float, moved: float, settled: float
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.before = before
        self.moved = moved
        self.settled = settled


class ServerLoad(BaseValue):
    """The largest part of a service's shards on one server, in [0, 1], at the same three times."""

    __slots__ = ("before", "moved", "service", "settled")

    def __init__(self, service: str, before: float, moved: float, settled: float) -> None:
        self.service = service
        self.before = before
        self.moved = moved
        self.settled = settled


class NotePreview(BaseValue):
    """What a release note changes, which shards move and where the load goes.

    ``warnings`` are lines about changes that are allowed but need care.
    """

    __slots__ = (
        "entries",
        "forced_moves",
        "from_version",
        "load_shares",
        "server_loads",
        "to_version",
        "warnings",
    )

    def __init__(
        self,
        from_version: int,
        to_version: int,
        entries: tuple[EntryChange, ...],
        forced_moves: tuple[ForcedMoves, ...],
        load_shares: tuple[LoadShare, ...],
        server_loads: tuple[ServerLoad, ...],
        warnings: tuple[str, ...],
    ) -> None:
        self.from_version = from_version
        self.to_version = to_version
        self.entries = entries
        self.forced_moves = forced_moves
        self.load_shares = load_shares
        self.server_loads = server_loads
        self.warnings = warnings
