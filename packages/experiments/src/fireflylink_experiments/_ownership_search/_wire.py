"""Connections between daemons and servers, with faults, and the command tasks that use them."""

import functools
import random
from collections import Counter
from collections.abc import Callable

from fireflylink_backend_client import (
    BaseServerCodec,
    CommandError,
    ServerMismatchError,
    StaleFenceError,
)
from fireflylink_core import BackendServer, BaseClock, ServerIncarnation
from fireflylink_daemon.decider import (
    BaseTask,
    CommandCompleted,
    CommandTask,
    FleetCommands,
    SendCommand,
    ServerCommandTasks,
)
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    BaseCommand,
    GrantCommand,
    ReleaseCommand,
)
from fireflylink_emulator import EventScheduler
from fireflylink_experiments._ownership_search._checker import OwnershipChecker
from fireflylink_experiments._ownership_search._server import SimulatedServer

LATENCY_SECONDS = (0.001, 0.01)
SLOW_LATENCY_SECONDS = (0.05, 2.5)
LATE_SECONDS = (2.0, 12.0)
"""A command without an answer may be carried out so much later."""

HIGH_RATE = 0.3
RECONNECTING_FRACTION = 0.3
"""Part of the runs with many new connections, slow ones, and restarts after releases."""

RESTART_DELAY_SECONDS = (0.0, 0.3)
CONNECT_RETRY_SECONDS = (0.02, 0.55)


DRAWN_FAULTS = (
    "answer_late",
    "answer_lost",
    "command_late",
    "command_slow",
    "connect_slow",
    "connection_dropped",
    "restart_after_release",
)


def _draw_probabilities(rng: random.Random) -> dict[str, float]:
    """Returns the probability of each fault of a command in a run."""
    probabilities = {fault: rng.choice((0.0, 0.01, 0.05, HIGH_RATE)) for fault in DRAWN_FAULTS}
    probabilities["refused"] = rng.choice((0.0, 0.5, 1.0))
    if rng.random() < RECONNECTING_FRACTION:
        # Grants that are on their way while a server releases keys and restarts are rare.
        for fault in ("connect_slow", "connection_dropped", "restart_after_release"):
            probabilities[fault] = HIGH_RATE
    return probabilities


class Wire:
    """Carries commands to the server that uses an address, if any; ``faults`` counts the faults.

    ``restart_quickly`` restarts a server under its id.
    """

    __slots__ = (
        "checker",
        "commands",
        "faults",
        "probabilities",
        "restart_quickly",
        "rng",
        "scheduler",
        "servers",
    )

    def __init__(
        self, scheduler: EventScheduler, checker: OwnershipChecker, rng: random.Random
    ) -> None:
        self.scheduler = scheduler
        self.checker = checker
        self.rng = rng
        self.probabilities = _draw_probabilities(rng)
        self.servers: dict[str, SimulatedServer] = {}
        self.faults: Counter[str] = Counter()
        self.commands: Counter[str] = Counter()
        self.restart_quickly: Callable[[SimulatedServer], None] | None = None

    def latency(self) -> float:
        """Returns the time that some bytes take."""
        return self.rng.uniform(*LATENCY_SECONDS)

    def strikes(self, fault: str) -> bool:
        """Whether a fault happens to the present command."""
        happens = self.rng.random() < self.probabilities[fault]
        self.faults[fault] += happens
        return happens


class _Exchange:
    """One command on its way; ``is_done`` when its sender has its result."""

    __slots__ = ("is_done", "message", "sent_at")

    def __init__(self, message: SendCommand, sent_at: float) -> None:
        self.message = message
        self.sent_at = sent_at
        self.is_done = False


class SimulatedProcess:
    """What the tasks of a daemon share: whether the process runs, and where messages are posted."""

    __slots__ = ("frozen_until", "is_alive", "name", "to_deliver")

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_alive = True
        self.frozen_until = 0.0
        self.to_deliver: list[CommandCompleted] = []


