"""One run of the soak: start, a calm period with planned work, faults, recovery, checks."""

import collections
import pathlib
import random
import signal

import gevent

from fireflylink_core import BaseClock
from fireflylink_soak._callers import SENT_AHEAD_FRACTION, SUCCESS_STATUS, Callers, Reply
from fireflylink_soak._calm_period import CalmPeriod
from fireflylink_soak._checks import EVACUATION_SECONDS, check_all
from fireflylink_soak._datagram_proxy import DatagramFault
from fireflylink_soak._faults import (
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    BaseFault,
    HarmProxy,
    RestartDaemon,
    RestartServer,
    draw_fault,
)
from fireflylink_soak._grant_checks import count_moves
from fireflylink_soak._move_faults import draw_move_fault
from fireflylink_soak._proxy import EdgeFault
from fireflylink_soak._record import RAN, read_events
from fireflylink_soak._system import SoakSystem
from fireflylink_soak._violation import Violation
from fireflylink_standins import (
    DATA_CENTRES,
    LOOKUP_PATH,
    ORDER_PATH,
    Caller,
    resident_megabytes,
)

START_SECONDS = 20.0
EVACUATED_SECONDS = 2.0
"""Time for which an evacuated data centre must get no requests."""

RECOVERY_SECONDS = 15.0
"""Time after the last fault in which every daemon must serve again."""

MAX_DAEMON_MEGABYTES = 200.0
MAX_DAEMON_DESCRIPTORS = 1000
MAX_FAULTS_IN_PROGRESS = 4
SLOW_FRACTION = 0.15
"""Part of the lookups that work for seconds in a run that moves keys, until its faults end."""

NO_CALM = CalmPeriod(0.0, 0.0, 0.0, frozenset())
POLL_SECONDS = 0.2
PROBED_KEYS = (0, 20000, 40000, 65535)


class RunResult:
    """What a run has shown.

    ``kinds`` counts the faults by kind, and ``events`` what the servers have recorded. ``moves`` is
    the number of grants that gave keys to a server after another one had them.
    """

    __slots__ = (
        "events",
        "faults",
        "kinds",
        "megabytes",
        "moves",
        "recovery_seconds",
        "replies",
        "runs",
        "trace",
        "violations",
    )

    def __init__(self) -> None:
        self.faults = 0
        self.runs = 0
        self.moves = 0
        self.kinds: collections.Counter[str] = collections.Counter()
        self.events: collections.Counter[str] = collections.Counter()
        self.megabytes = 0.0
        self.recovery_seconds = 0.0
        self.replies: list[Reply] = []
        self.trace: list[str] = []
        self.violations: list[Violation] = []


