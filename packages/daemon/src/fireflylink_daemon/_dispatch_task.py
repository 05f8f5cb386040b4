"""Requests that wait for a server: their greenlets sleep until the dispatcher has placed them."""

import gevent
from gevent.event import Event

from fireflylink_core import BaseClock
from fireflylink_decisions.dispatch import BaseDispatchResult, Dispatcher, QueuedRequest

SWEEP_SECONDS = 0.02


class WaitingRequest:
    """The greenlet of a queued request, which waits for the result of dispatching."""

    __slots__ = ("placement", "woken")

    def __init__(self) -> None:
        self.woken = Event()
        self.placement: BaseDispatchResult | None = None


class DispatchTask:
    """Wakes waiting requests; it runs only while there are any."""

    __slots__ = ("clock", "dispatcher", "running", "waiting")

    def __init__(self, dispatcher: Dispatcher, clock: BaseClock) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.waiting: dict[QueuedRequest, WaitingRequest] = {}
        self.running = False

    def place(
        self, queued_request: QueuedRequest, request: WaitingRequest
    ) -> BaseDispatchResult | None:
        """Returns the result for a queued request; None when it was woken without one."""
        result = self.dispatcher.submit(queued_request, self.clock.now())
        if result is not None:
            return result
        self.waiting[queued_request] = request
        if not self.running:
            self.running = True
            gevent.spawn(self._run)
        try:
            request.woken.wait()
        finally:
            self.waiting.pop(queued_request, None)
            self.dispatcher.cancel(queued_request)
        return request.placement

    def sweep(self) -> None:
        """Places what can be placed, after a request has ended or the servers have changed."""
        if not self.waiting:
            return
        for queued_request, result in self.dispatcher.sweep(self.clock.now()):
            request = self.waiting.pop(queued_request)
            request.placement = result
            request.woken.set()

    def _run(self) -> None:
        while self.waiting:
            gevent.sleep(SWEEP_SECONDS)
            self.sweep()
        self.running = False