class WireCommandTask(CommandTask):
    """Sends commands over the wire in place of a socket, one at a time.

    ``peer`` is the server at the other end of the open connection, None without one.
    """

    __slots__ = ("exchange", "is_closed", "peer", "process", "server", "wire")

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership_task: BaseTask,
        hold_seconds: float,
        wire: Wire,
        process: SimulatedProcess,
    ) -> None:
        super().__init__(server, clock, codec, ownership_task, hold_seconds)
        self.server = server
        self.wire = wire
        self.process = process
        self.peer: SimulatedServer | None = None
        self.exchange: _Exchange | None = None
        self.is_closed = False

    def post(self, message: object) -> None:
        if not isinstance(message, SendCommand):
            return
        exchange = self.exchange = _Exchange(message, self.clock.now())
        kind = type(message.command).__name__
        self.wire.commands[kind] += 1
        if not (isinstance(message.command, GrantCommand) and message.command.renewal):
            self._record("sends", message.command)
        self.wire.scheduler.schedule_at(
            message.deadline, functools.partial(self._time_out, exchange)
        )
        self._connect(exchange)

    def close(self) -> None:
        """Resets the connection; what has not arrived is lost."""
        self.is_closed = True
        self.peer = None

    def _connect(self, exchange: _Exchange) -> None:
        if exchange.is_done or self.is_closed or not self.process.is_alive:
            return
        wire = self.wire
        if self.peer is not None and wire.strikes("connection_dropped"):
            self.peer = None
        if self.peer is None:
            present = wire.servers.get(self.server.host)
            if present is None and wire.strikes("refused"):
                self._complete(exchange, CommandError("refused", False))
                return
            if present is None or wire.strikes("connect_slow"):
                wire.faults["connects-while-down"] += present is None
                wire.scheduler.schedule_after(
                    wire.rng.uniform(*CONNECT_RETRY_SECONDS),
                    functools.partial(self._connect, exchange),
                )
                return
            self.peer = present
        is_slow = wire.strikes("command_slow")
        delay = wire.rng.uniform(*SLOW_LATENCY_SECONDS) if is_slow else wire.latency()
        wire.scheduler.schedule_after(delay, functools.partial(self._arrive, exchange, self.peer))

    def _arrive(self, exchange: _Exchange, peer: SimulatedServer) -> None:
        """The bytes of a command arrive, unless its sender reset the connection before.

        Those that a killed process had sent arrive.
        """
        was_reset = exchange.is_done or self.is_closed or self.peer is not peer
        if was_reset:
            return
        if not peer.is_up:
            self.peer = None
            self._answer(exchange, CommandError("reset", True), "")
            return
        if self.wire.strikes("command_late"):
            delay = self.wire.rng.uniform(*LATE_SECONDS)
            self.wire.scheduler.schedule_after(
                delay, functools.partial(self._carry_out, exchange, peer, self.clock.now(), True)
            )
            return
        self._carry_out(exchange, peer, self.clock.now(), False)

    def _carry_out(
        self, exchange: _Exchange, peer: SimulatedServer, arrived_at: float, is_late: bool
    ) -> None:
        if not peer.is_up:
            return
        command = exchange.message.command
        if peer.server_id != command.server.server_id:
            self.wire.faults["misdirected"] += 1
            self._answer(exchange, ServerMismatchError(), "")
            return
        answer = functools.partial(self._answer, exchange)
        if isinstance(command, ReleaseCommand):
            self._record(f"{peer} carries out{' late' * is_late}:", command)
            respond = _discard if is_late else functools.partial(self._respond_to_release, exchange)
            peer.release(command.keys, command.fence, functools.partial(respond, peer))
        elif isinstance(command, GrantCommand):
            is_late = is_late or self.clock.now() > exchange.sent_at + GRANT_TIMEOUT_SECONDS
            accepted = peer.grant(
                command.keys, command.fence, self.hold_seconds, arrived_at, is_late
            )
            is_for_former = peer.started_ms != command.server.started_ms
            self.wire.faults["taken-by-next-incarnation"] += is_for_former and accepted
            if not command.renewal or is_for_former or is_late:
                result = "accepts" if accepted else "refuses"
                self._record(f"{peer} {result}{' late' * is_late}:", command)
            if not is_late:
                answer(None if accepted else StaleFenceError(), "")

    def _respond_to_release(
        self, exchange: _Exchange, peer: SimulatedServer, handover: str
    ) -> None:
        self._answer(exchange, None, handover)
        wire = self.wire
        if wire.restart_quickly is not None and wire.strikes("restart_after_release"):
            wire.scheduler.schedule_after(
                wire.rng.uniform(*RESTART_DELAY_SECONDS),
                functools.partial(wire.restart_quickly, peer),
            )

    def _answer(self, exchange: _Exchange, error: CommandError | None, handover: str) -> None:
        wire = self.wire
        if wire.strikes("answer_lost"):
            return
        delay = wire.rng.uniform(*SLOW_LATENCY_SECONDS) if wire.strikes("answer_late") else 0.0
        wire.scheduler.schedule_after(
            delay + wire.latency(), functools.partial(self._complete, exchange, error, handover)
        )

    def _time_out(self, exchange: _Exchange) -> None:
        if exchange.is_done or self.is_closed or not self.process.is_alive:
            return
        if self.clock.now() < self.process.frozen_until:
            self.wire.scheduler.schedule_at(
                self.process.frozen_until, functools.partial(self._time_out, exchange)
            )
            return
        self.wire.faults["time-outs"] += 1
        was_connected = self.peer is not None
        self.peer = None
        self._complete(exchange, CommandError("no answer", was_connected))

    def _complete(
        self, exchange: _Exchange, error: CommandError | None, handover: str = ""
    ) -> None:
        if exchange.is_done or self.is_closed or not self.process.is_alive:
            return
        exchange.is_done = True
        message = exchange.message
        if isinstance(message.command, ReleaseCommand) or error is not None:
            self._record(f"hears {error or 'answer'} to", message.command)
        self.process.to_deliver.append(
            CommandCompleted(message.service, message.command, error, handover, self)
        )

    def _record(self, text: str, command: BaseCommand) -> None:
        if isinstance(command, GrantCommand | ReleaseCommand):
            kind = "release"
            if isinstance(command, GrantCommand):
                kind = "renewal" if command.renewal else "grant"
            self.wire.checker.record_event(
                f"{self.process.name} {text} {kind} {command.keys} fence {command.fence}"
                f" for {command.server}",
                command.keys,
            )


