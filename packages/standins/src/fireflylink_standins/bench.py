"""Measures the path of a request: ``python -m fireflylink_standins.bench``.

It starts a whole system on stand-ins and sends the same request in three ways, in turn within each
round: to the stand-in server directly, through the daemon that is the gateway of the key, and
through another daemon that forwards to the gateway. The processor time is that of the daemons on
the path, read from the operating system, with the daemons' background work.
"""

import os
import pathlib
import statistics
import tempfile
import time

import gevent
from absl import app, flags
from geventhttpclient import HTTPClient

from fireflylink_core import BaseFireflylinkError
from fireflylink_standins._examples import ASSOCIATION
from fireflylink_standins._local_files import HOST
from fireflylink_standins._local_system import LocalSystem

REQUESTS = flags.DEFINE_integer("requests", 1500, "Requests of a way in a round.", 1, 100_000)
ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds of each way.", 1, 20)
CONCURRENCY = flags.DEFINE_integer("concurrency", 3, "Requests open at once.", 1, 64)

SERVICE = "availability"
KEY = "room-17"
MILLISECONDS = 1e3
MICROSECONDS = 1e6
KILOBYTES_PER_MEGABYTE = 1024.0
IDLE_SECONDS = 4.0
CPU_FIELDS = slice(11, 13)


class BenchError(BaseFireflylinkError):
    """A request of the benchmark was not answered."""


class Way:
    """A way to send the request and what was measured of it.

    ``processes`` are the ids of the daemons on the path. Latencies are in seconds.
    """

    __slots__ = ("cpu", "headers", "latencies", "name", "path", "port", "processes", "seconds")

    def __init__(
        self, name: str, port: int, path: str, headers: dict[str, str], processes: tuple[int, ...]
    ) -> None:
        self.name = name
        self.port = port
        self.path = path
        self.headers = headers
        self.processes = processes
        self.latencies: list[float] = []
        self.seconds = 0.0
        self.cpu = 0.0

    def run(self, requests: int, concurrency: int) -> None:
        """Sends requests over ``concurrency`` connections, one after another on each."""
        client = HTTPClient(HOST, port=self.port, concurrency=concurrency)
        before = processor_seconds(self.processes)
        started = time.monotonic()
        share = requests // concurrency
        senders = [gevent.spawn(self._send, client, share) for _ in range(concurrency)]
        gevent.joinall(senders, raise_error=True)
        self.seconds += time.monotonic() - started
        self.cpu += processor_seconds(self.processes) - before
        client.close()

    def _send(self, client: HTTPClient, requests: int) -> None:
        for _ in range(requests):
            started = time.monotonic()
            response = client.get(self.path, headers=self.headers)
            response.read()
            if response.status_code != 200:
                raise BenchError(f"{self.name}: status {response.status_code}")
            self.latencies.append(time.monotonic() - started)

    def line(self) -> str:
        """Returns the measured figures as key=value pairs."""
        ordered = sorted(self.latencies)
        count = len(ordered)
        return (
            f"event=bench way={self.name} requests={count}"
            f" requests_per_second={count / self.seconds:.0f}"
            f" p50_ms={statistics.median(ordered) * MILLISECONDS:.2f}"
            f" p99_ms={ordered[int(count * 0.99)] * MILLISECONDS:.2f}"
            f" daemon_cpu_us_per_request={self.cpu / count * MICROSECONDS:.0f}"
        )


def processor_seconds(process_ids: tuple[int, ...]) -> float:
    """Returns the processor time that processes have used so far."""
    ticks = 0
    for process_id in process_ids:
        text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
        ticks += sum(int(field) for field in text.rpartition(")")[2].split()[CPU_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process_id: int) -> float:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


def ways_of(system: LocalSystem) -> tuple[Way, ...]:
    """Returns the three ways to send a request for the same key to the same server."""
    entry = next(iter(system.daemons))
    explained = system.explain(entry, SERVICE, KEY)
    gateway = explained["gateway"]
    other = next(name for name in system.daemons if name != gateway)
    number = int(explained["server_ids"][0].rpartition("-")[2])
    gateway_id = system.processes[gateway].process_id
    other_id = system.processes[other].process_id
    path = f"/v1/{SERVICE}/{KEY}"
    server_port = system.server_ports[SERVICE][number - 1]
    headers = {
        "Fireflylink-Call-Id": "bench",
        "Fireflylink-Deadline-Ms": str(1 << 52),
        "Fireflylink-Gateway-Epoch": str(explained["gateway_epoch"]),
        "Fireflylink-Shard": str(explained["shard"]),
        "Fireflylink-Epoch": str(explained["epoch"]),
    }
    return (
        Way("direct", server_port, f"/{SERVICE}/{KEY}", headers, ()),
        Way("gateway", system.daemons[gateway].caller_port, path, {}, (gateway_id,)),
        Way("forwarded", system.daemons[other].caller_port, path, {}, (gateway_id, other_id)),
    )


def main(_arguments: list[str]) -> None:
    """Runs the rounds and prints a line for each way."""
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(
            pathlib.Path(folder),
            ASSOCIATION,
            checks_grants=False,
            backend_flags=("--service_time_ms=0",),
        )
        try:
            system.start()
            ways = ways_of(system)
            for _ in range(ROUNDS.value):
                for way in ways:
                    way.run(REQUESTS.value, CONCURRENCY.value)
            process_ids = tuple(process.process_id for process in system.processes.values())
            resident = [resident_megabytes(process_id) for process_id in process_ids]
            used = processor_seconds(process_ids)
            time.sleep(IDLE_SECONDS)
            idle = (processor_seconds(process_ids) - used) / IDLE_SECONDS / len(process_ids)
        finally:
            system.stop()
    for way in ways:
        print(way.line(), flush=True)
    print(
        f"event=bench_daemon count={len(resident)} resident_mb={max(resident):.0f}"
        f" idle_cpu_ms_per_second={idle * MILLISECONDS:.1f}"
    )


if __name__ == "__main__":
    app.run(main)
