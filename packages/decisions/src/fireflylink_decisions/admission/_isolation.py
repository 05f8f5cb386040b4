"""Runs suspected requests one at a time on a server that runs nothing else."""

from collections import OrderedDict
from collections.abc import Sequence

from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.limits import ServerLimiter

MAX_SUSPECTS = 16


class Isolation:
    """Suspects that wait for a server of their own, and the server that is kept free for them.

    At most one server of the group is kept free at a time: it gets no other request, finishes
    those that it has, and then runs the suspects one after the other.
    """

    __slots__ = ("running", "server", "waiting")

    def __init__(self) -> None:
        self.waiting: OrderedDict[str, Call] = OrderedDict()
        self.server: ServerLimiter | None = None
        self.running = ""

    def add(self, call: Call) -> bool:
        """Lets a suspect wait, or returns False when too many do."""
        if len(self.waiting) >= MAX_SUSPECTS:
            return False
        self.waiting[call.call_id] = call
        return True

    def next(
        self, servers: Sequence[ServerLimiter], now: float
    ) -> tuple[Call, ServerLimiter] | None:
        """Returns a suspect that may start and its server, or None."""
        if self.running or not self.waiting:
            return None
        if self.server is None or self.server.draining or self.server.withheld:
            self.release()
            self.server = self.choose(servers)
        server = self.server
        if server is None or server.in_flight > 0 or server.blocked_until > now:
            return None
        call = self.waiting.popitem(last=False)[1]
        self.running = call.call_id
        return call, server

    def choose(self, servers: Sequence[ServerLimiter]) -> ServerLimiter | None:
        """Keeps a server free: one that is sure to live, and has the fewest requests to finish."""
        candidates = [server for server in servers if not (server.draining or server.withheld)]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda server: (not server.confirmed, server.in_flight))
        chosen.reserve(True)
        return chosen

    def ended(self, call_id: str) -> None:
        """Notes the end of the suspect that ran."""
        if self.running == call_id:
            self.running = ""
        self.release_unneeded()

    def remove(self, call_id: str) -> Call | None:
        """Takes out a waiting suspect."""
        call = self.waiting.pop(call_id, None)
        self.release_unneeded()
        return call

    def release_unneeded(self) -> None:
        """Gives the server back when no suspect needs it."""
        if not self.running and not self.waiting:
            self.release()

    def release(self) -> None:
        """Gives the server back to ordinary requests."""
        if self.server is not None:
            self.server.reserve(False)
            self.server = None
