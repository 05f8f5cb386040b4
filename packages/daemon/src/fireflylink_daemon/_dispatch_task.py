"""Queued requests: each greenlet sleeps until its request is dispatched or refused."""

import gevent
from gevent.event import Event

from fireflylink_core import BaseClock
from fireflylink_daemon._task import spawn_supervised
from fireflylink_decisions.dispatch import BaseDispatchResult, Dispatcher, QueuedRequest

SWEEP_INTERVAL_SECONDS = 0.02


class DispatchWaiter:
    """Passes the dispatch result to the greenlet of a queued request.

    ``wake_event`` is set when ``result`` is available or the caller has disconnected.
    """

    __slots__ = ("result", "wake_event")

    def __init__(self) -> None:
        self.wake_event = Event()
        self.result: BaseDispatchResult | None = None


class DispatchTask:
    """Wakes the greenlets of queued requests with their dispatch results.

    The greenlets of the requests call it directly: unlike a ``BaseTask`` it has no mailbox. A
    greenlet that sweeps the queues at intervals runs only while requests are queued.
    """

    __slots__ = ("clock", "dispatcher", "sweeper_running", "waiters")

    def __init__(self, dispatcher: Dispatcher, clock: BaseClock) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.waiters: dict[QueuedRequest, DispatchWaiter] = {}
        self.sweeper_running = False

    def dispatch(
        self, queued_request: QueuedRequest, waiter: DispatchWaiter
    ) -> BaseDispatchResult | None:
        """Waits until a request is dispatched or refused, and returns the result.

        Returns None when ``wake_event`` was set without a result.
        """
        result = self.dispatcher.submit(queued_request, self.clock.now())
        if result is not None:
            return result
        self.waiters[queued_request] = waiter
        if not self.sweeper_running:
            self.sweeper_running = True
            spawn_supervised("sweeper", self._run_sweeper)
        try:
            waiter.wake_event.wait()
        finally:
            self.waiters.pop(queued_request, None)
            self.dispatcher.cancel(queued_request)
        return waiter.result

    def sweep(self) -> None:
        """Dispatches or refuses the queued requests that are due, and wakes their greenlets.

        To be called also when a server has completed a request, because it may then accept another.
        """
        if not self.waiters:
            return
        for queued_request, result in self.dispatcher.sweep(self.clock.now()):
            waiter = self.waiters.pop(queued_request)
            waiter.result = result
            waiter.wake_event.set()

    def _run_sweeper(self) -> None:
        while self.waiters:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()
        self.sweeper_running = False