class SoakRun:
    """Plays one seed. With ``moves``, owners of keys change as often as they can.

    Example::

        result = SoakRun(folder, SystemClock(), seed=7).play(seconds=20.0, daemons=4)
        assert not result.violations
    """

    __slots__ = ("callers", "clock", "generator", "moves", "result", "started_at", "system")

    def __init__(
        self,
        folder: pathlib.Path,
        clock: BaseClock,
        seed: int,
        sent_ahead_fraction: float = SENT_AHEAD_FRACTION,
        moves: bool = False,
    ) -> None:
        self.moves = moves
        self.clock = clock
        self.generator = random.Random(seed)
        self.system = SoakSystem(folder, clock)
        self.callers = Callers(self.system, clock, seed, sent_ahead_fraction)
        if moves:
            self.callers.slow_fraction = SLOW_FRACTION
        self.result = RunResult()
        self.started_at = clock.now()

    def play(self, seconds: float, daemons: int, keyed: int = 4, pooled: int = 3) -> RunResult:
        """Runs the system under faults for so many seconds, and checks what was seen."""
        try:
            self.system.start(daemons, keyed, pooled)
            self._await_service(START_SECONDS, "start")
            self.callers.start(per_daemon=3)
            calm = NO_CALM if self.moves else self._work_calmly()
            self._inject_faults(self.clock.now() + seconds)
            self._end_faults()
            self.result.recovery_seconds = self._await_service(RECOVERY_SECONDS, "recovery")
            self.callers.stop()
            self._measure_daemons()
        finally:
            self.system.stop()
        self._check(calm)
        return self.result

    def _work_calmly(self) -> CalmPeriod:
        """Stops a daemon, drains a server and evacuates a data centre while nothing is wrong."""
        self._trace("planned work without faults")
        system = self.system
        data_centre = self.generator.choice(DATA_CENTRES)
        servers = [server for server in system.servers if server.data_centre == data_centre]
        evacuated = frozenset(server.server_id for server in servers)
        drained = self.generator.choice([s for s in system.servers if s not in servers])
        starts_at = self.clock.now()
        system.evacuate(data_centre, True)
        evacuated_at = self.clock.now()
        planned = [
            gevent.spawn(RestartDaemon(system.daemons[0], is_planned=True).inject, system),
            gevent.spawn(RestartServer(drained, is_planned=True).inject, system),
        ]
        gevent.sleep(EVACUATION_SECONDS + EVACUATED_SECONDS)
        ends_at = self.clock.now()
        system.evacuate(data_centre, False)
        gevent.joinall(planned, raise_error=True)
        return CalmPeriod(starts_at, ends_at, evacuated_at, evacuated)

    def _inject_faults(self, ends_at: float) -> None:
        in_progress: list[gevent.Greenlet] = []
        max_pause_seconds = MAX_PAUSE_SECONDS / 3 if self.moves else MAX_PAUSE_SECONDS
        while self.clock.now() < ends_at:
            gevent.sleep(self.generator.uniform(MIN_PAUSE_SECONDS, max_pause_seconds))
            fault = (draw_move_fault if self.moves else draw_fault)(self.generator, self.system)
            in_progress = [greenlet for greenlet in in_progress if not greenlet.ready()]
            if len(in_progress) < MAX_FAULTS_IN_PROGRESS:
                self._trace(str(fault))
                self.result.faults += 1
                self.result.kinds[_kind(fault)] += 1
                in_progress.append(gevent.spawn(fault.inject, self.system))
            self._check_daemons_run()
        gevent.joinall(in_progress, raise_error=True)

    def _check_daemons_run(self) -> None:
        for number, daemon in enumerate(self.system.daemons):
            if not daemon.pid and not daemon.expected_end:
                self._violate("daemon runs", f"daemon {number} ended by itself")
                daemon.local.start()

    def _end_faults(self) -> None:
        for daemon in self.system.daemons:
            daemon.caller_proxy.fault = daemon.store_proxy.fault = EdgeFault()
            daemon.peer_proxy.fault = DatagramFault()
            self.system.signal(daemon.pid, signal.SIGCONT)
        for server in self.system.servers:
            server.proxy.fault = EdgeFault()
        self.callers.slow_fraction = 0.0
        self._trace("all faults ended")

    def _await_service(self, seconds: float, phase: str) -> float:
        """Waits until each daemon serves lookups and orders; returns how long it took."""
        started_at = self.clock.now()
        waiting = list(range(len(self.system.daemons)))
        while waiting:
            waiting = [number for number in waiting if not self._serves(number)]
            elapsed = self.clock.now() - started_at
            if waiting and elapsed > seconds:
                self._violate("served again", f"{phase}: daemons {waiting} after {elapsed:.1f} s")
                return elapsed
            gevent.sleep(POLL_SECONDS if waiting else 0.0)
        return self.clock.now() - started_at

    def _serves(self, number: int) -> bool:
        caller = Caller(self.system.daemons[number].local.caller_port, self.clock)
        replies = [
            self.callers.send(caller, number, f"{LOOKUP_PATH}{key}", key, b"")
            for key in PROBED_KEYS
        ]
        replies.append(self.callers.send(caller, number, f"{ORDER_PATH}probe", None, b"order"))
        caller.close()
        self.callers.replies.extend(replies)
        return all(reply.status == SUCCESS_STATUS for reply in replies)

    def _measure_daemons(self) -> None:
        for number, daemon in enumerate(self.system.daemons):
            if not daemon.pid:
                continue
            megabytes = resident_megabytes(daemon.pid)
            descriptors = len(list(pathlib.Path(f"/proc/{daemon.pid}/fd").iterdir()))
            self.result.megabytes = max(self.result.megabytes, megabytes)
            if megabytes > MAX_DAEMON_MEGABYTES or descriptors > MAX_DAEMON_DESCRIPTORS:
                self._violate(
                    "bounded", f"daemon {number}: {megabytes:.0f} MB, {descriptors} descriptors"
                )

    def _check(self, calm: CalmPeriod) -> None:
        events = read_events(self.system.folder)
        self.result.events.update(event.what for event in events)
        self.result.runs = self.result.events[RAN]
        self.result.moves = count_moves(events)
        self.result.replies = self.callers.replies
        self.result.violations.extend(check_all(self.callers.replies, events, calm))

    def _violate(self, promise: str, detail: str) -> None:
        self._trace(f"BROKEN {promise}: {detail}")
        self.result.violations.append(Violation(promise, detail))

    def _trace(self, text: str) -> None:
        self.result.trace.append(f"{self.clock.now() - self.started_at:7.2f} s  {text}")


def _kind(fault: BaseFault) -> str:
    if isinstance(fault, HarmProxy):
        return "+".join(fault.harms()) or "reset"
    return str(fault).split()[0]
