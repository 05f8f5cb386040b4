"""Callers: they ask, wait, come back after a refusal, and leave at their deadline."""

import random

from fireflylink_core import BaseReply, CallerDisconnected, NotRun, OutcomeUnknown, ServerAnswer
from fireflylink_emulator._agenda import Agenda
from fireflylink_emulator._base_daemon import BaseEmulatedDaemon
from fireflylink_emulator._order import CallerOrder
from fireflylink_emulator._profile import ServiceProfile
from fireflylink_emulator._tally import Tally

NETWORK_SECONDS = 0.008
HONOURED_PART = 1.0 / 3.0
"""Callers wait as they are told for at most this part of the time that they have left."""

DEFAULT_RETRY_SECONDS = 0.1
IMPATIENT_REPEATS = 4
IMPATIENT_SECONDS = 0.02
LEAST_LEFT_SECONDS = 0.1
SERVER_ERROR = 500


class Callers:
    """All callers of a run.

    ``impatient`` is the part of callers that repeat at once and often, whatever they are told;
    ``leavers`` the part that leave before their deadline.
    """

    __slots__ = (
        "agenda",
        "daemons",
        "impatient",
        "leavers",
        "source",
        "tallies",
    )

    def __init__(
        self, agenda: Agenda, daemons: list[BaseEmulatedDaemon], source: random.Random
    ) -> None:
        self.agenda = agenda
        self.daemons = daemons
        self.source = source
        self.tallies: dict[str, Tally] = {}
        self.impatient = 0.0
        self.leavers = 0.0

    def tally(self, profile: ServiceProfile) -> Tally:
        """Returns the counts of one kind of requests."""
        return self.tallies.setdefault(profile.kind, Tally())

    def ask(self, profile: ServiceProfile, key: int) -> None:
        """Sends the first attempt of a request."""
        impatient = self.source.random() < self.impatient
        repeats = IMPATIENT_REPEATS if impatient else profile.repeats
        order = self._order(profile, key, self.agenda.clock.now(), repeats, impatient)
        self.tally(profile).note_asked(order)
        self._send(order)

    def close(self) -> None:
        """Checks the promises about refused orders after the last event."""
        for tally in self.tallies.values():
            tally.close()

    def _order(
        self, profile: ServiceProfile, key: int, asked_at: float, repeats: int, impatient: bool
    ) -> CallerOrder:
        received_at = self.agenda.clock.now() + NETWORK_SECONDS
        return CallerOrder(profile, key, asked_at, received_at, repeats, impatient)

    def _send(self, order: CallerOrder) -> None:
        running = [daemon for daemon in self.daemons if daemon.running]
        daemon = self.source.choice(running or self.daemons)
        ended = [False]

        def reply(found: BaseReply) -> None:
            self.agenda.after(NETWORK_SECONDS, lambda: receive(found))

        def receive(found: BaseReply) -> None:
            if ended[0]:
                return
            ended[0] = True
            self._ended(order, found)

        def leave() -> None:
            if not ended[0]:
                ended[0] = True
                daemon.leave(order)
                self._ended(order, CallerDisconnected())

        if daemon.running:
            self.agenda.after(NETWORK_SECONDS, lambda: daemon.receive(order, reply))
        self.agenda.at(self._leaves_at(order), leave)

    def _leaves_at(self, order: CallerOrder) -> float:
        if self.source.random() >= self.leavers:
            return order.latest
        now = self.agenda.clock.now()
        return now + (order.latest - now) * self.source.random()

    def _ended(self, order: CallerOrder, reply: BaseReply) -> None:
        now = self.agenda.clock.now()
        tally = self.tally(order.profile)
        tally.note_attempt(order, reply)
        # Work that goes on after the caller has its answer would be a second run.
        self.agenda.at(order.latest + 1.0, lambda: tally.note_runs(order))
        wait = self._wait(order, reply, order.latest - now)
        if wait is None:
            tally.note_end(order, reply, now)
            return
        self.agenda.after(wait, lambda: self._again(order))

    def _again(self, order: CallerOrder) -> None:
        again = self._order(
            order.profile, order.key, order.asked_at, order.attempts_left - 1, order.impatient
        )
        self._send(again)

    def _wait(self, order: CallerOrder, reply: BaseReply, left: float) -> float | None:
        """Returns after how long the caller asks again, None if it does not."""
        if order.attempts_left <= 0 or left < LEAST_LEFT_SECONDS or not _asks_again(order, reply):
            return None
        if order.impatient:
            return IMPATIENT_SECONDS
        stated = reply.retry_after if isinstance(reply, NotRun) else None
        if stated is None:
            stated = DEFAULT_RETRY_SECONDS
        return min(stated, left * HONOURED_PART)


def _asks_again(order: CallerOrder, reply: BaseReply) -> bool:
    if isinstance(reply, NotRun):
        return True
    if not order.profile.repeatable:
        return False
    if isinstance(reply, ServerAnswer):
        return reply.status >= SERVER_ERROR
    return isinstance(reply, OutcomeUnknown)
