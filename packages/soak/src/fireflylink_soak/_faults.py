"""The faults of a soak, drawn from a seed: what happens when, and for how long."""

import abc
import random
import signal
from typing import Any

import gevent

from fireflylink_soak._datagram_proxy import DatagramFault
from fireflylink_soak._proxy import EdgeFault
from fireflylink_soak._record import RESUMED
from fireflylink_soak._system import DaemonProcess, ServerProcess, SoakSystem
from fireflylink_standins import DATA_CENTRES

Harm = EdgeFault | DatagramFault
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.5
MAX_FAULT_SECONDS = 3.0
REUSE_SECONDS = 2.0
STORE_FAULTS = ("down", "drops-replies")
STORE_ACTIONS = ("compact", "revoke-daemon-leases", "restore")
LEAVE_SECONDS = 7.0
"""A daemon that got SIGTERM ends within ``leave_seconds``, and some time for a busy machine."""


class BaseFault(abc.ABC):
    """One fault, which is over when ``inject`` returns. Several may be in progress."""

    __slots__ = ()

    @abc.abstractmethod
    def inject(self, system: SoakSystem) -> None:
        """Carries out the fault in a greenlet of its own."""

    @abc.abstractmethod
    def __str__(self) -> str:
        """Returns what is shown in the trace of a run."""


class HarmProxy(BaseFault):
    """Harms what passes a proxy for a time; resets its connections first if ``resets``."""

    __slots__ = ("fault", "name", "proxy", "resets", "seconds")

    def __init__(self, proxy: Any, name: str, fault: Harm, resets: bool, seconds: float) -> None:
        self.proxy = proxy
        self.name = name
        self.fault = fault
        self.resets = resets
        self.seconds = seconds

    def inject(self, system: SoakSystem) -> None:
        if self.resets:
            self.proxy.reset_connections()
        self.proxy.fault = self.fault
        gevent.sleep(self.seconds)
        if self.proxy.fault is self.fault:
            self.proxy.fault = type(self.fault)()

    def harms(self) -> list[str]:
        """Returns the names of what the proxy does."""
        return [name for name in self.fault.__slots__ if getattr(self.fault, name)]

    def __str__(self) -> str:
        harms = [f"{name}={getattr(self.fault, name)}" for name in self.harms()]
        return f"edge {self.name} {'reset ' * self.resets}{' '.join(harms)} {self.seconds:.1f} s"


class PauseProcess(BaseFault):
    """Stops a process and continues it after a time."""

    __slots__ = ("seconds", "target")

    def __init__(self, target: DaemonProcess | ServerProcess | None, seconds: float) -> None:
        self.target = target
        self.seconds = seconds

    def inject(self, system: SoakSystem) -> None:
        pid = self._pid(system)
        system.signal(pid, signal.SIGSTOP)
        gevent.sleep(self.seconds)
        if pid == self._pid(system):
            system.record_signal(_name(self.target), RESUMED)
            system.signal(pid, signal.SIGCONT)

    def _pid(self, system: SoakSystem) -> int:
        if isinstance(self.target, DaemonProcess):
            return self.target.pid
        process = system.store_process if self.target is None else self.target.process
        return process.pid if process is not None and process.poll() is None else 0

    def __str__(self) -> str:
        return f"pause {_name(self.target)} {self.seconds:.1f} s"


class RestartDaemon(BaseFault):
    """Ends a daemon by a signal, and starts it again."""

    __slots__ = ("daemon", "is_planned")

    def __init__(self, daemon: DaemonProcess, is_planned: bool) -> None:
        self.daemon = daemon
        self.is_planned = is_planned

    def inject(self, system: SoakSystem) -> None:
        if not self.daemon.pid or self.daemon.expected_end:
            return
        self.daemon.expected_end = True
        if self.is_planned:
            self.daemon.local.terminate()
            self.daemon.local.wait(LEAVE_SECONDS)
        system.signal(self.daemon.pid, signal.SIGCONT)
        self.daemon.local.kill()
        self.daemon.local.start()
        self.daemon.expected_end = False

    def __str__(self) -> str:
        return f"{'term' if self.is_planned else 'kill'} {_name(self.daemon)}"


class RestartServer(BaseFault):
    """Ends a server by a signal, and starts its next incarnation at the same address.

    If it ``keeps_id``, its successor has the same id, and waits for its port when it is killed.
    """

    __slots__ = ("is_planned", "keeps_id", "server")

    def __init__(self, server: ServerProcess, is_planned: bool, keeps_id: bool = False) -> None:
        self.server = server
        self.is_planned = is_planned
        self.keeps_id = keeps_id

    def inject(self, system: SoakSystem) -> None:
        process = self.server.process
        if process is None or process.poll() is not None:
            return
        if self.keeps_id:
            system.replace_server(self.server)
            return
        if self.is_planned:
            process.terminate()
            gevent.sleep(LEAVE_SECONDS)
        if process is self.server.process:
            system.kill_server(self.server)
            system.start_server(self.server)

    def __str__(self) -> str:
        action = "replace" if self.keeps_id else "drain" if self.is_planned else "kill"
        return f"{action} server {self.server.server_id}"


class SwapAddresses(BaseFault):
    """Kills two servers, and starts each again at the address of the other one.

    A server of one service may then be reached at an address that another service has used.
    """

    __slots__ = ("first", "second")

    def __init__(self, first: ServerProcess, second: ServerProcess) -> None:
        self.first = first
        self.second = second

    def inject(self, system: SoakSystem) -> None:
        first, second = self.first, self.second
        if first is second:
            return
        system.kill_server(first)
        system.kill_server(second)
        gevent.sleep(REUSE_SECONDS)
        # Another fault may have started one of them meanwhile.
        system.kill_server(first)
        system.kill_server(second)
        first.port, second.port = second.port, first.port
        first.proxy, second.proxy = second.proxy, first.proxy
        system.start_server(first)
        system.start_server(second)

    def __str__(self) -> str:
        return f"swap the addresses of {self.first.server_id} and {self.second.server_id}"


