"""Choice of a server within a group."""

import abc
from collections.abc import Sequence

from fireflylink_decisions.limits import ServerLimiter


class BasePicker(abc.ABC):
    """Chooses the server of a group that gets the next request.

    The gateway tells the picker about every request that starts and ends, so that a picker can
    learn from latencies. A server that may not start a request is never chosen.
    """

    __slots__ = ()

    @abc.abstractmethod
    def pick(self, servers: Sequence[ServerLimiter], now: float) -> ServerLimiter | None:
        """Returns a server with a free slot, or None when there is none."""

    def restarted(self, server_id: str) -> None:  # noqa: B027
        """Notes that a server has a new generation."""

    def usable(self, server: ServerLimiter, now: float) -> int:
        """Returns how many requests at a time a server may be given at present."""
        return server.limit

    def started(self, server_id: str, call_id: str, now: float) -> None:  # noqa: B027
        """Notes that a request was given to a server."""

    def ended(  # noqa: B027
        self, server_id: str, call_id: str, latency: float, answered: bool, now: float
    ) -> None:
        """Notes the end of a request; without an answer the latency is only a lower bound."""


class RoundRobinPicker(BasePicker):
    """Takes the servers in turn."""

    __slots__ = ("next_index",)

    def __init__(self) -> None:
        self.next_index = 0

    def pick(self, servers: Sequence[ServerLimiter], now: float) -> ServerLimiter | None:
        count = len(servers)
        for offset in range(count):
            index = (self.next_index + offset) % count
            if servers[index].in_flight < servers[index].limit:
                self.next_index = index + 1
                return servers[index]
        return None


class LeastInFlightPicker(BasePicker):
    """Takes the server with the fewest requests in flight, the first of equals in rotation."""

    __slots__ = ("next_index",)

    def __init__(self) -> None:
        self.next_index = 0

    def pick(self, servers: Sequence[ServerLimiter], now: float) -> ServerLimiter | None:
        count = len(servers)
        best = None
        for offset in range(count):
            server = servers[(self.next_index + offset) % count]
            if server.in_flight >= server.limit:
                continue
            if best is None or server.in_flight < best.in_flight:
                best = server
        self.next_index += 1
        return best
