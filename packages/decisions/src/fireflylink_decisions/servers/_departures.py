"""Servers that have left, remembered so that late copies of their registrations are recognized."""

from fireflylink_core import ServerIncarnation

DEPARTURE_RETENTION_SECONDS = 600.0
"""How long a server that has left is remembered: longer than a registration may be held up on its
way or lie in a copy of the store. The limit bounds the memory for servers with ever new ids."""


class Departure:
    """The newest incarnation of a server that has left.

    ``draining_since`` is when it was first seen to drain, None if it left without draining.
    """

    __slots__ = ("draining_since", "forget_at", "incarnation")

    def __init__(
        self, incarnation: ServerIncarnation, draining_since: float | None, forget_at: float
    ) -> None:
        self.incarnation = incarnation
        self.draining_since = draining_since
        self.forget_at = forget_at


class DepartureLog:
    """The newest departed incarnation of each server id, for ``DEPARTURE_RETENTION_SECONDS``."""

    __slots__ = ("departures",)

    def __init__(self) -> None:
        self.departures: dict[str, Departure] = {}

    def record(
        self, incarnation: ServerIncarnation, draining_since: float | None, now: float
    ) -> None:
        """Records that an incarnation has left, unless a newer one has left before."""
        if incarnation.started_ms >= self.newest_started_ms(incarnation.server_id):
            forget_at = now + DEPARTURE_RETENTION_SECONDS
            departure = Departure(incarnation, draining_since, forget_at)
            self.departures[incarnation.server_id] = departure

    def find(self, incarnation: ServerIncarnation) -> Departure | None:
        """Returns the departure of an incarnation, None if it has not left.

        Incarnations whose start time is unknown cannot be told apart, and are not found.
        """
        departure = self.departures.get(incarnation.server_id)
        if departure is None or departure.incarnation != incarnation or not incarnation.started_ms:
            return None
        return departure

    def newest_started_ms(self, server_id: str) -> int:
        """Returns the start time of the newest departed incarnation, 0 for an unknown server."""
        departure = self.departures.get(server_id)
        return 0 if departure is None else departure.incarnation.started_ms

    def forget(self, server_id: str) -> None:
        """Forgets the departures of a server."""
        self.departures.pop(server_id, None)

    def expire(self, now: float) -> None:
        """Forgets the departures whose retention has ended."""
        self.departures = {
            server_id: departure
            for server_id, departure in self.departures.items()
            if now < departure.forget_at
        }
