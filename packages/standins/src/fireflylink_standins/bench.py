"""Measures what a daemon costs: ``python -m fireflylink_standins.bench``.

The same request goes to a stand-in server directly and through a daemon, in turn within each round,
so that a busy machine slows both. With ``--stop_reading`` the log of the daemon goes to a pipe that
nobody reads.
"""

import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import gevent
from absl import flags

from fireflylink_core import SystemClock
from fireflylink_standins import ORDER_PATH, Caller, LocalSystem

REQUESTS = flags.DEFINE_integer("requests", 1000, "Requests of a way in a round.", 1, 100_000)
ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds of each way.", 1, 20)
CONCURRENCY = flags.DEFINE_integer("concurrency", 3, "Requests open at once.", 1, 64)
RATE = flags.DEFINE_float("rate", 0.0, "Requests a second; 0: as many as are answered.", 0.0)
STOP_READING = flags.DEFINE_bool("stop_reading", False, "Do not read the daemon's log.")

SETTLE_SECONDS = 4.0
IDLE_SECONDS = 4.0
START_LIMIT_SECONDS = 10.0
POLL_SECONDS = 0.005
MILLISECONDS = 1e3
MICROSECONDS = 1e6
KILOBYTES_PER_MEGABYTE = 1024.0
CPU_FIELDS = slice(11, 13)
"""User and system time among the fields after the command's name in ``/proc/PID/stat``."""


class Way:
    """A way to send the request, and what was measured of it; latencies in seconds."""

    __slots__ = ("answered", "cpu", "latencies", "name", "port", "process_id", "seconds", "target")

    def __init__(self, name: str, port: int, target: str, process_id: int | None) -> None:
        self.name = name
        self.port = port
        self.target = target
        self.process_id = process_id
        self.latencies: list[float] = []
        self.answered = 0
        self.seconds = 0.0
        self.cpu = 0.0

    def run(self, requests: int, concurrency: int) -> None:
        """Sends requests over ``concurrency`` connections, one after another on each."""
        before = 0.0 if self.process_id is None else processor_seconds(self.process_id)
        started = time.monotonic()
        senders = [gevent.spawn(self._send, requests // concurrency) for _ in range(concurrency)]
        gevent.joinall(senders, raise_error=True)
        self.seconds += time.monotonic() - started
        if self.process_id is not None:
            self.cpu += processor_seconds(self.process_id) - before

    def _send(self, requests: int) -> None:
        caller = Caller(self.port, SystemClock())
        pause = CONCURRENCY.value / RATE.value if RATE.value else 0.0
        for _ in range(requests):
            gevent.sleep(pause)
            started = time.monotonic()
            reply = caller.send("POST", self.target, body=b"order")
            if reply is not None and reply.status == 200:
                self.answered += 1
                self.latencies.append(time.monotonic() - started)
        caller.close()

    @property
    def median(self) -> float:
        """The median latency in seconds."""
        return statistics.median(self.latencies)

    def line(self) -> str:
        """Returns the measured figures as key=value pairs."""
        ordered = sorted(self.latencies)
        count = len(ordered)
        return (
            f"event=bench way={self.name} answered={count}"
            f" requests_per_second={count / self.seconds:.0f}"
            f" p50_ms={self.median * MILLISECONDS:.2f}"
            f" p99_ms={ordered[int(count * 0.99)] * MILLISECONDS:.2f}"
            f" daemon_cpu_us_per_request={self.cpu / count * MICROSECONDS:.0f}"
        )


def processor_seconds(process_id: int) -> float:
    """Returns the processor time that a process has used so far."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    ticks = sum(int(field) for field in text.rpartition(")")[2].split()[CPU_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process_id: int) -> float:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


def listening_seconds(system: LocalSystem) -> float:
    """Starts another daemon; returns how long it took until it answered anything."""
    started = time.monotonic()
    daemon = system.add_daemon()
    while time.monotonic() < started + START_LIMIT_SECONDS:
        if Caller(daemon.callers, SystemClock()).send("GET", "/none") is not None:
            return time.monotonic() - started
        gevent.sleep(POLL_SECONDS)
    return START_LIMIT_SECONDS


def main() -> int:
    """Runs the rounds and prints a line for each way."""
    flags.FLAGS(sys.argv)
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(pathlib.Path(folder))
        if STOP_READING.value:
            system.log_output = subprocess.PIPE
        system.start(daemons=1)
        try:
            return _measure(system)
        finally:
            system.stop()


def _measure(system: LocalSystem) -> int:
    gevent.sleep(SETTLE_SECONDS)
    for server in system.servers.values():
        server.work_seconds = 0.0
    [daemon] = system.daemons
    process = daemon.process
    if process is None:
        return 1
    resident = resident_megabytes(process.pid)
    used = processor_seconds(process.pid)
    gevent.sleep(IDLE_SECONDS)
    idle = (processor_seconds(process.pid) - used) / IDLE_SECONDS
    server = next(found for found in system.servers.values() if not found.keyed)
    target = f"{ORDER_PATH}1"
    direct = Way("direct", server.listener.port, target, None)
    routed = Way("daemon", daemon.callers, target, process.pid)
    for _ in range(ROUNDS.value):
        for way in (direct, routed):
            way.run(REQUESTS.value, CONCURRENCY.value)
    for way in (direct, routed):
        print(way.line(), flush=True)
    asked = REQUESTS.value // CONCURRENCY.value * CONCURRENCY.value * ROUNDS.value
    print(
        f"event=bench_daemon added_p50_ms={(routed.median - direct.median) * MILLISECONDS:.2f}"
        f" resident_mb={resident:.0f} idle_cpu_ms_per_second={idle * MILLISECONDS:.1f}"
        f" listening_seconds={listening_seconds(system):.2f} unanswered={asked - routed.answered}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