def _discard(_server: SimulatedServer, _handover: str) -> None:
    """Loses the answer to a release that is carried out late."""


class WireServerCommandTasks(ServerCommandTasks):
    """The ``WireCommandTask``s of one server."""

    __slots__ = ("process", "wire")

    wire: Wire
    process: SimulatedProcess

    def _start_task(self) -> CommandTask:
        return WireCommandTask(
            self.server,
            self.clock,
            self.codec,
            self.ownership_task,
            self.hold_seconds,
            self.wire,
            self.process,
        )


class WireFleetCommands(FleetCommands):
    """The command tasks of a daemon, over the wire."""

    __slots__ = ("process", "wire")

    wire: Wire
    process: SimulatedProcess

    def _tasks(self, server: BackendServer, command: BaseCommand) -> ServerCommandTasks:
        tasks_by_server: dict[ServerIncarnation, ServerCommandTasks]
        tasks_by_server = self._tasks_by_server(command)
        if command.server not in tasks_by_server:
            present = super()._tasks(server, command)
            tasks = WireServerCommandTasks(
                server,
                self.clock,
                self.codec,
                self.ownership_task,
                self.hold_seconds,
                present.limit,
            )
            tasks.wire = self.wire
            tasks.process = self.process
            tasks_by_server[command.server] = tasks
        return tasks_by_server[command.server]
