"""The commands that the decider sends to servers."""

from fireflylink_core import BaseValue, KeyRange, ServerIncarnation


class BaseCommand(BaseValue):
    """A command to a server."""

    __slots__ = ()

    server: ServerIncarnation


class GrantCommand(BaseCommand):
    """Grants keys to a server, or renews the grant.

    ``fence`` is the fencing token of the keys' assignment. ``handover`` is the token for the
    new holder that the former one returned with its release, empty if there is none.
    """

    __slots__ = ("fence", "handover", "keys", "renewal", "server")

    def __init__(
        self, server: ServerIncarnation, keys: KeyRange, fence: int, handover: str, renewal: bool
    ) -> None:
        self.server = server
        self.keys = keys
        self.fence = fence
        self.handover = handover
        self.renewal = renewal


class ReleaseCommand(BaseCommand):
    """Makes a server release keys. ``fence`` is that of the next holder."""

    __slots__ = ("fence", "keys", "server")

    def __init__(self, server: ServerIncarnation, keys: KeyRange, fence: int) -> None:
        self.server = server
        self.keys = keys
        self.fence = fence


def keys_and_fence(command: BaseCommand) -> tuple[KeyRange, int]:
    """Returns the keys of a command and its fence, which identify the grant that it is part of."""
    if isinstance(command, GrantCommand | ReleaseCommand):
        return command.keys, command.fence
    raise TypeError(type(command).__name__)
