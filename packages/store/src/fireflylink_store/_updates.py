"""What an item of the store says, in the product's terms."""

import abc

from fireflylink_core import BackendServer, BaseValue, Configuration
from fireflylink_store._items import Change


class BaseUpdate(BaseValue):
    """One thing that the store says, with the revision that says it."""

    __slots__ = ()


class ConfigurationUpdate(BaseUpdate):
    """The operators' newest configuration."""

    __slots__ = ("configuration", "revision")

    def __init__(self, configuration: Configuration, revision: int) -> None:
        self.configuration = configuration
        self.revision = revision


class ServerUpdate(BaseUpdate):
    """A registration of a backend server."""

    __slots__ = ("revision", "server")

    def __init__(self, server: BackendServer, revision: int) -> None:
        self.server = server
        self.revision = revision


class ServerRemoved(BaseUpdate):
    """A registration that was removed, or that names no server any more."""

    __slots__ = ("revision", "server_id")

    def __init__(self, server_id: str, revision: int) -> None:
        self.server_id = server_id
        self.revision = revision


class EvacuationUpdate(BaseUpdate):
    """Whether a data centre's servers are to get nothing."""

    __slots__ = ("data_centre", "requested", "revision")

    def __init__(self, data_centre: str, requested: bool, revision: int) -> None:
        self.data_centre = data_centre
        self.requested = requested
        self.revision = revision


class RecordUpdate(BaseUpdate):
    """A record of the daemons themselves; ``value`` is None when it was removed."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class UnreadableItem(BaseUpdate):
    """An item that cannot be read: it names no server and no route."""

    __slots__ = ("key", "problem", "revision")

    def __init__(self, key: str, problem: str, revision: int) -> None:
        self.key = key
        self.problem = problem
        self.revision = revision


class BaseItemDecoder(abc.ABC):
    """Decodes items of the store into updates."""

    __slots__ = ()

    @abc.abstractmethod
    def decode(self, change: Change) -> tuple[BaseUpdate, ...]:
        """Returns what a change says; empty when it does not concern the daemons."""
