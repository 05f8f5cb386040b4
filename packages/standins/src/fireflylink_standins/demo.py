"""The demo: a whole system on stand-ins, a release note, requests, a table, a clean stop."""

import collections
import json
import pathlib
import random
import signal
import tempfile
import time
import urllib.error
import urllib.request
import uuid

from absl import app, flags

from fireflylink_core import ServiceKind
from fireflylink_decisions.admission import CLOCK_SKEW_MS, issue_request_id
from fireflylink_standins._examples import EXAMPLES, ExampleService
from fireflylink_standins._local_system import LocalSystem

EXAMPLE = flags.DEFINE_enum("example", "association", sorted(EXAMPLES), "Whose system to run.")
DAEMONS = flags.DEFINE_integer("daemons_per_centre", 2, "Daemons in each data centre.", 1, 4)
REQUESTS = flags.DEFINE_integer("requests", 300, "Requests to send.", 1, 100_000)
SEED = flags.DEFINE_integer("seed", 1, "Seed of the generated requests.")
STAY = flags.DEFINE_bool("stay", False, "Stay up after the requests until Ctrl-C.")

MILLISECONDS_PER_SECOND = 1000
REQUEST_TIMEOUT = 5.0
LEAVE_TIMEOUT = 60.0
KEYS = 50
FIRST_TERM_SECONDS = CLOCK_SKEW_MS / MILLISECONDS_PER_SECOND + 1.0

Counts = collections.Counter[tuple[str, str, str]]


def _send(
    system: LocalSystem, service: ExampleService, entry: str, source: random.Random
) -> tuple[str, str, float]:
    """Sends one request; returns its outcome, the server that answered and the milliseconds."""
    keyed = service.kind is ServiceKind.KEYED
    path = f"/v1/{service.name}" + (f"/key-{source.randrange(KEYS)}" if keyed else "")
    headers = {"Fireflylink-Tenant": source.choice(["chambers", "court-office", "venue-desk"])}
    method = "GET"
    if not keyed:
        method = "POST"
        wall_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        headers["Fireflylink-Request-Id"] = issue_request_id(wall_ms, source)
    request = urllib.request.Request(
        system.caller_url(entry, path),
        data=b"{}" if method == "POST" else None,
        method=method,
        headers=headers,
    )
    started = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT) as response:
            response.read()
            reply = response.headers
    except urllib.error.HTTPError as error:
        reply = error.headers
    elapsed = (time.monotonic() - started) * MILLISECONDS_PER_SECOND
    return reply["Fireflylink-Outcome"], reply.get("Fireflylink-Server-Id", "-"), elapsed


def _run_requests(system: LocalSystem) -> None:
    source = random.Random(SEED.value)
    counts: Counts = collections.Counter()
    latencies: dict[str, list[float]] = collections.defaultdict(list)
    servers: dict[str, set[str]] = collections.defaultdict(set)
    entries = list(system.daemons)
    for _ in range(REQUESTS.value):
        service = source.choice(system.example.services)
        outcome, server, elapsed = _send(system, service, source.choice(entries), source)
        counts[(service.name, service.kind.value, outcome)] += 1
        latencies[service.name].append(elapsed)
        servers[service.name].add(server)
    _print_table(counts, latencies, servers)


def _print_table(
    counts: Counts, latencies: dict[str, list[float]], servers: dict[str, set[str]]
) -> None:
    print(
        f"{'service':<16}{'kind':<8}{'outcome':<10}{'count':>6}{'servers':>9}{'p50 ms':>8}"
        f"{'p99 ms':>8}"
    )
    for (service, kind, outcome), count in sorted(counts.items()):
        ordered = sorted(latencies[service])
        median = ordered[len(ordered) // 2]
        high = ordered[int(len(ordered) * 0.99)]
        print(
            f"{service:<16}{kind:<8}{outcome:<10}{count:>6}{len(servers[service]):>9}"
            f"{median:>8.1f}{high:>8.1f}"
        )


def _print_addresses(system: LocalSystem) -> None:
    print("\nentry daemons:")
    for instance_id, place in system.daemons.items():
        print(
            f"  {instance_id:<16} callers http://127.0.0.1:{place.caller_port}  "
            f"operators http://127.0.0.1:{place.operator_port}"
        )
    print(f"operator settings: {system.files.operator_settings}")
    service = system.example.services[0].name
    entry = next(iter(system.daemons))
    print(f"try: curl -i {system.caller_url(entry, f'/v1/{service}/room-17')}")
    print(f"     .venv/bin/fireflylink status --settings {system.files.operator_settings}")


def _stop(system: LocalSystem) -> None:
    for instance_id in system.daemons:
        system.leave(instance_id)
    statuses = [system.processes[name].wait(LEAVE_TIMEOUT) for name in system.daemons]
    print(f"\ndaemons left with exit statuses {statuses}")


def _main(_arguments: list[str]) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"fireflylink-{uuid.uuid4().hex[:6]}-"))
    print(f"seed {SEED.value}, example {EXAMPLE.value}, files and logs in {folder}")
    system = LocalSystem(folder, EXAMPLES[EXAMPLE.value], DAEMONS.value)
    started = time.monotonic()
    try:
        system.start()
        print(f"serving after {time.monotonic() - started:.1f} s; status of the first root:")
        root = system.status(next(iter(system.daemons)))["root"]
        print(json.dumps(system.status(root)["in_force"]))
        # Ids from before a gateway's first term plus the clock skew are answered "unknown".
        time.sleep(FIRST_TERM_SECONDS)
        _run_requests(system)
        _print_addresses(system)
        if STAY.value:
            print("staying up until Ctrl-C")
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
        _stop(system)
    finally:
        system.stop()


if __name__ == "__main__":
    app.run(_main)
