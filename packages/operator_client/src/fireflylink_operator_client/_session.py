"""What every command works with."""

from collections.abc import Callable
from typing import Any

from fireflylink_core import BaseClock
from fireflylink_operator_client._daemon_reader import BaseDaemonReader
from fireflylink_operator_client._directory import BaseDaemonDirectory
from fireflylink_operator_client._repository import Repository


class Session:
    """The platform, the daemons, the clock, and where lines go while a command runs.

    ``emit`` takes a document for programs and a line for people and prints one of them.
    """

    __slots__ = ("clock", "directory", "emit", "reader", "repository")

    def __init__(
        self,
        repository: Repository,
        directory: BaseDaemonDirectory,
        reader: BaseDaemonReader,
        clock: BaseClock,
        emit: Callable[[dict[str, Any], str], None],
    ) -> None:
        self.repository = repository
        self.directory = directory
        self.reader = reader
        self.clock = clock
        self.emit = emit
