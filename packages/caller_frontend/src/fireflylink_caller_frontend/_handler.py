"""Interfaces between the front end and the daemon's handling of requests."""

import abc
from collections.abc import Callable

from fireflylink_core import BaseReply, CallerLimits, CallerRequest


class BaseDisconnectNotifier(abc.ABC):
    """Reports that a caller closed its connection before it received its reply."""

    __slots__ = ()

    @abc.abstractmethod
    def on_disconnect(self, action: Callable[[], None]) -> None:
        """Registers ``action`` to run once when the caller disconnects.

        It runs immediately if the caller has already disconnected.
        """


class BaseRequestHandler(abc.ABC):
    """Handles the requests that the front end receives."""

    __slots__ = ()

    @abc.abstractmethod
    def handle(
        self, request: CallerRequest, disconnect_notifier: BaseDisconnectNotifier
    ) -> BaseReply:
        """Handles a request and returns its reply; called in the greenlet of the connection."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
