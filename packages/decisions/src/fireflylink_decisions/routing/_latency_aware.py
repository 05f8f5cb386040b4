"""Choice of a server by requests in flight and recent latency, with ejection of outliers."""

from collections import defaultdict
from collections.abc import Sequence

from fireflylink_decisions.limits import ServerLimiter
from fireflylink_decisions.routing._picker import BasePicker

LATENCY_WEIGHT = 0.1
EJECTION_FACTOR = 3.0
OUTLIER_FACTOR = 10.0
"""Bound of one latency in the mean, as a multiple of the median: a single request that hangs must
not eject its server."""

RETURN_FACTOR = 2.0
"""Mean with which a server returns, as a multiple of the median: two slow answers eject it again,
where one slow answer would often eject a healthy server."""

MIN_SAMPLES = 4
SAMPLES_PER_MEDIAN = 32
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 10.0
RETURN_SUCCESSES = 4
SERVERS_PER_EJECTION = 3
COLD_PENALTY = 1e6
"""Added to the cost of a server below its full limit, so that others are preferred."""

SLOW_FACTOR = 1.5
"""Latencies up to this many medians count as equal, so that chance does not decide which servers
get the requests of a quiet time."""

AGE_FACTOR = 3.0
"""A running request counts as evidence when it is older than this many mean latencies."""

PICKS_PER_COLD_START = 8
"""One pick in this many prefers an idle cold server: without requests it would stay cold, and be
missing when the load rises."""


class ServerHistory:
    """What a picker knows about one server; latencies in seconds.

    ``allowed`` bounds the requests of a server that was ejected; 0 means no bound.
    """

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

    def restart(self) -> None:
        """Forgets how the server was before it restarted; its requests may still be running."""
        self.latency = 0.0
        self.samples = 0
        self.ejected_until = 0.0
        self.ejections = 0
        self.allowed = 0
        self.returned = 0

    def add(self, latency: float) -> None:
        """Takes a latency into account."""
        self.samples += 1
        if self.samples == 1:
            self.latency = latency
        else:
            self.latency += (latency - self.latency) * LATENCY_WEIGHT

    def held_back(self, in_flight: int, now: float) -> bool:
        """Tells whether a server that was ejected gets no request now."""
        return now < self.ejected_until or in_flight >= self.allowed

    def latency_at(self, now: float) -> float:
        """Returns the mean latency, or the age of the oldest request if that is much higher."""
        for started_at in self.running.values():
            age = now - started_at
            return age if age > AGE_FACTOR * self.latency else self.latency
        return self.latency


