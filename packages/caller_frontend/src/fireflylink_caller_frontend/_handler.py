"""What the front end asks of the daemon."""

import abc

from fireflylink_core import BaseReply, CallerRequest, Service


class BaseRequestHandler(abc.ABC):
    """Runs the requests that the front end has read and checked."""

    __slots__ = ()

    @abc.abstractmethod
    def service(self, name: str) -> Service | None:
        """Returns a service by its name, None for an unknown one."""

    @abc.abstractmethod
    def handle(self, request: CallerRequest) -> BaseReply:
        """Runs a request within its deadline and returns what its caller is told."""

    @abc.abstractmethod
    def issue_request_id(self) -> str:
        """Returns a new request id for a caller that does not make its own."""
