"""Baseline daemon, which sends each request at once and without limits."""

from collections.abc import Callable

from fireflylink_core import (
    KEY_COUNT,
    BaseReply,
    NotRun,
    OutcomeUnknown,
    OwnershipTable,
)
from fireflylink_emulator._base_daemon import ERROR_ANSWER, OK_ANSWER, BaseEmulatedDaemon
from fireflylink_emulator._caller_attempt import CallerAttempt, CallOutcome, CallStatus
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile

RETRY_AFTER_SECONDS = 1.0
"""Delay that a refusal asks for before a retry."""


class BaselineDaemon(BaseEmulatedDaemon):
    """Sends to the owner of the key, or round-robin without a key; retries nothing.

    Without an ownership table, keys are divided evenly among the servers. Requests that a server
    declines are refused, and failures are reported to the caller. The baseline keeps the guarantees
    whose violations ``RunStatistics`` counts, but ignores load, speed, distance and warm-up of the
    servers.
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
            self.servers.setdefault(server.profile.service, []).append(server)

    def update_table(self, table: OwnershipTable) -> None:
        self.tables[table.service] = table

    def receive(self, attempt: CallerAttempt, on_reply: Callable[[BaseReply], None]) -> None:
        server = self._choose(attempt)
        if server is None:
            on_reply(NotRun("no-owner", retry_after=RETRY_AFTER_SECONDS))
            return
        self.call(attempt, server, lambda outcome: on_reply(_reply(outcome)))

    def cancel(self, attempt: CallerAttempt) -> None:
        active_call = self.active_calls.get(attempt)
        if active_call is not None:
            active_call[0].on_disconnect(active_call[1])
            # Any status would do: the caller has disconnected and ignores the reply.
            active_call[1].on_done(CallOutcome(CallStatus.LATE))

    def _choose(self, attempt: CallerAttempt) -> EmulatedServer | None:
        servers = self.servers.get(attempt.profile.service, [])
        if not servers:
            return None
        if not attempt.profile.keyed:
            self.next_server += 1
            return servers[self.next_server % len(servers)]
        table = self.tables.get(attempt.profile.service)
        if table is None:
            return servers[attempt.key * len(servers) // KEY_COUNT]
        assignment = table.find(attempt.key)
        owner = None if assignment is None else assignment.owner
        return next((server for server in servers if server.incarnation == owner), None)


def _reply(outcome: CallOutcome) -> BaseReply:
    status = outcome.status
    if status is CallStatus.ANSWERED:
        return OK_ANSWER
    if status is CallStatus.FAILED:
        return ERROR_ANSWER
    if status in (CallStatus.DECLINED, CallStatus.MISDIRECTED, CallStatus.NOT_SENT):
        return NotRun(status.value, retry_after=RETRY_AFTER_SECONDS)
    if status is CallStatus.LATE:
        return OutcomeUnknown("late", True)
    return OutcomeUnknown("lost")