class LatencyAwarePicker(BasePicker):
    """Takes the server with the fewest requests in flight, weighted by latency if it is slow.

    The latency is an exponentially weighted mean; a request that has been running for much longer
    counts as if it had just ended, so that a frozen server is noticed before its first deadline. A
    server whose latency exceeds three times the median of the group is ejected, at most a third of
    the group, but one of two. After the ejection it gets one request at a time, and one more for
    every few answers that are not slow; if it is still slow it is ejected for twice as long. Once a
    third of the group is ejected, other slow servers stay in use. Cold servers come last, but for
    the few requests that warm them up, and are not ejected: being slow is expected of them.
    """

    __slots__ = ("ejected", "histories", "median", "pairs", "picks", "samples", "servers")

    def __init__(self) -> None:
        self.histories: defaultdict[str, ServerHistory] = defaultdict(ServerHistory)
        self.servers: Sequence[ServerLimiter] = ()
        self.pairs: list[tuple[ServerLimiter, ServerHistory]] = []
        self.ejected: set[str] = set()
        self.median = 0.0
        self.samples = 0
        self.picks = 0

    def pick(self, servers: Sequence[ServerLimiter], now: float) -> ServerLimiter | None:
        if servers is not self.servers:
            self.bind(servers)
        self.picks += 1
        if self.picks % PICKS_PER_COLD_START == 0:
            cold = self.idle_cold_server()
            if cold is not None:
                return cold
        self.pairs.append(self.pairs.pop(0))
        slow = SLOW_FACTOR * self.median
        best = None
        best_cost = 0.0
        for server, history in self.pairs:
            in_flight = server.in_flight
            if in_flight >= server.limit or (history.allowed and history.held_back(in_flight, now)):
                continue
            cost = in_flight + 1.0
            latency = history.latency_at(now) if in_flight else history.latency
            if latency > slow > 0.0:
                cost *= latency / self.median
            if server.limit < server.slots:
                cost += COLD_PENALTY
            if best is None or cost < best_cost:
                best = server
                best_cost = cost
        if best is None and self.ejected:
            return self.ejected_server()
        return best

    def ejected_server(self) -> ServerLimiter | None:
        """Returns an ejected server if every other one is cold, draining or not reachable."""
        free = None
        for server, history in self.pairs:
            if not history.allowed and server.limit >= server.slots:
                return None
            if history.allowed and server.in_flight < server.limit:
                free = server
        return free

    def idle_cold_server(self) -> ServerLimiter | None:
        """Returns a server in cold start that has nothing to do."""
        for server, history in self.pairs:
            if 0 < server.limit < server.slots and not (server.in_flight or history.allowed):
                return server
        return None

    def started(self, server_id: str, call_id: str, now: float) -> None:
        self.histories[server_id].running[call_id] = now

    def ended(
        self, server_id: str, call_id: str, latency: float, answered: bool, now: float
    ) -> None:
        history = self.histories[server_id]
        del history.running[call_id]
        if now < history.ejected_until or (not answered and latency <= history.latency):
            return
        bound = OUTLIER_FACTOR * self.median
        history.add(latency if latency < bound or bound == 0.0 else bound)
        self.samples += 1
        if self.samples % SAMPLES_PER_MEDIAN == 0:
            self.update_median()
        if history.latency > EJECTION_FACTOR * self.median:
            self.judge(server_id, history, now)
        elif history.allowed:
            self.let_return(server_id, history)

    def usable(self, server: ServerLimiter, now: float) -> int:
        history = self.histories[server.server_id]
        if not history.allowed:
            return server.limit
        return 0 if now < history.ejected_until else min(history.allowed, server.limit)

    def bind(self, servers: Sequence[ServerLimiter]) -> None:
        """Takes the servers of the group and keeps what is known of those that stay."""
        self.servers = servers
        self.pairs = [(server, self.histories[server.server_id]) for server in servers]

    def judge(self, server_id: str, history: ServerHistory, now: float) -> None:
        """Ejects a server whose latency is far above the median of its group."""
        self.update_median()
        count = len(self.pairs)
        others = len(self.ejected - {server_id})
        if count < 2 or others >= max(1, count // SERVERS_PER_EJECTION):
            return
        if self.server(server_id).cold or history.samples < MIN_SAMPLES:
            return
        if history.latency > EJECTION_FACTOR * self.median > 0.0:
            self.eject(server_id, history, now)

    def let_return(self, server_id: str, history: ServerHistory) -> None:
        """Lets a server that was ejected have more requests after some that were not slow."""
        history.returned += 1
        if history.returned % RETURN_SUCCESSES:
            return
        history.allowed += 1
        if history.allowed > self.server(server_id).slots:
            history.allowed = 0
            history.ejections = 0
            self.ejected.discard(server_id)

    def restarted(self, server_id: str) -> None:
        self.histories[server_id].restart()
        self.ejected.discard(server_id)

    def server(self, server_id: str) -> ServerLimiter:
        """Returns a server of the group."""
        return next(server for server, _ in self.pairs if server.server_id == server_id)

    def eject(self, server_id: str, history: ServerHistory, now: float) -> None:
        """Gives a server no requests for a time that doubles with each ejection."""
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**history.ejections)
        history.ejections += 1
        history.ejected_until = now + seconds
        history.allowed = 1
        history.returned = 0
        history.latency = RETURN_FACTOR * self.median
        self.ejected.add(server_id)

    def update_median(self) -> None:
        """Recomputes the median latency of the servers that have answered."""
        known = sorted(history.latency for _, history in self.pairs if history.samples)
        self.median = known[(len(known) - 1) // 2] if known else 0.0
