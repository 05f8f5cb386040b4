"""A system on this machine: stand-ins in this process, and daemons as child processes."""

import json
import pathlib
import signal
import subprocess
import sys

import gevent

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import CallerLimits, SystemClock
from fireflylink_platform import names
from fireflylink_standins._backend_server import BackendServerStandin
from fireflylink_standins._base_lease_store import BaseLeaseStore
from fireflylink_standins._port_block import PortBlock
from fireflylink_standins._store_server import (
    StoreFaults,
    encode_json,
    make_store_application,
    restore_store,
)
from fireflylink_standins._store_state import StoreState
from fireflylink_store import Commit, Put

DATA_CENTRES = ("kingston", "spanish-town", "mandeville")
KEYED_SERVICE = "availability"
"""A service in which only the owner of a request's key runs the request."""
POOLED_SERVICE = "bookings"
"""A service in which any server can run any request."""
VIRTUAL_HOST = "rooms.example"
LOOKUP_PATH = "/lookup/"
"""Prefix of the route of lookups: safe requests with a key, to ``KEYED_SERVICE``."""
ORDER_PATH = "/orders/"
"""Prefix of the route of orders: unsafe requests without a key, to ``POOLED_SERVICE``."""
VERSION_PATH = "/version/"
"""Prefix of one route for each version of the configuration, which shows what is in force."""
VERSION_ROUTES = 10
COLD_REQUESTS_PER_SECOND = 7.3
POLL_SECONDS = 0.05


