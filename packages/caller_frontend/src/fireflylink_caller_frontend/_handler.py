"""What the front end needs of the daemon."""

import abc
from collections.abc import Callable

from fireflylink_core import BaseReply, CallerLimits, CallerRequest


class BaseDisconnectNotifier(abc.ABC):
    """Tells that a caller closed its connection before its reply."""

    __slots__ = ()

    @abc.abstractmethod
    def on_disconnect(self, action: Callable[[], None]) -> None:
        """Runs ``action`` once when the caller disconnects, at once if it already has."""


class BaseRequestHandler(abc.ABC):
    """Runs requests for the front end."""

    __slots__ = ()

    @abc.abstractmethod
    def handle(
        self, request: CallerRequest, disconnect_notifier: BaseDisconnectNotifier
    ) -> BaseReply:
        """Runs a request and returns its reply; called in the greenlet of the connection."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
