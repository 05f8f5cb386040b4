"""The processes of a soak: a store, servers and daemons, with a proxy before each of them."""

import os
import pathlib
import re
import signal
import subprocess
import sys

import gevent

from fireflylink_core import BaseClock
from fireflylink_http_client import ExchangeError
from fireflylink_soak._datagram_proxy import DatagramProxy
from fireflylink_soak._proxy import Proxy
from fireflylink_soak._record import ENDED, record_signal
from fireflylink_soak._remote_store import RemoteStore
from fireflylink_standins import (
    DATA_CENTRES,
    KEYED_SERVICE,
    POOLED_SERVICE,
    LocalDaemon,
    PortBlock,
    write_configuration,
    write_evacuation,
    write_settings,
)

COLD_SECONDS = 3.0
"""How long a server is cold that starts while requests are served."""

SUCCESSOR_START_SECONDS = 1.5
"""How long the process of a successor is given to start, before it takes the port."""


class ServerProcess:
    """A backend server process behind a proxy.

    ``keyed`` says which of the two services it belongs to. A restart keeps its address, unless it
    is given the port and the proxy of another one. ``lives`` counts the processes that have
    followed the first one under the same id.
    """

    __slots__ = ("generation", "keyed", "lives", "number", "port", "process", "proxy")

    def __init__(self, number: int, keyed: bool, port: int, proxy: Proxy) -> None:
        self.number = number
        self.keyed = keyed
        self.port = port
        self.proxy = proxy
        self.generation = 0
        self.lives = 0
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def data_centre(self) -> str:
        """The data centre that the server says it is in."""
        return DATA_CENTRES[self.number % len(DATA_CENTRES)]

    @property
    def server_id(self) -> str:
        """The id of the present incarnation; each start gets a new one."""
        return f"{'k' if self.keyed else 'p'}{self.number}-{self.generation}"

    @property
    def record_name(self) -> str:
        """The name of the present process in the records."""
        return self.server_id + (f".{self.lives}" if self.lives else "")


class DaemonProcess:
    """A daemon with proxies before it for callers and for datagrams, and one before the store."""

    __slots__ = ("caller_proxy", "expected_end", "local", "peer_proxy", "store_proxy")

    def __init__(
        self,
        local: LocalDaemon,
        caller_proxy: Proxy,
        store_proxy: Proxy,
        peer_proxy: DatagramProxy,
    ) -> None:
        self.local = local
        self.caller_proxy = caller_proxy
        self.store_proxy = store_proxy
        self.peer_proxy = peer_proxy
        self.expected_end = False

    @property
    def pid(self) -> int:
        """The id of the present process, 0 if it does not run."""
        process = self.local.process
        return process.pid if process is not None and process.poll() is None else 0