class LocalDaemon:
    """A daemon process with its ports and files."""

    __slots__ = (
        "caller_port",
        "log_path",
        "metrics_port",
        "peer_port",
        "process",
        "readiness_port",
        "settings_path",
    )

    def __init__(
        self,
        settings_path: pathlib.Path,
        log_path: pathlib.Path,
        caller_port: int,
        readiness_port: int,
        metrics_port: int,
        peer_port: int,
    ) -> None:
        self.peer_port = peer_port
        self.settings_path = settings_path
        self.log_path = log_path
        self.caller_port = caller_port
        self.readiness_port = readiness_port
        self.metrics_port = metrics_port
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, log_output: int | None = None) -> None:
        """Starts the process.

        Its output goes to ``log_path``, or to ``log_output``, such as ``subprocess.PIPE``.
        """
        with self.log_path.open("ab") as log:
            output = log if log_output is None else log_output
            self.process = subprocess.Popen(
                [sys.executable, "-m", "fireflylink_daemon", "--settings", str(self.settings_path)],
                stdout=output,
                stderr=output,
            )

    def kill(self) -> None:
        """Kills the process by SIGKILL, without an orderly shutdown."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def terminate(self) -> None:
        """Requests an orderly shutdown by SIGTERM."""
        if self.process is not None:
            self.process.send_signal(signal.SIGTERM)

    def wait(self, seconds: float) -> int | None:
        """Returns the exit status, None if the process still runs after ``seconds``."""
        if self.process is None:
            return None
        with gevent.Timeout(seconds, False):
            while self.process.poll() is None:
                gevent.sleep(POLL_SECONDS)
        return self.process.poll()


class LocalSystem:
    """A store, backend servers and daemons on this machine.

    Example::

        system = LocalSystem(folder)
        system.start(daemons=3)
        ...
        system.stop()
    """

    __slots__ = (
        "clock",
        "configuration_version",
        "daemons",
        "folder",
        "log_output",
        "ports",
        "servers",
        "store",
        "store_faults",
        "store_listener",
    )

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.clock = SystemClock()
        self.store = StoreState(self.clock)
        self.store_faults = StoreFaults()
        application = make_store_application(self.store, self.store_faults)
        self.store_listener = HttpListener(application, "127.0.0.1", 0, CallerLimits)
        self.servers: dict[str, BackendServerStandin] = {}
        self.daemons: list[LocalDaemon] = []
        self.ports = PortBlock()
        self.configuration_version = 0
        self.log_output: int | None = None

    def start(self, daemons: int = 3, keyed: int = 3, pooled: int = 2) -> None:
        """Starts the store, the servers and the daemons; does not wait until the daemons are ready.

        The arguments are counts. The ``keyed`` servers of ``KEYED_SERVICE`` own keys and have the
        ids ``a0``, ``a1``, ...; the ``pooled`` servers of ``POOLED_SERVICE`` have the ids ``b0``,
        ``b1``, ...
        """
        self.store_listener.start()
        self.configure()
        for number in range(keyed):
            self.add_server(f"a{number}", KEYED_SERVICE, number, keyed=True)
        for number in range(pooled):
            self.add_server(f"b{number}", POOLED_SERVICE, number, keyed=False)
        for _ in range(daemons):
            self.add_daemon()

    def add_daemon(self) -> LocalDaemon:
        """Starts another daemon."""
        daemon = write_settings(
            self.folder, len(self.daemons), self.ports, self.store_listener.port
        )
        daemon.start(self.log_output)
        self.daemons.append(daemon)
        return daemon

    def stop(self) -> None:
        """Kills the daemons and stops the stand-ins."""
        for daemon in self.daemons:
            daemon.kill()
        for server in self.servers.values():
            server.stop()
        self.store_listener.close()
        self.ports.close()

    def configure(self, order_timeout_ms: int = 2000) -> None:
        """Writes the next version of the configuration."""
        self.configuration_version += 1
        write_configuration(self.store, self.configuration_version, order_timeout_ms)

    def restore_store(self, seconds_old: float) -> None:
        """Restores the store from a copy; returns when all values have been written again."""
        restore_store(self.store, self.store_faults, seconds_old)

    def evacuate(self, data_centre: str, requested: bool) -> None:
        """Requests the evacuation of a data centre, or withdraws the request."""
        write_evacuation(self.store, data_centre, requested)

    def add_server(
        self, server_id: str, service: str, number: int, keyed: bool
    ) -> BackendServerStandin:
        """Starts a backend server; ``number`` selects its data centre."""
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        server = BackendServerStandin(
            server_id, service, data_centre, keyed, self.store, self.clock
        )
        server.start()
        self.servers[server_id] = server
        return server


def write_settings(
    folder: pathlib.Path,
    number: int,
    ports: PortBlock,
    store_port: int,
    advertised_peer_port: int = 0,
) -> LocalDaemon:
    """Writes the settings of a daemon on this machine, which is not started.

    ``advertised_peer_port`` is where the other daemons send their datagrams; 0 stands for the port
    that the daemon binds.
    """
    caller_port, readiness_port, metrics_port, peer_port = (ports.take() for _ in range(4))
    settings = {
        "instance": f"front-{number}",
        "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
        "address": "127.0.0.1",
        "caller_address": f"127.0.0.1:{caller_port}",
        "readiness_address": f"127.0.0.1:{readiness_port}",
        "metrics_port": metrics_port,
        # The first and the last port of a range, of which the daemon uses the first.
        "peer_ports": [peer_port, peer_port + 1],
        "advertised_peer_port": advertised_peer_port or peer_port,
        "store": {"address": f"127.0.0.1:{store_port}", "minimum_lease_ms": 1000},
        "bounds": DAEMON_BOUNDS,
    }
    settings_path = folder / f"front-{number}.json"
    settings_path.write_text(json.dumps(settings))
    log_path = folder / f"front-{number}.log"
    return LocalDaemon(
        settings_path, log_path, caller_port, readiness_port, metrics_port, peer_port
    )


def write_evacuation(store: BaseLeaseStore, data_centre: str, requested: bool) -> None:
    """Requests the evacuation of a data centre as operators do, or withdraws the request."""
    key = f"{names.EVACUATION_PREFIX}{data_centre}"
    if requested:
        store.commit(Commit(puts=(Put(key, b"{}"),)))
    else:
        store.commit(Commit(deletions=(key,)))


def write_configuration(store: BaseLeaseStore, version: int, order_timeout_ms: int = 2000) -> None:
    """Writes a configuration with the routes of lookups and orders as operators do.

    A request below ``/version/N/`` has a route only from version N on, and only in ten versions.
    """
    value = encode_json(_make_configuration(version, order_timeout_ms))
    store.commit(Commit(puts=(Put(names.CONFIGURATION_KEY, value),)))


DAEMON_BOUNDS = {
    "drain_ms": 2000,
    "leave_seconds": 6,
    "hold_max_ms": 10000,
    "retry_ratio": 0.2,
    "retry_window_seconds": 10,
    "retry_extra": 58,
    "cold_factor": 1.5,
    "cold_extra": 5,
}


def _make_configuration(version: int, order_timeout_ms: int) -> dict[str, object]:
    common = {
        "health-check": "/healthz",
        "max-conns": 110,
        "warmup-s": 3.0,
        "warmup-per-s": COLD_REQUESTS_PER_SECOND,
    }
    lookups = {
        "name": "lookup",
        "prefix": LOOKUP_PATH,
        "kind": "safe",
        "timeout-ms": 2000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": KEYED_SERVICE,
        "max-attempts": 2,
    }
    orders = {
        "name": "orders",
        "prefix": ORDER_PATH,
        "kind": "unsafe",
        "timeout-ms": order_timeout_ms,
        "target-latency-ms": 500,
        "priority": 0,
        "service": POOLED_SERVICE,
        "max-attempts": 2,
    }
    versions = [
        {**orders, "name": f"version-{number}", "prefix": f"{VERSION_PATH}{number}/"}
        for number in range(max(1, version - VERSION_ROUTES + 1), version + 1)
    ]
    return {
        "version": f"r{version}",
        "services": [
            {"name": KEYED_SERVICE, "sharded": True, "warm-s": 5.0, **common},
            {"name": POOLED_SERVICE, **common},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1 << 20,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "virtual-hosts": [{"host": VIRTUAL_HOST, "paths": [lookups, orders, *versions]}],
    }
