"""A daemon and the address at which it receives datagrams."""

from fireflylink_core._value import BaseValue


class DaemonAddress(BaseValue):
    """A daemon and the address at which it receives datagrams.

    ``port`` is 0 for a daemon that receives none. At most one process has the address at a time, so
    an answer from there is one of the daemon or of a later process in its place.
    """

    __slots__ = ("host", "instance", "port")

    def __init__(self, instance: str, host: str, port: int) -> None:
        self.instance = instance
        self.host = host
        self.port = port
