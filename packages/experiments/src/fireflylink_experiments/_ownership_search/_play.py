"""One run of the search: daemons and servers on a virtual clock, with faults by seed."""

import functools
import random
from collections import Counter
from collections.abc import Callable

from fireflylink_core import DaemonAddress, ManualClock
from fireflylink_decisions.ownership import OUTAGE_GRACE_SECONDS
from fireflylink_emulator import EventScheduler
from fireflylink_experiments._ownership_search._checker import OwnershipChecker, Violation
from fireflylink_experiments._ownership_search._daemon import (
    PEER_PORT,
    SERVICE,
    SimulatedDaemon,
)
from fireflylink_experiments._ownership_search._fleet import DATA_CENTRES, Fleet
from fireflylink_experiments._ownership_search._wire import Wire
from fireflylink_protocol import DECIDER_KEY, Datagram, LoadReport, MemberRecord
from fireflylink_standins import MemoryStore, StoreState
from fireflylink_store import Item, RecordUpdate, qualified

DAEMON_COUNT = 3
TURN_SECONDS = 0.03
"""How often the tasks of a daemon run; all daemons run at times of their own."""

REQUEST_INTERVAL_SECONDS = 0.06
REPORT_INTERVAL_SECONDS = 0.25
REPORTED_REQUESTS = 60
HOT_KEYS = 6
LAST_KEY_NUMBER = 65_535

SERVER_FAULT_INTERVALS = (None, 1.5, 5.0, 20.0)
DAEMON_FAULT_INTERVALS = (None, 12.0, 30.0, 90.0)
"""Mean seconds between two faults of a kind, one of which is drawn for each kind; None is without.
Keys are moved only seconds after a decider was elected, so that daemons fail less often."""

CUT_SECONDS = (0.5, 13.0)
FREEZE_SECONDS = (0.3, 12.0)
RESTART_SECONDS = (0.3, 3.0)
MAX_RESTARTS_AT_ONCE = 20
LATE_DATAGRAM_SECONDS = (0.1, 6.0)
MAX_SECONDS_PER_MOVE = 1.0
"""A run ends after so much virtual time for each move that it was to play."""


class PlayResult:
    """What a run did, and the violations that it found."""

    __slots__ = ("commands", "faults", "moves", "seconds", "seed", "violations")

    def __init__(
        self,
        seed: int,
        moves: int,
        seconds: float,
        commands: Counter[str],
        faults: Counter[str],
        violations: list[Violation],
    ) -> None:
        self.seed = seed
        self.moves = moves
        self.seconds = seconds
        self.commands = commands
        self.faults = faults
        self.violations = violations


