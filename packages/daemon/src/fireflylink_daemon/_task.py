"""Tasks: greenlets that own their state and receive messages."""

import abc
import traceback
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_problem

LONGEST_WAIT_SECONDS = 3600.0


class Ask:
    """A message whose sender waits for a reply."""

    __slots__ = ("message", "reply")

    def __init__(self, message: object) -> None:
        self.message = message
        self.reply: AsyncResult = AsyncResult()


class BaseTask(abc.ABC):
    """A greenlet that owns state and handles one message at a time.

    Others send it messages with ``post``, or with ``ask`` when they need a reply. Between messages
    it is woken at ``next_wake``, a time on the task's clock. A message whose handling fails is
    logged and does not end the task.
    """

    __slots__ = ("clock", "greenlet", "mailbox", "name")

    def __init__(self, name: str, clock: BaseClock) -> None:
        self.name = name
        self.clock = clock
        self.mailbox: Queue = Queue()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the task at its next wait."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def post(self, message: object) -> None:
        """Sends a message without waiting."""
        self.mailbox.put(message)

    def ask(self, message: object, timeout: float) -> Any:
        """Sends a message and waits for the reply, at most ``timeout`` s (``gevent.Timeout``)."""
        question = Ask(message)
        self.mailbox.put(question)
        return question.reply.get(timeout=timeout)

    def _run(self) -> None:
        while True:
            message = self._next_message()
            try:
                self._handle(message)
            except Exception:
                log_problem("task-error", task=self.name, trace=traceback.format_exc())

    def _next_message(self) -> object:
        remaining = max(0.0, self.next_wake() - self.clock.now())
        try:
            return self.mailbox.get(timeout=min(remaining, LONGEST_WAIT_SECONDS))
        except Empty:
            return None

    def _handle(self, message: object) -> None:
        if message is None:
            self.wake()
        elif isinstance(message, Ask):
            try:
                message.reply.set(self.receive(message.message))
            except Exception as error:
                message.reply.set_exception(error)
                raise
        else:
            self.receive(message)

    @abc.abstractmethod
    def next_wake(self) -> float:
        """Returns when to wake, in seconds on the clock, if no message arrives before."""

    @abc.abstractmethod
    def wake(self) -> None:
        """Does the periodic work."""

    @abc.abstractmethod
    def receive(self, message: object) -> object:
        """Handles a message; the result is the reply when the sender asked for one."""
