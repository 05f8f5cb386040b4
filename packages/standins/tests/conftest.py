"""A local system on stand-ins, with daemons as processes of their own."""

import pathlib

import gevent
import pytest

from fireflylink_core import SystemClock
from fireflylink_standins import LOOKUP_PATH, ORDER_PATH, Caller, LocalSystem

START_SECONDS = 20.0
POLL_SECONDS = 0.1


class RunningSystem:
    """A system that serves, and callers of it."""

    def __init__(self, folder: pathlib.Path, daemons: int) -> None:
        self.system = LocalSystem(folder)
        self.clock = SystemClock()
        self.system.start(daemons=daemons)
        self.await_service()

    def caller(self, number: int = 0) -> Caller:
        return Caller(self.system.daemons[number].callers, self.clock)

    def lookup(self, key: int, daemon: int = 0) -> int:
        """Returns the status of a lookup, 0 when there was no reply."""
        caller = self.caller(daemon)
        reply = caller.send("GET", f"{LOOKUP_PATH}{key}", key=key)
        caller.close()
        return 0 if reply is None else reply.status

    def await_reply(self, daemon: int) -> None:
        """Waits until a daemon that was just started replies to anything."""
        began = self.clock.now()
        while self.lookup(5, daemon) == 0:
            assert self.clock.now() < began + START_SECONDS, "no reply in time"
            gevent.sleep(POLL_SECONDS)

    def order(self, name: str, daemon: int = 0, request_id: str = "") -> int:
        """Returns the status of an order, 0 when there was no reply."""
        caller = self.caller(daemon)
        reply = caller.send("POST", f"{ORDER_PATH}{name}", body=b"order", request_id=request_id)
        caller.close()
        return 0 if reply is None else reply.status

    def served(self, daemon: int) -> bool:
        """Whether a daemon serves keys all over the range and orders."""
        keys = (0, 20000, 40000, 65535)
        return (
            all(self.lookup(key, daemon) == 200 for key in keys) and self.order("x", daemon) == 200
        )

    def await_service(self, seconds: float = START_SECONDS) -> float:
        """Waits until every daemon serves everything; returns how long that took."""
        began = self.clock.now()
        while not all(self.served(number) for number in range(len(self.system.daemons))):
            assert self.clock.now() < began + seconds, "not served in time"
            gevent.sleep(POLL_SECONDS)
        return self.clock.now() - began


@pytest.fixture
def running(tmp_path):
    """Three daemons, three servers with keys, two without."""
    found = RunningSystem(tmp_path, 3)
    yield found
    found.system.stop()