class OwnershipPlay:
    """Daemons, of which one decides at a time, and servers; ``run`` plays a number of moves.

    Example::

        result = OwnershipPlay(seed=1).run(moves=1000)
    """

    __slots__ = (
        "checker",
        "clock",
        "daemons",
        "datagram_loss",
        "fleet",
        "hot_keys",
        "isolated",
        "members",
        "positions",
        "rng",
        "scheduler",
        "seed",
        "store_state",
        "wire",
    )

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.scheduler = EventScheduler(self.clock)
        self.checker = OwnershipChecker(self.clock)
        self.wire = Wire(self.scheduler, self.checker, self.rng)
        self.fleet = Fleet(self.wire, self.checker, self.rng)
        self.store_state = StoreState(self.clock)
        self.datagram_loss = self.rng.choice((0.0, 0.1, 0.5))
        self.hot_keys = [0] * HOT_KEYS
        self.isolated: set[str] = set()
        self.members = {
            name: MemberRecord(name, 1, DATA_CENTRES[0], f"127.0.0.{number + 1}", PEER_PORT)
            for number, name in enumerate(f"front-{number}" for number in range(DAEMON_COUNT))
        }
        self.daemons: dict[str, SimulatedDaemon] = {}
        self.positions: dict[str, tuple[int, int]] = {}

    def run(self, moves: int) -> PlayResult:
        """Plays until keys have changed hands ``moves`` times, or for a limited time."""
        for name in self.members:
            self._start_daemon(name)
            self.scheduler.schedule_after(
                self.rng.uniform(0.0, TURN_SECONDS), functools.partial(self._turn, name)
            )
        self._change_load()
        self._serve()
        self._report_load()
        for kinds, intervals in (
            (self._server_faults(), SERVER_FAULT_INTERVALS),
            (self._daemon_faults(), DAEMON_FAULT_INTERVALS),
        ):
            for fault, action in kinds.items():
                mean = self.rng.choice(intervals)
                if mean is not None:
                    self._schedule_fault(fault, mean, action)
        started_at = self.clock.now()
        ends_at = started_at + moves * MAX_SECONDS_PER_MOVE
        while self.checker.moves < moves and self.clock.now() < ends_at:
            self.scheduler.run_until(self.clock.now() + 1.0)
        return PlayResult(
            self.seed,
            self.checker.moves,
            self.clock.now() - started_at,
            self.wire.commands,
            +self.wire.faults,
            self.checker.violations,
        )

    def _server_faults(self) -> dict[str, Callable[[], None]]:
        return {
            "server-restarted-quickly": self.fleet.restart_quickly,
            "server-restarted": self.fleet.restart,
            "server-replaced": self.fleet.replace,
            "server-drained": self.fleet.drain,
            "data-centre-evacuated": self.fleet.evacuate,
            "load-changed": self._change_load,
        }

    def _daemon_faults(self) -> dict[str, Callable[[], None]]:
        return {
            "daemon-cut-off": self._cut_off,
            "daemon-cut-off-amid-restarts": self._cut_off_amid_restarts,
            "daemon-frozen": self._freeze,
            "daemon-killed": self._kill,
            "record-revoked": self._revoke_record,
        }

    def _schedule_fault(self, fault: str, mean: float, action: Callable[[], None]) -> None:
        def strike() -> None:
            self.wire.faults[fault] += 1
            action()
            self._schedule_fault(fault, mean, action)

        self.scheduler.schedule_after(self.rng.expovariate(1.0 / mean), strike)

    def _start_daemon(self, name: str) -> None:
        member = self.members[name]
        daemon = SimulatedDaemon(
            member, self.members, MemoryStore(self.store_state), self.wire, self._send_datagram
        )
        self.daemons[name] = daemon
        items = self.store_state.range("")
        daemon.start(self.fleet.snapshot(), items, qualified(0, self.store_state.revision))
        self.positions[name] = (len(self.fleet.updates), len(self.store_state.history))

    def _turn(self, name: str) -> None:
        daemon = self.daemons[name]
        now = self.clock.now()
        if daemon.is_running(now):
            was_decider = daemon.is_decider
            self._read_store(name, daemon)
            daemon.run(now)
            if daemon.is_decider != was_decider:
                verb = "decides" if daemon.is_decider else "steps down"
                self.checker.record_event(f"{name} {verb}")
        self.scheduler.schedule_after(
            self.rng.uniform(0.5, 1.5) * TURN_SECONDS, functools.partial(self._turn, name)
        )

    def _read_store(self, name: str, daemon: SimulatedDaemon) -> None:
        self.store_state.expire_leases()
        updates = []
        if daemon.store.reachable:
            servers, records = self.positions[name]
            updates = self.fleet.updates[servers:]
            for change in self.store_state.history[records:]:
                value = change.value if isinstance(change, Item) else None
                updates.append(RecordUpdate(change.key, value, change.revision))
            self.positions[name] = (len(self.fleet.updates), len(self.store_state.history))
        daemon.read(updates, self.store_state.revision)

    def _send_datagram(
        self, sender: DaemonAddress, message: Datagram, receiver: tuple[str, int]
    ) -> None:
        if self.rng.random() < self.datagram_loss:
            return
        is_late = self.rng.random() < self.datagram_loss
        delay = self.rng.uniform(*LATE_DATAGRAM_SECONDS) if is_late else self.wire.latency()
        name = next(name for name, member in self.members.items() if member.host == receiver[0])
        if self.isolated & {name, sender.instance}:
            return
        source = (sender.host, sender.port)
        self.scheduler.schedule_after(delay, lambda: self._arrive(name, message, source))

    def _arrive(self, name: str, message: Datagram, source: tuple[str, int]) -> None:
        if self.daemons[name].process.is_alive:
            self.daemons[name].receive_datagram(message, source)

    def _cut_off(self) -> None:
        name = self._choose_daemon()
        daemon = self.daemons[name]
        if not daemon.store.reachable:
            return
        daemon.store.reachable = False
        is_isolated = self.rng.random() < 0.5
        if is_isolated:
            self.isolated.add(name)
        self.checker.record_event(f"{name} is cut off{' from all' * is_isolated}")
        self.scheduler.schedule_after(
            self.rng.uniform(*CUT_SECONDS), functools.partial(self._join, name, daemon)
        )

    def _cut_off_amid_restarts(self) -> None:
        """Cuts off a decider while servers restart, which forget the fences of its successor."""
        self._cut_off()
        for _ in range(self.rng.randint(1, MAX_RESTARTS_AT_ONCE)):
            delay = self.rng.uniform(0.0, OUTAGE_GRACE_SECONDS)
            action = self.rng.choice((self.fleet.restart_quickly, self.fleet.drain))
            self.scheduler.schedule_after(delay, action)

    def _join(self, name: str, daemon: SimulatedDaemon) -> None:
        daemon.store.reachable = True
        self.isolated.discard(name)
        self.checker.record_event(f"{name} reaches the store again")

    def _freeze(self) -> None:
        name = self._choose_daemon()
        seconds = self.rng.uniform(*FREEZE_SECONDS)
        self.daemons[name].process.frozen_until = self.clock.now() + seconds
        self.checker.record_event(f"{name} is frozen for {seconds:.2f} s")

    def _kill(self) -> None:
        name = self._choose_daemon()
        daemon = self.daemons[name]
        if not daemon.process.is_alive:
            return
        daemon.process.is_alive = False
        self.checker.record_event(f"{name} is killed")
        self.scheduler.schedule_after(
            self.rng.uniform(*RESTART_SECONDS), functools.partial(self._restart_daemon, name)
        )

    def _restart_daemon(self, name: str) -> None:
        member = self.members[name]
        self.members = {**self.members, name: member.replace(started_ms=member.started_ms + 1)}
        self._start_daemon(name)
        self.checker.record_event(f"{name} starts again")

    def _revoke_record(self) -> None:
        item = self.store_state.read(DECIDER_KEY)
        if item is not None:
            self.store_state.revoke_lease(item.lease_id)
            self.checker.record_event("the decider record is revoked")

    def _choose_daemon(self) -> str:
        """Returns a daemon, most often one that decides."""
        deciders = [name for name, daemon in self.daemons.items() if daemon.is_decider]
        return self.rng.choice(
            deciders if deciders and self.rng.random() < 0.8 else [*self.daemons]
        )

    def _change_load(self) -> None:
        first = self.rng.randint(0, LAST_KEY_NUMBER)
        spread = self.rng.choice((1, 200, 10_000))
        self.hot_keys = [(first + number * spread) % 65_536 for number in range(HOT_KEYS)]

    def _serve(self) -> None:
        others = [self.rng.randint(0, LAST_KEY_NUMBER) for _ in range(HOT_KEYS)]
        self.fleet.serve([*self.hot_keys, *others])
        self.checker.check_overlaps()
        self.scheduler.schedule_after(REQUEST_INTERVAL_SECONDS, self._serve)

    def _report_load(self) -> None:
        report = LoadReport(
            "front-0", SERVICE, 1, REPORTED_REQUESTS, (*self.hot_keys, *range(0, 65_536, 4096))
        )
        for daemon in self.daemons.values():
            if daemon.process.is_alive:
                daemon.receive_datagram(report, ("", 0))
        self.scheduler.schedule_after(REPORT_INTERVAL_SECONDS, self._report_load)