class HarmStore(BaseFault):
    """Switches a fault of the store on for a time, or carries out one action at once.

    A restore is from a copy that is ``seconds`` old.
    """

    __slots__ = ("action", "seconds")

    def __init__(self, action: str, seconds: float) -> None:
        self.action = action
        self.seconds = seconds

    def inject(self, system: SoakSystem) -> None:
        if self.action in STORE_ACTIONS:
            system.try_store_action({"action": self.action, "seconds": self.seconds})
            return
        down, drops = self.action == "down", self.action == "drops-replies"
        system.try_store_action({"action": "faults", "down": down, "drops_replies": drops})
        gevent.sleep(self.seconds)
        system.try_store_action({"action": "faults", "down": False, "drops_replies": False})

    def __str__(self) -> str:
        return f"store {self.action} {self.seconds:.1f} s"


class ChangeConfiguration(BaseFault):
    """Writes versions of the configuration in quick succession."""

    __slots__ = ("count",)

    def __init__(self, count: int) -> None:
        self.count = count

    def inject(self, system: SoakSystem) -> None:
        for _ in range(self.count):
            system.configure()
            gevent.sleep(MIN_PAUSE_SECONDS)

    def __str__(self) -> str:
        return f"configure {self.count} times"


class Evacuate(BaseFault):
    """Takes a data centre out for a time."""

    __slots__ = ("data_centre", "seconds")

    def __init__(self, data_centre: str, seconds: float) -> None:
        self.data_centre = data_centre
        self.seconds = seconds

    def inject(self, system: SoakSystem) -> None:
        system.evacuate(self.data_centre, True)
        gevent.sleep(self.seconds)
        system.evacuate(self.data_centre, False)

    def __str__(self) -> str:
        return f"evacuate {self.data_centre} {self.seconds:.1f} s"


class ReloadSettings(BaseFault):
    """Tells a daemon that its settings have changed."""

    __slots__ = ("daemon",)

    def __init__(self, daemon: DaemonProcess) -> None:
        self.daemon = daemon

    def inject(self, system: SoakSystem) -> None:
        system.notify(self.daemon.pid, signal.SIGHUP)

    def __str__(self) -> str:
        return f"hup {_name(self.daemon)}"


def draw_fault(generator: random.Random, system: SoakSystem) -> BaseFault:
    """Returns the next fault; the same seed gives the same sequence."""
    seconds = generator.uniform(0.3, MAX_FAULT_SECONDS)
    daemon = generator.choice(system.daemons)
    server = generator.choice(system.servers)
    kinds: list[tuple[int, BaseFault]] = [
        (6, _draw_edge_fault(generator, system, seconds)),
        (2, RestartDaemon(daemon, is_planned=False)),
        (2, RestartDaemon(daemon, is_planned=True)),
        (2, RestartServer(server, is_planned=False)),
        (1, RestartServer(server, is_planned=True)),
        (1, SwapAddresses(server, generator.choice(system.servers))),
        (2, _draw_datagram_fault(generator, daemon, seconds)),
        (2, PauseProcess(generator.choice((daemon, server, None)), seconds)),
        (2, HarmStore(generator.choice(STORE_FAULTS + STORE_ACTIONS), seconds)),
        (1, ChangeConfiguration(generator.randrange(1, 5))),
        (1, Evacuate(generator.choice(DATA_CENTRES), seconds)),
        (1, ReloadSettings(daemon)),
    ]
    weights = [weight for weight, _ in kinds]
    return generator.choices([fault for _, fault in kinds], weights)[0]


def _draw_datagram_fault(
    generator: random.Random, daemon: DaemonProcess, seconds: float
) -> BaseFault:
    fault = DatagramFault(
        lost_fraction=generator.choice((0.0, 0.3, 1.0)),
        repeated_fraction=generator.choice((0.0, 0.5)),
        max_delay_seconds=generator.choice((0.0, 0.8)),
    )
    return HarmProxy(daemon.peer_proxy, f"peers-{_name(daemon)}", fault, False, seconds)


def _draw_edge_fault(generator: random.Random, system: SoakSystem, seconds: float) -> BaseFault:
    edges = [
        *((daemon.caller_proxy, f"callers-{_name(daemon)}") for daemon in system.daemons),
        *((daemon.store_proxy, f"{_name(daemon)}-store") for daemon in system.daemons),
        *((server.proxy, f"daemons-{server.number}") for server in system.servers),
    ]
    edge, name = generator.choice(edges)
    harms = [
        EdgeFault(),
        EdgeFault(delay_seconds=generator.uniform(0.02, 0.6)),
        EdgeFault(drops_to_target=True),
        EdgeFault(drops_to_caller=True),
        EdgeFault(drops_to_target=True, drops_to_caller=True),
        EdgeFault(refuses=True),
        EdgeFault(truncates_answers=True),
    ]
    if name.startswith("daemons-"):
        harms.append(EdgeFault(repeats_answers=True, repeat_after=generator.uniform(0.0, 0.05)))
        harms.append(EdgeFault(repeats_before_next=True))
    return HarmProxy(edge, name, generator.choice(harms), generator.random() < 0.3, seconds)


def _name(target: DaemonProcess | ServerProcess | None) -> str:
    if target is None:
        return "store"
    if isinstance(target, ServerProcess):
        return target.record_name
    return target.local.settings_path.stem
