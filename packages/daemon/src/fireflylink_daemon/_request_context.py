"""A request that the daemon handles, with its deadline, attempts and cancellation."""

from fireflylink_backend_client import Cancellation
from fireflylink_core import CallerRequest, Route
from fireflylink_daemon._dispatch_task import DispatchWaiter
from fireflylink_decisions.retries import Attempts

MILLISECONDS_PER_SECOND = 1000.0


class RequestContext:
    """A routed request with its deadline, its attempts and its cancellation.

    ``deadline`` and ``objective_at`` are times in seconds on the daemon's clock; an answer after
    ``objective_at`` misses the target latency of the route. ``ended`` is true once the daemon's
    shutdown leaves no more time for the request.
    """

    __slots__ = (
        "attempts",
        "caller_disconnected",
        "cancellation",
        "deadline",
        "ended",
        "objective_at",
        "request",
        "route",
        "service",
        "waiter",
    )

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        deadline: float,
        attempts: Attempts,
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.deadline = deadline
        self.objective_at = request.received_at + route.objective_ms / MILLISECONDS_PER_SECOND
        self.attempts = attempts
        self.cancellation = Cancellation()
        self.waiter = DispatchWaiter()
        self.caller_disconnected = False
        self.ended = False

    def end(self) -> None:
        """Cancels the wait for a server or the call, because the daemon ends."""
        self.ended = True
        self.cancellation.cancel()
        self.waiter.wake_event.set()

    def on_disconnect(self) -> None:
        """Cancels the wait for a server or the call, because the caller has disconnected."""
        self.caller_disconnected = True
        self.cancellation.cancel()
        self.waiter.wake_event.set()
