"""The baseline: a daemon that sends each request at once, without limits or memory."""

from collections.abc import Callable

from fireflylink_core import (
    KEY_COUNT,
    BaseReply,
    NotRun,
    OutcomeUnknown,
    OwnershipTable,
)
from fireflylink_emulator._base_daemon import SERVER_FAILED, WHOLE, BaseEmulatedDaemon
from fireflylink_emulator._caller_attempt import CallEnd, CallerAttempt, CallOutcome
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile

RETRY_SECONDS = 1.0


class BaselineDaemon(BaseEmulatedDaemon):
    """Sends to the owner in the table, else to the servers in turn; repeats nothing.

    What a server declines is refused, what fails is told. It keeps every promise, and decides
    nothing by load, speed, distance or temperature.
    """

    __slots__ = ("next_server", "servers", "tables")

    def __init__(
        self, name: str, data_centre: str, fleet: FleetProfile, scheduler: EventScheduler
    ) -> None:
        super().__init__(name, data_centre, fleet, scheduler)
        self.servers: dict[str, list[EmulatedServer]] = {}
        self.tables: dict[str, OwnershipTable] = {}
        self.next_server = 0

    def update_servers(self, servers: list[EmulatedServer]) -> None:
        self.servers = {}
        for server in servers:
            self.servers.setdefault(server.profile.name, []).append(server)

    def update_table(self, table: OwnershipTable) -> None:
        self.tables[table.service] = table

    def receive(self, attempt: CallerAttempt, done: Callable[[BaseReply], None]) -> None:
        server = self._choose(attempt)
        if server is None:
            done(NotRun("no-owner", retry_after=RETRY_SECONDS))
            return
        self.call(attempt, server, lambda outcome: done(_reply(outcome)))

    def cancel(self, attempt: CallerAttempt) -> None:
        found = self.calls.get(attempt)
        if found is not None:
            found[0].on_disconnect(found[1])
            found[1].done(CallOutcome(CallEnd.LATE))

    def _choose(self, attempt: CallerAttempt) -> EmulatedServer | None:
        servers = self.servers.get(attempt.profile.name, [])
        if not servers:
            return None
        if not attempt.profile.keyed:
            self.next_server += 1
            return servers[self.next_server % len(servers)]
        table = self.tables.get(attempt.profile.name)
        if table is None:
            return servers[attempt.key * len(servers) // KEY_COUNT]
        assignment = table.find(attempt.key)
        owner = None if assignment is None else assignment.owner
        return next((server for server in servers if server.incarnation == owner), None)


def _reply(outcome: CallOutcome) -> BaseReply:
    end = outcome.end
    if end is CallEnd.ANSWERED:
        return WHOLE
    if end is CallEnd.FAILED:
        return SERVER_FAILED
    if end in (CallEnd.DECLINED, CallEnd.MISDIRECTED, CallEnd.NOT_SENT):
        return NotRun(end.value, retry_after=RETRY_SECONDS)
    if end is CallEnd.LATE:
        return OutcomeUnknown("late", True)
    return OutcomeUnknown("lost")
