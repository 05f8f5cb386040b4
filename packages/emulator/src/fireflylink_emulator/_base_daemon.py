"""Interface of the emulated daemons, and their calls to servers."""

import abc
from collections.abc import Callable

from fireflylink_core import BaseReply, OwnershipTable, ServerAnswer
from fireflylink_emulator._caller_attempt import CallerAttempt, CallOutcome, CallStatus
from fireflylink_emulator._emulated_server import Call, EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile

REPLY_MARGIN_SECONDS = 0.03
"""Calls end this long before the caller's deadline, so that the reply still arrives in time."""

OK_ANSWER = ServerAnswer(200, (), b"")
ERROR_ANSWER = ServerAnswer(500, (), b"")
LOCAL_ONE_WAY_LATENCY_SECONDS = 0.0005
"""Latency between a daemon and a server in the same data centre."""


class BaseEmulatedDaemon(abc.ABC):
    """One daemon in one data centre.

    ``active_calls`` maps each attempt with a call in progress to the server and the call.
    """

    __slots__ = ("active_calls", "data_centre", "fleet", "name", "running", "scheduler")

    def __init__(
        self, name: str, data_centre: str, fleet: FleetProfile, scheduler: EventScheduler
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.fleet = fleet
        self.scheduler = scheduler
        self.running = True
        self.active_calls: dict[CallerAttempt, tuple[EmulatedServer, Call]] = {}

    @abc.abstractmethod
    def receive(self, attempt: CallerAttempt, on_reply: Callable[[BaseReply], None]) -> None:
        """Receives an attempt of a caller; ``on_reply`` is called once with the reply to it."""

    @abc.abstractmethod
    def cancel(self, attempt: CallerAttempt) -> None:
        """Cancels an attempt whose caller has disconnected."""

    @abc.abstractmethod
    def update_servers(self, servers: list[EmulatedServer]) -> None:
        """Replaces the list of registered servers."""

    @abc.abstractmethod
    def update_table(self, table: OwnershipTable) -> None:
        """Replaces the ownership table of a service."""

    def call(
        self,
        attempt: CallerAttempt,
        server: EmulatedServer,
        on_outcome: Callable[[CallOutcome], None],
    ) -> None:
        """Sends an attempt to the current incarnation of a server.

        ``on_outcome`` is called once, with ``LATE`` if the server has not answered in time.
        """
        latency = self._latency(server)
        deadline = attempt.deadline - REPLY_MARGIN_SECONDS
        call = Call(
            attempt,
            deadline,
            lambda outcome: self.scheduler.schedule_after(latency, deliver(outcome)),
            self.name,
        )
        incarnation = server.incarnation
        finished = [False]

        def finish(outcome: CallOutcome) -> None:
            if finished[0]:
                return
            finished[0] = True
            self.active_calls.pop(attempt, None)
            on_outcome(outcome)

        def deliver(outcome: CallOutcome) -> Callable[[], None]:
            return lambda: finish(outcome)

        def time_out() -> None:
            if not finished[0]:
                server.on_disconnect(call)
                finish(CallOutcome(CallStatus.LATE))

        self.active_calls[attempt] = (server, call)
        self.scheduler.schedule_after(latency, lambda: server.receive(call, incarnation))
        self.scheduler.schedule_at(deadline, time_out)

    def _latency(self, server: EmulatedServer) -> float:
        is_local = server.data_centre == self.data_centre
        return LOCAL_ONE_WAY_LATENCY_SECONDS if is_local else self.fleet.remote_latency_seconds
