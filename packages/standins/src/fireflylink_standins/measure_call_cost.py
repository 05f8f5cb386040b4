"""Measures the processor time of a call to a backend server.

``python -m fireflylink_standins.measure_call_cost`` runs three ways of making the same call in turn
against one stand-in process and prints the median of the rounds of each: a bare send and receive on
a gevent socket, ``geventhttpclient.HTTPClient``, and ``BackendPool.call``.
"""

import statistics
import time
from collections.abc import Callable

from absl import app, flags
from gevent import socket
from geventhttpclient import HTTPClient

from fireflylink_backend_client import Answered, BackendPool, CallHeaders
from fireflylink_core import BackendServer, CallerRequest, SystemClock
from fireflylink_standins._process_group import ProcessGroup

CALLS = flags.DEFINE_integer("calls", 2000, "Calls in a round.", upper_bound=100_000)
ROUNDS = flags.DEFINE_integer("rounds", 5, "Rounds of each way.", upper_bound=100)

MICROSECONDS = 1e6
RECEIVE_BYTES = 65536
SERVICE = "cost"
HEADERS = {
    "Fireflylink-Call-Id": "call-1",
    "Fireflylink-Request-Id": "request-1",
    "Fireflylink-Deadline-Ms": "999999999999",
    "Fireflylink-Gateway-Epoch": "1",
    "Fireflylink-Shard": "7",
    "Fireflylink-Epoch": "1",
    "Fireflylink-Tenant": "tenant",
    "Content-Type": "application/json",
}


def bare_call(port: int) -> Callable[[], None]:
    """Returns a call that only sends and receives bytes."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    request = f"GET /{SERVICE}/key HTTP/1.1\r\nHost: localhost\r\n{lines}\r\n".encode()

    def call() -> None:
        connection.sendall(request)
        assert connection.recv(RECEIVE_BYTES)

    return call


def http_client_call(port: int) -> Callable[[], None]:
    """Returns a call with geventhttpclient."""
    client = HTTPClient("127.0.0.1", port, concurrency=1)

    def call() -> None:
        response = client.request("GET", f"/{SERVICE}/key", headers=HEADERS)
        assert response.read() and response.status_code == 200

    return call


def pool_call(port: int) -> Callable[[], None]:
    """Returns a call with the backend pool."""
    clock = SystemClock()
    pool = BackendPool(BackendServer("cost", SERVICE, "local", "127.0.0.1", port, 4, 10))
    headers = CallHeaders("call-1", 999999999999, 1, 7, 1)

    def call() -> None:
        deadline = clock.now() + 1.0
        request = CallerRequest(
            SERVICE, "key", "GET", b"", deadline, "tenant", "request-1", "application/json"
        )
        assert isinstance(pool.call(request, headers), Answered)

    return call


def cost_of(call: Callable[[], None], calls: int) -> float:
    """Returns the processor time of this process for a call, in microseconds."""
    before = time.process_time()
    for _ in range(calls):
        call()
    return (time.process_time() - before) / calls * MICROSECONDS


def main(_arguments: list[str]) -> None:
    """Prints one line for each way."""
    with ProcessGroup() as group:
        backend = group.start(
            "fireflylink_standins.backend",
            f"--service={SERVICE}",
            "--service_time_ms=0",
            "--nochecks_grants",
        )
        ways = {
            "bare": bare_call(backend.port),
            "http_client": http_client_call(backend.port),
            "pool": pool_call(backend.port),
        }
        costs: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(ROUNDS.value):
            for name, call in ways.items():
                costs[name].append(cost_of(call, CALLS.value))
    for name, values in costs.items():
        print(
            f"event=call_cost way={name} median_us={statistics.median(values):.1f}"
            f" least_us={min(values):.1f} greatest_us={max(values):.1f}"
        )


if __name__ == "__main__":
    app.run(main)
