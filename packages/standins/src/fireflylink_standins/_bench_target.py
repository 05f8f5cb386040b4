"""One way to send the requests of the benchmark, and what a process costs."""

import os
import pathlib
import statistics
import time

import gevent

from fireflylink_core import SystemClock
from fireflylink_standins._caller import Caller

MILLISECONDS = 1e3
MICROSECONDS = 1e6
KILOBYTES_PER_MEGABYTE = 1024.0
CPU_FIELDS = slice(11, 13)
"""User and system time among the fields after the command's name in ``/proc/PID/stat``."""


class BenchTarget:
    """A way to send the request, and what was measured of it; latencies in seconds."""

    __slots__ = (
        "answered",
        "cpu_seconds",
        "elapsed_seconds",
        "latencies",
        "name",
        "port",
        "process_id",
        "target",
    )

    def __init__(self, name: str, port: int, target: str, process_id: int | None) -> None:
        self.name = name
        self.port = port
        self.target = target
        self.process_id = process_id
        self.latencies: list[float] = []
        self.answered = 0
        self.elapsed_seconds = 0.0
        self.cpu_seconds = 0.0

    def run(self, requests: int, concurrency: int, rate: float) -> None:
        """Sends requests over ``concurrency`` connections, one after another on each.

        ``rate`` is in requests a second over all connections; 0 stands for no pauses.
        """
        pause = concurrency / rate if rate else 0.0
        before = 0.0 if self.process_id is None else process_cpu_seconds(self.process_id)
        started = time.monotonic()
        senders = [
            gevent.spawn(self._send, requests // concurrency, pause) for _ in range(concurrency)
        ]
        gevent.joinall(senders, raise_error=True)
        self.elapsed_seconds += time.monotonic() - started
        if self.process_id is not None:
            self.cpu_seconds += process_cpu_seconds(self.process_id) - before

    def _send(self, requests: int, pause: float) -> None:
        caller = Caller(self.port, SystemClock())
        for _ in range(requests):
            gevent.sleep(pause)
            started = time.monotonic()
            reply = caller.send("POST", self.target, body=b"order")
            if reply is not None and reply.status == 200:
                self.answered += 1
                self.latencies.append(time.monotonic() - started)
        caller.close()

    @property
    def median_seconds(self) -> float:
        """The median latency in seconds."""
        return statistics.median(self.latencies)

    def report_line(self) -> str:
        """Returns the measured figures as key=value pairs."""
        ordered = sorted(self.latencies)
        count = len(ordered)
        return (
            f"event=bench way={self.name} answered={count}"
            f" requests_per_second={count / self.elapsed_seconds:.0f}"
            f" p50_ms={self.median_seconds * MILLISECONDS:.2f}"
            f" p99_ms={ordered[int(count * 0.99)] * MILLISECONDS:.2f}"
            f" daemon_cpu_us_per_request={self.cpu_seconds / count * MICROSECONDS:.0f}"
        )


def process_cpu_seconds(process_id: int) -> float:
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
