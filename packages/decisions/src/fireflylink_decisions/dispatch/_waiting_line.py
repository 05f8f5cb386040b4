"""Requests of one service that wait at this daemon, the most urgent first."""

import bisect
from collections.abc import Callable

from fireflylink_decisions.dispatch._ticket import Ticket
from fireflylink_decisions.limits import SlidingWindowCounter

RATE_WINDOW_SECONDS = 2.0
MAX_WAITING = 200


class WaitingLine:
    """Tickets by rank, then by arrival, and how fast the service takes them."""

    __slots__ = ("placed", "tickets")

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        self.placed = SlidingWindowCounter(RATE_WINDOW_SECONDS)

    def join(self, ticket: Ticket) -> None:
        """Adds a ticket behind those that are as urgent."""
        bisect.insort_right(self.tickets, ticket, key=_order)

    def leave(self, ticket: Ticket) -> None:
        """Removes a ticket, if it still waits."""
        for index, waiting in enumerate(self.tickets):
            if waiting is ticket:
                del self.tickets[index]
                return

    def ahead(self, ticket: Ticket, missed: Callable[[Ticket], bool]) -> int:
        """Returns how many waiting tickets come before a new one that can meet its objective."""
        before = self.tickets[: bisect.bisect_right(self.tickets, _order(ticket), key=_order)]
        return sum(waiting.rank < ticket.rank or not missed(waiting) for waiting in before)

    def in_order(self, missed: Callable[[Ticket], bool]) -> list[Ticket]:
        """Returns the tickets by rank; those that can only be late come behind the others.

        Under overload, first come first served lets every request wait until it is late.
        """
        return sorted(self.tickets, key=lambda ticket: (ticket.rank, missed(ticket)))

    def expected_wait(self, ahead: int, now: float) -> float:
        """Returns how long ``ahead`` tickets take at the rate of the last seconds."""
        rate = self.placed.count(now) / RATE_WINDOW_SECONDS
        return ahead / rate if rate > 0 else 0.0

    @property
    def full(self) -> bool:
        """Whether no more tickets are taken."""
        return len(self.tickets) >= MAX_WAITING


def _order(ticket: Ticket) -> tuple[int, float]:
    return (ticket.rank, ticket.since)
