"""Measures the cost of a daemon: ``python -m fireflylink_standins.bench``.

The same request is sent to a stand-in server directly and through a daemon. Both are measured in
turn within each round, so that other load on the machine slows both. With ``--stop_reading`` the
log of the daemon goes to a pipe that is never read, which measures a daemon whose log is blocked.
"""

import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
from absl import flags
from returns.result import Success

from fireflylink_core import SystemClock
from fireflylink_standins import (
    ORDER_PATH,
    BenchTarget,
    Caller,
    LocalSystem,
    process_cpu_seconds,
    resident_megabytes,
)

REQUESTS = flags.DEFINE_integer("requests", 1000, "Requests per target and round.", 1, 100_000)
ROUNDS = flags.DEFINE_integer("rounds", 3, "Rounds of each target.", 1, 20)
CONCURRENCY = flags.DEFINE_integer("concurrency", 3, "Concurrent requests.", 1, 64)
RATE = flags.DEFINE_float("rate", 0.0, "Requests per second; 0 means without pauses.", 0.0)
STOP_READING = flags.DEFINE_bool("stop_reading", False, "Do not read the daemon's log.")

FIRST_TABLE_WAIT_SECONDS = 4.0
IDLE_MEASUREMENT_SECONDS = 4.0
START_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.005
MILLISECONDS_PER_SECOND = 1e3


def _measure_start_seconds(system: LocalSystem) -> float:
    """Starts another daemon; returns the seconds until it answers any request.

    Returns ``START_TIMEOUT_SECONDS`` if it does not answer within that time.
    """
    started = time.monotonic()
    daemon = system.add_daemon()
    while time.monotonic() < started + START_TIMEOUT_SECONDS:
        reply = Caller(daemon.caller_port, SystemClock()).send("GET", "/none")
        if isinstance(reply, Success):
            return time.monotonic() - started
        gevent.sleep(POLL_SECONDS)
    return START_TIMEOUT_SECONDS


def main() -> int:
    """Runs the rounds and prints one line for each target."""
    flags.FLAGS(sys.argv)
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(pathlib.Path(folder))
        if STOP_READING.value:
            system.log_output = subprocess.PIPE
        system.start(daemons=1)
        try:
            return _run_rounds(system)
        finally:
            system.stop()


def _run_rounds(system: LocalSystem) -> int:
    gevent.sleep(FIRST_TABLE_WAIT_SECONDS)
    for server in system.servers.values():
        server.work_seconds = 0.0
    [daemon] = system.daemons
    process = daemon.process
    if process is None:
        return 1
    resident_mb = resident_megabytes(process.pid)
    cpu_seconds_before = process_cpu_seconds(process.pid)
    gevent.sleep(IDLE_MEASUREMENT_SECONDS)
    idle_cpu_fraction = (
        process_cpu_seconds(process.pid) - cpu_seconds_before
    ) / IDLE_MEASUREMENT_SECONDS
    server = next(server for server in system.servers.values() if not server.keyed)
    path = f"{ORDER_PATH}1"
    direct = BenchTarget("direct", server.listener.port, path, None)
    routed = BenchTarget("daemon", daemon.caller_port, path, process.pid)
    for _ in range(ROUNDS.value):
        for target in (direct, routed):
            target.run(REQUESTS.value, CONCURRENCY.value, RATE.value)
    for target in (direct, routed):
        print(target.report_line(), flush=True)
    sent = REQUESTS.value // CONCURRENCY.value * CONCURRENCY.value * ROUNDS.value
    print(
        f"event=bench_daemon"
        f" added_p50_ms="
        f"{(routed.median_seconds - direct.median_seconds) * MILLISECONDS_PER_SECOND:.2f}"
        f" resident_mb={resident_mb:.0f}"
        f" idle_cpu_ms_per_second={idle_cpu_fraction * MILLISECONDS_PER_SECOND:.1f}"
        f" listening_seconds={_measure_start_seconds(system):.2f}"
        f" unanswered={sent - routed.answered}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
