"""Fixtures: the store with a client; a local system, with daemons as child processes."""

import pathlib

import gevent
import pytest

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import CallerLimits, SystemClock
from fireflylink_platform import PlatformStoreClient
from fireflylink_standins import (
    LOOKUP_PATH,
    ORDER_PATH,
    Caller,
    LocalSystem,
    StoreFaults,
    StoreState,
    make_store_application,
)
from fireflylink_store import Commit, Put

START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1


class StoreAndClient:
    """A running stand-in of the store and a client of it."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.state = StoreState(self.clock)
        self.faults = StoreFaults()
        application = make_store_application(self.state, self.faults)
        self.listener = HttpListener(application, "127.0.0.1", 0, CallerLimits)
        self.listener.start()
        self.client = self.new_client()

    def new_client(self) -> PlatformStoreClient:
        return PlatformStoreClient("127.0.0.1", self.listener.port, self.clock)

    def deadline(self) -> float:
        return self.clock.now() + 5.0

    def put(self, key: str, value: bytes, expected: int | None = None, lease: int = 0):
        conditions = () if expected is None else ((key, expected),)
        commit = Commit(conditions, (Put(key, value, lease),))
        return self.client.commit(commit, self.deadline())


@pytest.fixture
def store():
    started = StoreAndClient()
    yield started
    started.client.interrupt()
    started.listener.close()


class SystemHarness:
    """Starts a system, waits until it serves requests, and sends requests as a caller."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.system = LocalSystem(folder)
        self.clock = SystemClock()

    def start(self, daemons: int) -> None:
        self.system.start(daemons=daemons)
        self.await_service()

    def caller(self, number: int = 0) -> Caller:
        return Caller(self.system.daemons[number].caller_port, self.clock)

    def lookup(self, key: int, daemon: int = 0) -> int:
        """Returns the status of a lookup, 0 if there is no reply."""
        caller = self.caller(daemon)
        reply = caller.send("GET", f"{LOOKUP_PATH}{key}", key=key)
        caller.close()
        return reply.map(lambda response: response.status).value_or(0)

    def await_reply(self, daemon: int) -> None:
        """Waits until a daemon that was just started sends any reply; the key does not matter."""
        started_at = self.clock.now()
        while self.lookup(5, daemon) == 0:
            assert (
                self.clock.now() < started_at + START_TIMEOUT_SECONDS
            ), "no reply from the started daemon in time"
            gevent.sleep(POLL_SECONDS)

    def order(self, name: str, daemon: int = 0, request_id: str = "") -> int:
        """Returns the status of an order, 0 if there is no reply."""
        caller = self.caller(daemon)
        reply = caller.send("POST", f"{ORDER_PATH}{name}", body=b"order", request_id=request_id)
        caller.close()
        return reply.map(lambda response: response.status).value_or(0)

    def serves_requests(self, daemon: int) -> bool:
        """Whether a daemon serves orders, and lookups of keys spread over the whole range."""
        keys = (0, 20000, 40000, 65535)
        return (
            all(self.lookup(key, daemon) == 200 for key in keys) and self.order("x", daemon) == 200
        )

    def await_service(self, seconds: float = START_TIMEOUT_SECONDS) -> float:
        """Waits until every daemon serves lookups and orders; returns the seconds that it took."""
        started_at = self.clock.now()
        while not all(self.serves_requests(number) for number in range(len(self.system.daemons))):
            assert (
                self.clock.now() < started_at + seconds
            ), "some daemon does not serve lookups and orders in time"
            gevent.sleep(POLL_SECONDS)
        return self.clock.now() - started_at


@pytest.fixture
def harness(tmp_path):
    """Three daemons, three servers that own keys, and two that do not."""
    started = SystemHarness(tmp_path)
    # The daemons of a system that does not serve in time must be ended, too.
    try:
        started.start(daemons=3)
        yield started
    finally:
        started.system.stop()
