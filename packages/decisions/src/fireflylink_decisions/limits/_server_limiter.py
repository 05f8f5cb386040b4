"""Concurrency limit of one backend server, from cold start to full load."""

import enum

from fireflylink_decisions.limits._connection_limit import ConnectionLimit

COLD_RAMP_SUCCESSES = 16
REMEMBERED_GENERATIONS = 8
NEVER = float("-inf")
FIRST_BLOCK_SECONDS = 0.05
MAX_BLOCK_SECONDS = 0.4


class ReportedState(enum.Enum):
    """What a server says about itself in the reply to a grant."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class ServerLimiter:
    """How many requests one server may run at this moment, and how many it runs.

    A generation names one life of the server. A new generation in any reply makes the server cold
    at once: its limit is ``cold_slots``, and requests of the former generation that have not ended
    still count. The limit stays there until the server reports in this generation that it is warm.
    Then it rises by one for each ``ramp_successes`` answers, because reports can mislead.

    A server of which nothing is known counts as cold. So does one that lost a connection, refused
    one or did not answer: it may have restarted. An answer to a request that was sent afterwards
    confirms the generation, and the limit that was reached before applies again.

    ``foreign`` are requests of a former gateway that still run when this one takes over. They
    count until the server reports fewer.

    Example::

        limiter = ServerLimiter("s1", slots=4, cold_slots=1, connections=110)
        if limiter.free > 0:
            limiter.start()
    """

    __slots__ = (
        "blocked_until",
        "cold_slots",
        "connections",
        "doubted_at",
        "draining",
        "foreign",
        "former_generations",
        "generation",
        "in_flight",
        "limit",
        "ramp_successes",
        "ramped_limit",
        "refusals",
        "reported_cold",
        "reserved",
        "server_id",
        "slots",
        "stated_slots",
        "successes",
        "withheld",
    )

    def __init__(
        self,
        server_id: str,
        slots: int,
        cold_slots: int,
        connections: int,
        ramp_successes: int = COLD_RAMP_SUCCESSES,
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.cold_slots = min(cold_slots, slots)
        self.connections = ConnectionLimit(connections)
        self.ramp_successes = ramp_successes
        self.generation = ""
        self.former_generations: tuple[str, ...] = ()
        self.ramped_limit = self.cold_slots
        self.successes = 0
        self.in_flight = 0
        self.foreign = 0
        self.draining = False
        self.withheld = False
        self.reported_cold = True
        self.stated_slots = slots
        self.reserved = False
        self.doubted_at = NEVER
        self.blocked_until = NEVER
        self.refusals = 0
        self.limit = self.cold_slots

    @property
    def confirmed(self) -> bool:
        """Whether the generation is known and nothing casts doubt on it."""
        return bool(self.generation) and self.doubted_at == NEVER

    @property
    def cold(self) -> bool:
        """Whether the server has to be treated as in cold start."""
        return self.limit < self.slots

    @property
    def free(self) -> int:
        """How many more requests may start; 0 or less when none."""
        return self.limit - self.in_flight

    def start(self) -> str:
        """Counts a request and returns the generation that its connection must have.

        The result is empty when the request fits the cold limit and may use any connection.
        Otherwise the limit is that of a known generation, so a connection that has not yet shown
        this generation is probed first: its other end may be a restarted server.
        """
        needed = self.generation if self.in_flight >= self.cold_slots else ""
        self.in_flight += 1
        return needed

    def end(self) -> None:
        """Stops counting a request that has ended."""
        self.in_flight -= 1

    def answered(self, generation: str, sent_at: float) -> None:
        """Takes an answer into account: ``sent_at`` is when its request was sent."""
        if not self.saw_generation(generation, sent_at):
            return
        if self.ramped_limit >= self.slots or self.reported_cold:
            return
        self.successes += 1
        if self.successes >= self.ramp_successes:
            self.successes = 0
            self.ramped_limit += 1
            self.update_limit()

    def saw_generation(self, generation: str, sent_at: float) -> bool:
        """Notes the generation of a reply and tells whether it is the current one.

        A reply of an earlier generation that arrives late changes nothing.
        """
        if self.refusals:
            self.unblock()
        if generation == self.generation:
            if self.doubted_at != NEVER and sent_at > self.doubted_at:
                self.doubted_at = NEVER
                self.update_limit()
            return True
        if not generation or generation in self.former_generations:
            return False
        self.become_cold(generation)
        return True

    def become_cold(self, generation: str) -> None:
        """Starts a new generation at the cold limit."""
        if self.generation:
            former = (*self.former_generations, self.generation)
            self.former_generations = former[-REMEMBERED_GENERATIONS:]
        self.generation = generation
        self.foreign = 0
        self.ramped_limit = self.cold_slots
        self.successes = 0
        self.doubted_at = NEVER
        self.reported_cold = True
        self.update_limit()

    def adopt(self, generation: str, limit: int, now: float) -> None:
        """Takes over the limit that a former gateway reached in a generation.

        It applies once a request that is sent later confirms that this is still the generation.
        """
        if not self.generation:
            self.become_cold(generation)
            self.doubt(now)
        if generation == self.generation:
            self.reported_cold = False
            self.ramped_limit = max(self.ramped_limit, min(limit, self.slots))
            self.update_limit()

    def doubt(self, now: float) -> None:
        """Applies the cold limit until a request that is sent later confirms the generation."""
        self.doubted_at = now
        self.update_limit()

    def block(self, now: float) -> None:
        """Starts no request for a while after the server could not be reached.

        Requests wait in the meantime instead of failing one after the other.
        """
        seconds = min(MAX_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2.0**self.refusals)
        self.refusals += 1
        self.blocked_until = now + seconds
        self.doubt(now)

    def retry(self, now: float) -> bool:
        """Allows a request again after the block, and tells whether it has ended."""
        if now < self.blocked_until:
            return False
        self.blocked_until = NEVER
        self.update_limit()
        return True

    def unblock(self) -> None:
        """Ends the block because the server has replied."""
        self.refusals = 0
        self.blocked_until = NEVER
        self.update_limit()

    def busy(self) -> None:
        """Lowers the limit to what the server runs when it refuses a request as too much."""
        self.ramped_limit = max(self.cold_slots, min(self.ramped_limit, self.in_flight))
        self.successes = 0
        self.update_limit()

    def reported(
        self,
        generation: str,
        state: ReportedState,
        sent_at: float,
        stated_slots: int = 0,
        others: int = 0,
    ) -> None:
        """Takes the reply to a grant into account.

        ``others`` is how many requests the server runs that this gateway did not certainly send.
        """
        first = not self.generation
        if not self.saw_generation(generation, sent_at):
            return
        self.foreign = others if first else min(self.foreign, others)
        self.draining = state is ReportedState.DRAINING
        self.reported_cold = state is ReportedState.COLD
        self.stated_slots = stated_slots or self.slots
        if self.reported_cold:
            self.ramped_limit = self.cold_slots
            self.successes = 0
        self.update_limit()

    def drain(self) -> None:
        """Admits no more requests; those in flight finish."""
        self.draining = True
        self.update_limit()

    def withhold(self, withheld: bool) -> None:
        """Admits no more requests because operators take the server out, or ends that."""
        self.withheld = withheld
        self.update_limit()

    def reserve(self, reserved: bool) -> None:
        """Keeps the server free for a request that has to run alone, or ends that."""
        self.reserved = reserved
        self.update_limit()

    def connections_changed(self) -> None:
        """Applies a change in the number of usable connections."""
        self.update_limit()

    def update_limit(self) -> None:
        """Recomputes the limit from everything that bounds it."""
        if self.draining or self.withheld or self.reserved or self.blocked_until != NEVER:
            self.limit = 0
            return
        known = self.generation and self.doubted_at == NEVER
        limit = self.ramped_limit if known else self.cold_slots
        self.limit = max(0, min(limit, self.stated_slots, self.connections.usable) - self.foreign)
