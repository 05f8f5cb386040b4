"""The platform's store, the operator and the sound servers, in one process of their own.

The stand-ins are the project's own. Prints the address of the store, then obeys lines on standard
input: ``servers`` prints what each server has run, ``decider`` the name in the decider's record,
``register JSON`` changes the entry of a server of another process, ``evacuate ZONE`` and
``take-back ZONE`` are the operator's, ``quit`` ends the process.
"""

import hashlib
import json
import random
import sys

import gevent
from gevent.fileobject import FileObject
from fireflylink_caller_frontend import HttpListener
from fireflylink_core import CallerLimits, SystemClock
from fireflylink_standins import (
    BackendServerStandin,
    StoreFaults,
    StoreState,
    make_store_application,
)
from fireflylink_store import Commit, Put

DATA_CENTRES = ("kingston", "spanish-town", "mandeville")
HOST = "rooms.example"


class TimedServer(BackendServerStandin):
    """Works for a time that is drawn anew for each request, and records the bodies.

    A reply is the server's id, the request's id and its body, so the body is seen in the reply.
    """

    __slots__ = ("mean_seconds", "ran")

    @property
    def work_seconds(self) -> float:
        return random.uniform(0.5, 1.5) * self.mean_seconds

    @work_seconds.setter
    def work_seconds(self, _seconds: float) -> None:
        """The base class sets a fixed time."""


def configuration(lookup_ms: int, hold_ms: int, booking_ms: int) -> dict:
    """The routes and services of the Association."""
    common = {
        "health-check": "/healthz",
        "max-conns": 110,
        "warmup-s": 3.0,
        "warmup-per-s": 7.3,
    }

    def route(name, prefix, kind, service, timeout_ms, target_ms, priority):
        return {
            "name": name,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout-ms": timeout_ms,
            "target-latency-ms": target_ms,
            "priority": priority,
            "max-attempts": 2,
        }

    return {
        "version": "r1",
        "services": [
            {"name": "availability", "sharded": True, "warm-s": 5.0, **common},
            {"name": "holds", **common},
            {"name": "bookings", **common},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "virtual-hosts": [
            {
                "host": HOST,
                "paths": [
                    route("lookup", "/lookup/", "safe", "availability", lookup_ms, 500, 2),
                    route("hold", "/hold/", "unsafe", "holds", hold_ms, 600, 1),
                    route("booking", "/booking/", "unsafe", "bookings", booking_ms, 300, 0),
                ],
            }
        ],
    }


def main() -> None:
    options = json.loads(sys.argv[1])
    clock = SystemClock()
    state = StoreState(clock)
    listener = HttpListener(
        make_store_application(state, StoreFaults()), "127.0.0.1", 0, CallerLimits
    )
    listener.start()
    value = json.dumps(configuration(*options["timeouts_ms"])).encode()
    state.commit(Commit(puts=(Put("op/config", value),)))
    servers = []
    for service, (count, mean_seconds) in options["servers"].items():
        for number in range(count):
            server = TimedServer(
                f"{service}-{number}", service, DATA_CENTRES[number % 3], service == "availability",
                state, clock,
            )
            server.mean_seconds = mean_seconds
            server.ran = []
            record_bodies(server)
            server.start()
            servers.append(server)
    # Servers in another process are registered here: they write to the store by themselves, by
    # ways that the pages do not show. Their leases live as long as this process renews them.
    entries = {entry["id"]: entry for entry in options.get("others", [])}
    for server_id in entries:
        gevent.spawn(keep_registered, state, entries, server_id)
    print(json.dumps({"store": f"127.0.0.1:{listener.port}"}), flush=True)
    commands = FileObject(sys.stdin, "r")
    for line in commands:
        if line.strip() == "servers":
            ran = {
                server.server_id: [[*entry, server.service] for entry in server.ran]
                for server in servers
            }
            print(json.dumps(ran), flush=True)
        elif line.startswith("register "):
            entry = json.loads(line.removeprefix("register "))
            entries[entry["id"]] = entry
        elif line.startswith("evacuate "):
            key = "op/evacuate/" + line.split()[1]
            state.commit(Commit(puts=(Put(key, b"{}"),)))
        elif line.startswith("take-back "):
            state.commit(Commit(deletions=("op/evacuate/" + line.split()[1],)))
        elif line.strip() == "decider":
            item = state.read("fireflylink/decider")
            name = "" if item is None else json.loads(item.value)["instance"]
            print(json.dumps(name), flush=True)
        elif line.strip() == "quit":
            return


def record_bodies(server: TimedServer) -> None:
    """Makes the stand-in's HTTP application record the body of each request that it runs."""
    application = server.listener._server.application

    def recording(environ, start_response):
        request_id = environ.get("HTTP_REQUEST_ID", "")
        parts = application(environ, start_response)
        reply = b"".join(parts)
        prefix = f"{server.server_id} {request_id} ".encode()
        if reply.startswith(prefix):
            digest = hashlib.sha256(reply.removeprefix(prefix)).hexdigest()
            server.ran.append((request_id, digest))
        return [reply]

    server.listener._server.application = recording


def keep_registered(state: StoreState, entries: dict[str, dict], server_id: str) -> None:
    """Writes the entry of a server at once when it has changed, and keeps its lease alive."""
    written, lease = None, 0
    while True:
        entry = entries[server_id]
        if state.renew_lease(lease) is None or entry is not written:
            lease = state.create_lease(2.61)
            fields = {name: field for name, field in entry.items() if name != "id"}
            state.commit(Commit(puts=(Put(f"servers/{server_id}", encode(fields), lease),)))
            written = entry
        for _ in range(17):
            gevent.sleep(0.05)
            if entries[server_id] is not written:
                break


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


if __name__ == "__main__":
    main()
