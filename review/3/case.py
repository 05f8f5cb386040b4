"""Case 3: answers without end from one service hold up the answers of all the others.

Judges the requests to two other services, whose servers are sound throughout.
"""

import json
import os
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
COMMON = FOLDER.parent / "common"
sys.path.insert(0, str(COMMON))

from clients import Clients, Kind, ReadinessChecks  # noqa: E402
from deployment import (  # noqa: E402
    CannotRunError,
    Daemon,
    Helper,
    await_ready,
    check_built,
    free_hosts,
)

DAEMONS = 3
HOST = "rooms.example"
# A third of the Association's rates, servers and instances; at each daemon the rates are its own.
KINDS = [
    Kind("lookup", HOST, "GET", "/lookup/", 17.6, 3000, True, 0),
    Kind("hold", HOST, "POST", "/hold/", 6.8, 4000, False, 1200),
    Kind("booking", HOST, "PUT", "/booking/", 4.5, 2000, False, 4000),
]
TIMEOUTS_MS = {"lookup": 1500, "hold": 2000, "booking": 1000}
SOUND = {"availability": [1, 0.16], "holds": [3, 0.21], "bookings": [2, 0.11]}
TROUBLED = [f"availability-t{number}" for number in range(5)]
# Below the largest dose of ``srv_grey``: all servers of the service, 0.55 of requests, 8.5 s.
TROUBLE_SECONDS = 8.5
TROUBLE_SHARE = 0.5
LINK_BYTES_PER_SECOND = 125_000_000
CALM_SECONDS = 10.0
AFTER_SECONDS = 8.0
LATE_SECONDS = 0.5


def main() -> int:
    check_built()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    helpers: list[Helper] = []
    daemons: list[Daemon] = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            return run(folder, helpers, daemons, trouble)
        finally:
            for daemon in daemons:
                daemon.kill()
            for helper in helpers:
                helper.kill()


def run(folder, helpers, daemons, trouble: bool) -> int:
    troubled = Helper(
        COMMON / "troubled_servers.py",
        json.dumps(
            {
                "ids": TROUBLED,
                "keyed": True,
                "mean_seconds": 0.16,
                "share": TROUBLE_SHARE,
                "chunked": True,
                "piece": ".\n",
                "bytes_per_second": LINK_BYTES_PER_SECOND,
            }
        ),
    )
    helpers.append(troubled)
    ports = troubled.read()
    others = [
        {
            "id": server_id,
            "service": "availability",
            "address": f"127.0.0.1:{ports[server_id]}",
            "zone": ("kingston", "spanish-town", "mandeville")[number % 3],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        for number, server_id in enumerate(TROUBLED)
    ]
    options = {"timeouts_ms": list(TIMEOUTS_MS.values()), "servers": SOUND, "others": others}
    platform = Helper(COMMON / "platform_process.py", json.dumps(options))
    helpers.append(platform)
    store = platform.read()["store"]
    for number, host in enumerate(free_hosts(DAEMONS)):
        daemons.append(Daemon(folder, number, host, store))
    for daemon in daemons:
        daemon.start()
    await_ready(daemons, 20.0)
    time.sleep(4.0)
    groups = [Clients(daemon, KINDS, 60, number) for number, daemon in enumerate(daemons)]
    for group in groups:
        group.start()
    checks = ReadinessChecks(daemons)
    checks.start()
    time.sleep(CALM_SECONDS)
    started_at = time.monotonic()
    if trouble:
        troubled.send("trouble on")
    time.sleep(TROUBLE_SECONDS)
    troubled.send("trouble off")
    time.sleep(AFTER_SECONDS)
    checks.stop()
    for group in groups:
        group.stop()
    sent = [attempt for group in groups for attempt in group.sent]
    alive = {daemon.name: daemon.process.poll() is None for daemon in daemons}
    ran = troubled.ask("ran")
    return judge(sent, started_at, ran, alive, trouble, checks.results)


def judge(sent, started_at: float, ran, alive, trouble: bool, checks) -> int:
    window = [
        attempt for attempt in sent if started_at - 3.0 <= attempt.sent_at <= started_at + TROUBLE_SECONDS
    ]
    lines = [f"trouble: {trouble}; answers without end: "
             f"{sum(len(server['endless']) for server in ran.values())} of "
             f"{sum(len(server['ran']) for server in ran.values())} runs at {len(ran)} servers",
             f"daemons that run: {alive}"]
    asked = [ready for at, _, ready in checks if 0.0 <= at - started_at <= TROUBLE_SECONDS]
    lines.append(f"readiness checks in that time: {len(asked)}, not answered in 1 s: "
                 f"{asked.count(False)}")
    unanswered = late = 0
    for kind, timeout_ms in TIMEOUTS_MS.items():
        of_kind = [attempt for attempt in window if attempt.kind == kind]
        waiting = [a for a in of_kind if not answered_by(a, timeout_ms / 1000.0)]
        still = [a for a in waiting if not answered_by(a, timeout_ms / 1000.0 + LATE_SECONDS)]
        never = [a for a in of_kind if a.answered_at is None]
        lines.append(
            f"{kind}: sent {len(of_kind)}, not answered at {timeout_ms} ms: {len(waiting)}, not "
            f"answered half a second later: {len(still)}, never answered: {len(never)}"
        )
        if kind != "lookup":
            unanswered += len(waiting)
            late += len(still)
    broken = late >= 8 and late * 2 > unanswered
    lines.append(f"holds and bookings: {late} of {unanswered}; the rule is "
                 f"{'broken' if broken else 'kept'}")
    lines.append("id kind daemon sent_s answered_after_s status")
    for a in sorted(sent, key=lambda attempt: attempt.sent_at):
        seconds = "-" if a.answered_at is None else f"{a.answered_at - a.sent_at:.3f}"
        lines.append(f"{a.id} {a.kind} {a.daemon} {a.sent_at - started_at:.3f} {seconds} {a.status}")
    (FOLDER / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:7]))
    return 1 if broken else 0


def answered_by(attempt, seconds: float) -> bool:
    return attempt.answered_at is not None and attempt.answered_at <= attempt.sent_at + seconds


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRunError as error:
        print(f"cannot run: {error}")
        sys.exit(2)
