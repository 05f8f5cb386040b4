"""Demo: daemons with stand-ins serve requests during a server crash, a drain and a shutdown."""

import collections
import pathlib
import sys
import tempfile

import gevent
from absl import flags

from fireflylink_core import SystemClock
from fireflylink_http_client import HttpResponse
from fireflylink_standins import LOOKUP_PATH, ORDER_PATH, Caller, LocalSystem

DAEMONS = flags.DEFINE_integer("daemons", 3, "Number of daemons to start.", lower_bound=1)
REQUESTS = flags.DEFINE_integer(
    "requests", 300, "Number of requests to send in each phase.", lower_bound=1
)

FIRST_TABLE_WAIT_SECONDS = 6.0
OWNER_CHANGE_WAIT_SECONDS = 6.0
EXIT_TIMEOUT_SECONDS = 8.0
KEY_STEP = 211
"""Distance between the keys of successive requests, which spreads them over the range."""
KEY_COUNT = 65536


def _send_requests(system: LocalSystem, count: int) -> None:
    callers = [Caller(daemon.caller_port, SystemClock()) for daemon in system.daemons]
    outcomes: collections.Counter[str] = collections.Counter()
    for number in range(count):
        caller = callers[number % len(callers)]
        if number % 3:
            reply = caller.send("GET", f"{LOOKUP_PATH}{number}", key=number * KEY_STEP % KEY_COUNT)
        else:
            reply = caller.send("POST", f"{ORDER_PATH}{number}", body=b"order")
        outcomes[reply.map(_describe_status).value_or("no answer")] += 1
    for outcome, total in sorted(outcomes.items()):
        print(f"  {total} requests: {outcome}")


def _describe_status(response: HttpResponse) -> str:
    return f"status {response.status}"


def _print_executed(system: LocalSystem) -> None:
    for name, server in sorted(system.servers.items()):
        print(f"  server {name} ({server.service}): ran {len(server.state.executed)} requests")


def main() -> int:
    """Runs the demo; returns 0 if every daemon exits with status 0."""
    flags.FLAGS(sys.argv)
    with tempfile.TemporaryDirectory() as folder:
        system = LocalSystem(pathlib.Path(folder))
        system.start(daemons=DAEMONS.value)
        try:
            return _run_phases(system)
        finally:
            system.stop()


def _run_phases(system: LocalSystem) -> int:
    print(f"{DAEMONS.value} daemons started; waiting for the first ownership table")
    gevent.sleep(FIRST_TABLE_WAIT_SECONDS)
    _send_requests(system, REQUESTS.value)
    _print_executed(system)
    print("server a0 is lost without a word; its keys get another owner")
    system.servers.pop("a0").stop()
    gevent.sleep(OWNER_CHANGE_WAIT_SECONDS)
    _send_requests(system, REQUESTS.value)
    print("server b0 drains; new orders go to the others")
    executed_before = len(system.servers["b0"].state.executed)
    system.servers["b0"].drain()
    gevent.sleep(1.0)
    _send_requests(system, REQUESTS.value)
    print(
        f"  server b0 ran {len(system.servers['b0'].state.executed) - executed_before}"
        " requests since"
    )
    print("the daemons leave")
    for daemon in system.daemons:
        daemon.terminate()
    statuses = [daemon.wait(EXIT_TIMEOUT_SECONDS) for daemon in system.daemons]
    print(f"  exit status {statuses}")
    return 0 if all(status == 0 for status in statuses) else 1


if __name__ == "__main__":
    sys.exit(main())
