"""Measures one target of the benchmark, and the CPU time and memory of a process."""

import os
import pathlib
import statistics
import time

import gevent
from returns.result import Success

from fireflylink_core import SystemClock
from fireflylink_standins._caller import Caller

MILLISECONDS_PER_SECOND = 1e3
MICROSECONDS_PER_SECOND = 1e6
KIBIBYTES_PER_MEBIBYTE = 1024.0
CPU_TIME_FIELDS = slice(11, 13)
"""User and system time, among the fields after the command name in ``/proc/PID/stat``."""


class BenchTarget:
    """An endpoint to which the benchmark sends requests, and the measured figures.

    Latencies are in seconds. CPU time is measured for ``process_id``, unless that is None.
    """

    __slots__ = (
        "answered",
        "cpu_seconds",
        "elapsed_seconds",
        "latencies",
        "name",
        "path",
        "port",
        "process_id",
    )

    def __init__(self, name: str, port: int, path: str, process_id: int | None) -> None:
        self.name = name
        self.port = port
        self.path = path
        self.process_id = process_id
        self.latencies: list[float] = []
        self.answered = 0
        self.elapsed_seconds = 0.0
        self.cpu_seconds = 0.0

    def run(self, requests: int, concurrency: int, rate: float) -> None:
        """Sends requests over ``concurrency`` connections, one at a time on each.

        ``rate`` is in requests per second over all connections; 0 means without pauses. The pauses
        do not allow for the latency, so the actual rate is lower.
        """
        pause_seconds = concurrency / rate if rate else 0.0
        cpu_seconds_before = (
            0.0 if self.process_id is None else process_cpu_seconds(self.process_id)
        )
        started = time.monotonic()
        senders = [
            gevent.spawn(self._send, requests // concurrency, pause_seconds)
            for _ in range(concurrency)
        ]
        gevent.joinall(senders, raise_error=True)
        self.elapsed_seconds += time.monotonic() - started
        if self.process_id is not None:
            self.cpu_seconds += process_cpu_seconds(self.process_id) - cpu_seconds_before

    def _send(self, requests: int, pause_seconds: float) -> None:
        caller = Caller(self.port, SystemClock())
        for _ in range(requests):
            gevent.sleep(pause_seconds)
            started = time.monotonic()
            reply = caller.send("POST", self.path, body=b"order")
            if isinstance(reply, Success) and reply.unwrap().status == 200:
                self.answered += 1
                self.latencies.append(time.monotonic() - started)
        caller.close()

    @property
    def median_seconds(self) -> float:
        """The median latency in seconds."""
        return statistics.median(self.latencies)

    def report_line(self) -> str:
        """Returns the measured figures as one line of key=value pairs.

        ``way`` is the name of the target. The CPU time is 0 if no process is measured.
        """
        ordered = sorted(self.latencies)
        count = len(ordered)
        return (
            f"event=bench way={self.name} answered={count}"
            f" requests_per_second={count / self.elapsed_seconds:.0f}"
            f" p50_ms={self.median_seconds * MILLISECONDS_PER_SECOND:.2f}"
            f" p99_ms={ordered[int(count * 0.99)] * MILLISECONDS_PER_SECOND:.2f}"
            f" daemon_cpu_us_per_request={self.cpu_seconds / count * MICROSECONDS_PER_SECOND:.0f}"
        )


def process_cpu_seconds(process_id: int) -> float:
    """Returns the CPU time that a process has used so far, in seconds."""
    text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    ticks = sum(int(field) for field in text.rpartition(")")[2].split()[CPU_TIME_FIELDS])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process_id: int) -> float:
    """Returns the resident memory of a process in mebibytes, 0 if the kernel reports none."""
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / KIBIBYTES_PER_MEBIBYTE
    return 0.0
