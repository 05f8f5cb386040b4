"""Errors of commands to backend servers."""

from fireflylink_core import BaseFireflylinkError


class BackendError(BaseFireflylinkError):
    """A grant, revocation or health request that did not return what was asked for."""


class BackendUnreachable(BackendError):  # noqa: N818
    """No byte was sent: the command certainly had no effect. ``refused``: nothing listens."""

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class BackendReplyLost(BackendError):  # noqa: N818
    """The command was sent and no usable reply came: it may have taken effect."""


class GrantRefused(BackendError):  # noqa: N818
    """The server has seen a higher epoch. ``clock_ms`` is the server's own clock."""

    def __init__(self, gateway_epoch: int, clock_ms: int) -> None:
        super().__init__(f"refused: highest gateway epoch is {gateway_epoch}")
        self.gateway_epoch = gateway_epoch
        self.clock_ms = clock_ms
