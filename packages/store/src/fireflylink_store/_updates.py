"""Updates: changes of the store, decoded to types of the core package."""

import abc

from fireflylink_core import BackendServer, BaseValue, Configuration
from fireflylink_store._items import Change


class BaseUpdate(BaseValue):
    """A decoded change of the store. Each subclass holds the ``revision`` of the change."""

    __slots__ = ()


class ConfigurationUpdate(BaseUpdate):
    """The operators' present configuration."""

    __slots__ = ("configuration", "revision")

    def __init__(self, configuration: Configuration, revision: int) -> None:
        self.configuration = configuration
        self.revision = revision


class ServerUpdate(BaseUpdate):
    """The present registration of a backend server."""

    __slots__ = ("revision", "server")

    def __init__(self, server: BackendServer, revision: int) -> None:
        self.server = server
        self.revision = revision


class ServerRemoved(BaseUpdate):
    """A registration of a backend server was deleted or can no longer be decoded."""

    __slots__ = ("revision", "server_id")

    def __init__(self, server_id: str, revision: int) -> None:
        self.server_id = server_id
        self.revision = revision


class EvacuationUpdate(BaseUpdate):
    """Whether operators request that servers of a data centre get no requests and no keys."""

    __slots__ = ("data_centre", "requested", "revision")

    def __init__(self, data_centre: str, requested: bool, revision: int) -> None:
        self.data_centre = data_centre
        self.requested = requested
        self.revision = revision


class RecordUpdate(BaseUpdate):
    """A record that the daemons themselves write; ``value`` is None if it was deleted."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class UnreadableItem(BaseUpdate):
    """An item that cannot be decoded.

    A daemon keeps the last readable configuration in force. An unreadable registration of a server
    is also reported as ``ServerRemoved``.
    """

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
        """Returns the updates of a change; none if the change does not concern the daemons."""
