"""Choice of a server by requests in flight and recent latency, with ejection of outliers."""

from collections.abc import Sequence

from fireflylink_decisions.limits import ServerLimiter
from fireflylink_decisions.routing._picker import BasePicker

LATENCY_WEIGHT = 0.2
EJECTION_FACTOR = 3.0
MIN_SAMPLES = 4
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RETURN_SUCCESSES = 4
MAX_EJECTED_SHARE = 3
"""At most one server in this many is ejected."""


class ServerHistory:
    """What a picker knows about one server; latencies in seconds."""

    __slots__ = (
        "allowed",
        "ejected_until",
        "ejections",
        "latency",
        "returned",
        "running",
        "samples",
    )

    def __init__(self) -> None:
        self.latency = 0.0
        self.samples = 0
        self.running: dict[str, float] = {}
        self.ejected_until = 0.0
        self.ejections = 0
        self.allowed = 0
        self.returned = 0

    def age(self, now: float) -> float:
        """Returns for how long the oldest request has been running, 0 when none runs."""
        for started_at in self.running.values():
            return now - started_at
        return 0.0


class LatencyAwarePicker(BasePicker):
    """Takes the server with the lowest (requests in flight + 1) x latency.

    The latency is an exponentially weighted mean; a request that has been running for longer
    counts as if it had just ended, so that a frozen server is noticed before its first deadline. A
    server whose latency exceeds three times the median of the group is ejected, at most a third of
    the group at a time. After the ejection it gets one request at a time, and one more for every
    few answers that are not slow; if it is still slow it is ejected for twice as long. Cold servers
    come last.
    """

    __slots__ = ("ejected", "histories", "median")

    def __init__(self) -> None:
        self.histories: dict[str, ServerHistory] = {}
        self.ejected: set[str] = set()
        self.median = 0.0

    def pick(self, servers: Sequence[ServerLimiter], now: float) -> ServerLimiter | None:
        best = None
        best_score = 0.0
        for server in servers:
            in_flight = server.in_flight
            if in_flight >= server.limit:
                continue
            score = self.score(server, in_flight, now)
            if score < 0.0:
                continue
            if best is None or score < best_score:
                best = server
                best_score = score
        return best

    def score(self, server: ServerLimiter, in_flight: int, now: float) -> float:
        """Returns the cost of giving a request to a server; negative when it gets none."""
        history = self.histories.get(server.server_id)
        if history is None:
            history = self.histories[server.server_id] = ServerHistory()
        if history.allowed and (now < history.ejected_until or in_flight >= history.allowed):
            return -1.0
        latency = history.latency
        for started_at in history.running.values():
            if now - started_at > latency:
                latency = now - started_at
            break
        cost = (in_flight + 1) * latency
        return cost if server.limit >= server.slots else cost + 1000.0

    def started(self, server_id: str, call_id: str, now: float) -> None:
        self.histories[server_id].running[call_id] = now

    def ended(
        self, server_id: str, call_id: str, latency: float, answered: bool, now: float
    ) -> None:
        history = self.histories[server_id]
        history.running.pop(call_id, None)
        if not answered and latency <= history.latency:
            return
        history.samples += 1
        if history.samples == 1:
            history.latency = latency
        else:
            history.latency += (latency - history.latency) * LATENCY_WEIGHT
        if history.allowed:
            self.judge_returning(server_id, history, latency, now)
        elif history.samples >= MIN_SAMPLES:
            self.judge(server_id, history, now)

    def judge(self, server_id: str, history: ServerHistory, now: float) -> None:
        """Ejects a server whose latency is far above the median of its group."""
        if history.latency <= EJECTION_FACTOR * self.median:
            self.update_median()
            return
        self.update_median()
        allowed = max(1, len(self.histories) // MAX_EJECTED_SHARE)
        if len(self.histories) < 2 or len(self.ejected) >= allowed:
            return
        if history.latency > EJECTION_FACTOR * self.median > 0.0:
            self.eject(server_id, history, now)

    def judge_returning(
        self, server_id: str, history: ServerHistory, latency: float, now: float
    ) -> None:
        """Lets a server that was ejected have more requests, or ejects it for longer."""
        if now < history.ejected_until:
            return
        if latency > EJECTION_FACTOR * self.median:
            self.eject(server_id, history, now)
            return
        history.returned += 1
        if history.returned % RETURN_SUCCESSES == 0:
            history.allowed += 1
        if history.allowed > 4:
            history.allowed = 0
            history.returned = 0
            history.ejections = 0
            self.ejected.discard(server_id)

    def eject(self, server_id: str, history: ServerHistory, now: float) -> None:
        """Gives a server no requests for a time that doubles with each ejection."""
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**history.ejections)
        history.ejections += 1
        history.ejected_until = now + seconds
        history.allowed = 1
        history.returned = 0
        self.ejected.add(server_id)

    def update_median(self) -> None:
        """Recomputes the median latency of the servers that have answered."""
        known = sorted(h.latency for h in self.histories.values() if h.samples)
        self.median = known[(len(known) - 1) // 2] if known else 0.0
