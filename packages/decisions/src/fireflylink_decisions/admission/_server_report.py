"""What a backend server replies to a grant."""

from fireflylink_core import BaseValue
from fireflylink_decisions.limits import ReportedState


class ServerReport(BaseValue):
    """State of a server. ``sent_at`` is when the grant was sent, in seconds.

    Without ``sent_at`` the report does not confirm a generation that is in doubt. ``slots`` is 0
    when the server states none. ``in_flight`` matters at the first report after a takeover.
    """

    __slots__ = ("generation", "in_flight", "sent_at", "server_id", "slots", "state")

    def __init__(
        self,
        server_id: str,
        generation: str,
        state: ReportedState,
        sent_at: float | None = None,
        slots: int = 0,
        in_flight: int = 0,
    ) -> None:
        self.server_id = server_id
        self.generation = generation
        self.state = state
        self.sent_at = sent_at
        self.slots = slots
        self.in_flight = in_flight
