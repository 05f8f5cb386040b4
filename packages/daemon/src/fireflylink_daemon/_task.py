"""Base class of the tasks: greenlets that own their state and receive messages."""

import abc
import traceback
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_problem

MAX_WAIT_SECONDS = 3600.0
"""Limit on a single wait, because ``next_wake_at`` may return infinity."""


RESTART_DELAY_SECONDS = 0.2
"""Pause before a loop that ended with an unexpected error starts again, so that it cannot spin."""


def spawn_supervised(name: str, loop: Callable[[], None]) -> gevent.Greenlet:
    """Starts a greenlet that runs ``loop``, and runs it again when it raises.

    An unexpected error is logged and does not end the part of the daemon that the loop serves. The
    greenlet ends when ``loop`` returns.
    """

    def run() -> None:
        while True:
            try:
                loop()
                return
            except Exception:
                log_problem("task-error", task=name, trace=traceback.format_exc())
            gevent.sleep(RESTART_DELAY_SECONDS)

    return gevent.spawn(run)


class MessageWithReply:
    """A message whose sender waits for a reply."""

    __slots__ = ("message", "reply")

    def __init__(self, message: object) -> None:
        self.message = message
        self.reply: AsyncResult = AsyncResult()


class BaseTask(abc.ABC):
    """A greenlet that owns state and handles one message at a time.

    Other tasks send it messages with ``post``, or with ``ask`` when they need a reply. When no
    message arrives before ``next_wake_at``, a time in seconds on the task's clock, it calls
    ``on_wake``. An exception while a message is handled is logged and does not end the task.
    """

    __slots__ = ("clock", "greenlet", "mailbox", "name")

    def __init__(self, name: str, clock: BaseClock) -> None:
        self.name = name
        self.clock = clock
        self.mailbox: Queue = Queue()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task's greenlet."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Kills the task's greenlet without waiting until it has ended."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def post(self, message: object) -> None:
        """Sends a message without waiting."""
        self.mailbox.put(message)

    def ask(self, message: object, timeout: float) -> Any:
        """Sends a message and returns the reply.

        Raises ``gevent.Timeout`` when no reply arrives within ``timeout`` seconds.
        """
        request = MessageWithReply(message)
        self.mailbox.put(request)
        return request.reply.get(timeout=timeout)

    def _run(self) -> None:
        while True:
            message = self._next_message()
            try:
                self._handle(message)
            except Exception:
                log_problem("task-error", task=self.name, trace=traceback.format_exc())

    def _next_message(self) -> object:
        """Returns the next message; None when it is time for ``on_wake``."""
        remaining = max(0.0, self.next_wake_at() - self.clock.now())
        try:
            return self.mailbox.get(timeout=min(remaining, MAX_WAIT_SECONDS))
        except Empty:
            return None

    def _handle(self, message: object) -> None:
        if message is None:
            self.on_wake()
        elif isinstance(message, MessageWithReply):
            try:
                message.reply.set(self.receive(message.message))
            except Exception as error:
                message.reply.set_exception(error)
                raise
        else:
            self.receive(message)

    @abc.abstractmethod
    def next_wake_at(self) -> float:
        """Returns when ``on_wake`` is to be called, in seconds on the task's clock."""

    @abc.abstractmethod
    def on_wake(self) -> None:
        """Does the periodic work."""

    @abc.abstractmethod
    def receive(self, message: object) -> object:
        """Handles a message; the result is the reply when the sender asked for one."""