class SoakSystem:
    """Starts and ends the processes, and is the operator who writes configurations.

    Example::

        system = SoakSystem(folder, clock)
        system.start(daemons=5, keyed=6, pooled=4)
        ...
        system.stop()
    """

    __slots__ = (
        "clock",
        "configuration_version",
        "daemons",
        "folder",
        "ports",
        "processes",
        "servers",
        "store",
        "store_port",
        "store_process",
    )

    def __init__(self, folder: pathlib.Path, clock: BaseClock) -> None:
        self.folder = folder
        self.clock = clock
        self.ports = PortBlock()
        self.store_port = self.ports.take()
        self.store = RemoteStore(self.store_port, clock)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.store_process: subprocess.Popen[bytes] | None = None
        self.servers: list[ServerProcess] = []
        self.daemons: list[DaemonProcess] = []
        self.configuration_version = 0

    def start(self, daemons: int, keyed: int, pooled: int) -> None:
        """Starts everything; does not wait until requests are served."""
        self.store_process = self._spawn(
            "store", ["-m", "fireflylink_soak.store_program", f"--port={self.store_port}"]
        )
        self.configure()
        for number in range(keyed + pooled):
            port, proxy_port = self.ports.take(), self.ports.take()
            server = ServerProcess(number, number < keyed, port, Proxy(proxy_port, port))
            self.servers.append(server)
            self.start_server(server, cold_seconds=0.0)
        for number in range(daemons):
            self.daemons.append(self._make_daemon(number))
            self.daemons[-1].local.start()

    def stop(self) -> None:
        """Kills every process that this system has started."""
        for daemon in self.daemons:
            self.signal(daemon.pid, signal.SIGCONT)
            daemon.local.kill()
            daemon.caller_proxy.close()
            daemon.store_proxy.close()
            daemon.peer_proxy.close()
        for process in self.processes:
            process.kill()
            process.wait()
        for server in self.servers:
            server.proxy.close()
        self.ports.close()

    def kill_server(self, server: ServerProcess) -> None:
        """Ends the process of a server, if it still runs."""
        process = server.process
        if process is None or process.poll() is not None:
            return
        self.record_signal(server.record_name, ENDED)
        process.kill()
        process.wait()

    def start_server(self, server: ServerProcess, cold_seconds: float = COLD_SECONDS) -> None:
        """Starts a server at its address under a new id."""
        server.generation += 1
        server.lives = 0
        self._start_process(server, cold_seconds)

    def replace_server(self, server: ServerProcess) -> None:
        """Kills a server once its successor is ready to take its port, under the same id."""
        former, former_name = server.process, server.record_name
        server.lives += 1
        self._start_process(server, COLD_SECONDS)
        gevent.sleep(SUCCESSOR_START_SECONDS)
        if former is not None:
            self.record_signal(former_name, ENDED)
            former.kill()
            former.wait()

    def _start_process(self, server: ServerProcess, cold_seconds: float) -> None:
        service = KEYED_SERVICE if server.keyed else POOLED_SERVICE
        server.process = self._spawn(
            server.server_id,
            [
                "-m",
                "fireflylink_soak.server_program",
                f"--id={server.server_id}",
                f"--service={service}",
                f"--data_centre={server.data_centre}",
                f"--keyed={str(server.keyed).lower()}",
                f"--port={server.port}",
                f"--advertised_port={server.proxy.listener.getsockname()[1]}",
                f"--store_port={self.store_port}",
                f"--cold_seconds={cold_seconds}",
                f"--events={self.folder / server.record_name}.events",
            ],
        )

    def signal(self, pid: int, number: int) -> None:
        """Sends a signal to a process of this system, unless it has ended."""
        if pid:
            os.kill(pid, number)

    def record_signal(self, name: str, what: str) -> None:
        """Records that the process of this name is killed or continued now."""
        record_signal(self.clock, self.folder / f"{name}.events", what)

    def notify(self, pid: int, number: int) -> None:
        """Sends a signal, unless the process has ended or has no handler for it yet.

        A process that is starting would be ended by it.
        """
        status = pathlib.Path(f"/proc/{pid}/status")
        caught = re.search(r"SigCgt:\s*(\w+)", status.read_text()) if status.exists() else None
        if caught is not None and int(caught[1], 16) >> (number - 1) & 1:
            os.kill(pid, number)

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self.configuration_version += 1
        write_configuration(self.store, self.configuration_version)

    def evacuate(self, data_centre: str, requested: bool) -> None:
        """Requests the evacuation of a data centre, or withdraws the request."""
        write_evacuation(self.store, data_centre, requested)

    def try_store_action(self, body: dict[str, object]) -> None:
        """Switches a fault of the store; without the store's answer nothing is done."""
        try:
            self.store.call(body)
        except ExchangeError:
            # The store is paused; the fault then counts as not injected.
            return

    def _make_daemon(self, number: int) -> DaemonProcess:
        store_proxy = Proxy(self.ports.take(), self.store_port)
        store_port = store_proxy.listener.getsockname()[1]
        peer_port = self.ports.take()
        local = write_settings(self.folder, number, self.ports, store_port, peer_port)
        return DaemonProcess(
            local,
            Proxy(self.ports.take(), local.caller_port),
            store_proxy,
            DatagramProxy(peer_port, local.peer_port, number),
        )

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen([sys.executable, *arguments], stdout=log, stderr=log)
        self.processes.append(process)
        return process
