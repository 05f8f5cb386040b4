"""Measures what a daemon costs: ``python -m fireflylink_standins.bench``.

The same request goes to a stand-in server directly and through a daemon, in turn within each round,
so that a busy machine slows both. With ``--stop_reading`` the log of the daemon goes to a pipe that
nobody reads.
"""

import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
from absl import flags

from fireflylink_core import SystemClock
from fireflylink_standins import (
    ORDER_PATH,
    BenchTarget,
    Caller,
    LocalSystem,
    process_cpu_seconds,
    resident_megabytes,
)

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
    used = process_cpu_seconds(process.pid)
    gevent.sleep(IDLE_SECONDS)
    idle = (process_cpu_seconds(process.pid) - used) / IDLE_SECONDS
    server = next(found for found in system.servers.values() if not found.keyed)
    target = f"{ORDER_PATH}1"
    direct = BenchTarget("direct", server.listener.port, target, None)
    routed = BenchTarget("daemon", daemon.callers, target, process.pid)
    for _ in range(ROUNDS.value):
        for way in (direct, routed):
            way.run(REQUESTS.value, CONCURRENCY.value, RATE.value)
    for way in (direct, routed):
        print(way.report_line(), flush=True)
    asked = REQUESTS.value // CONCURRENCY.value * CONCURRENCY.value * ROUNDS.value
    print(
        f"event=bench_daemon"
        f" added_p50_ms={(routed.median_seconds - direct.median_seconds) * MILLISECONDS:.2f}"
        f" resident_mb={resident:.0f} idle_cpu_ms_per_second={idle * MILLISECONDS:.1f}"
        f" listening_seconds={listening_seconds(system):.2f} unanswered={asked - routed.answered}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
