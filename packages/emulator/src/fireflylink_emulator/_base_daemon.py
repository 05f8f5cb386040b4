"""What every emulated daemon offers: requests in, replies out, calls to servers in between."""

import abc
from collections.abc import Callable

from fireflylink_core import BaseReply, OwnershipTable, ServerAnswer
from fireflylink_emulator._caller_attempt import CallEnd, CallerAttempt, CallOutcome
from fireflylink_emulator._emulated_server import Call, EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile

REPLY_MARGIN_SECONDS = 0.03
WHOLE = ServerAnswer(200, (), b"")
SERVER_FAILED = ServerAnswer(500, (), b"")
LOCAL_SECONDS = 0.0005


class BaseEmulatedDaemon(abc.ABC):
    """One daemon in one data centre; ``calls`` are those under way, by attempt."""

    __slots__ = ("calls", "data_centre", "fleet", "name", "running", "scheduler")

    def __init__(
        self, name: str, data_centre: str, fleet: FleetProfile, scheduler: EventScheduler
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.fleet = fleet
        self.scheduler = scheduler
        self.running = True
        self.calls: dict[CallerAttempt, tuple[EmulatedServer, Call]] = {}

    @abc.abstractmethod
    def receive(self, attempt: CallerAttempt, done: Callable[[BaseReply], None]) -> None:
        """Takes an attempt of a caller; ``done`` is called once with its end."""

    @abc.abstractmethod
    def cancel(self, attempt: CallerAttempt) -> None:
        """Cancels an attempt whose caller has disconnected."""

    @abc.abstractmethod
    def update_servers(self, servers: list[EmulatedServer]) -> None:
        """Takes the registrations of all servers."""

    @abc.abstractmethod
    def update_table(self, table: OwnershipTable) -> None:
        """Takes the owners of the keys of a service."""

    def call(
        self,
        attempt: CallerAttempt,
        server: EmulatedServer,
        ended: Callable[[CallOutcome], None],
    ) -> None:
        """Sends an attempt to the present incarnation of a server; ``ended`` is called once."""
        latency = self._latency(server)
        latest = attempt.latest - REPLY_MARGIN_SECONDS
        call = Call(
            attempt, latest, lambda outcome: self.scheduler.schedule_after(latency, arrive(outcome))
        )
        incarnation = server.incarnation
        finished = [False]

        def finish(outcome: CallOutcome) -> None:
            if finished[0]:
                return
            finished[0] = True
            self.calls.pop(attempt, None)
            ended(outcome)

        def arrive(outcome: CallOutcome) -> Callable[[], None]:
            return lambda: finish(outcome)

        def give_up() -> None:
            if not finished[0]:
                server.on_disconnect(call)
                finish(CallOutcome(CallEnd.LATE))

        self.calls[attempt] = (server, call)
        self.scheduler.schedule_after(latency, lambda: server.receive(call, incarnation))
        self.scheduler.schedule_at(latest, give_up)

    def _latency(self, server: EmulatedServer) -> float:
        near = server.data_centre == self.data_centre
        return LOCAL_SECONDS if near else self.fleet.distance_seconds
