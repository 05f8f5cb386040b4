"""Where the operator endpoints of the daemons are."""

import abc

from returns.result import Result, Success

from fireflylink_core import BaseValue
from fireflylink_operator_client._errors import UnavailableError


class DaemonAddress(BaseValue):
    """The operator endpoint of a daemon.

    ``instance_id`` is empty where it is not known before the daemon has answered.
    """

    __slots__ = ("data_centre", "host", "instance_id", "port")

    def __init__(self, data_centre: str, host: str, port: int, instance_id: str = "") -> None:
        self.data_centre = data_centre
        self.host = host
        self.port = port
        self.instance_id = instance_id

    @property
    def label(self) -> str:
        """The identifier to show to people."""
        return self.instance_id or f"{self.host}:{self.port}"


class BaseDaemonDirectory(abc.ABC):
    """A list of daemons."""

    __slots__ = ()

    @abc.abstractmethod
    def daemons(self) -> Result[tuple[DaemonAddress, ...], UnavailableError]:
        """Returns the daemons known at the moment."""


class FixedDirectory(BaseDaemonDirectory):
    """The daemons that the settings list."""

    __slots__ = ("addresses",)

    def __init__(self, addresses: tuple[DaemonAddress, ...]) -> None:
        self.addresses = addresses

    def daemons(self) -> Result[tuple[DaemonAddress, ...], UnavailableError]:
        return Success(self.addresses)
