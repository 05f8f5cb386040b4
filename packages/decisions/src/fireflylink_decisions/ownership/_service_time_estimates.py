"""How fast the servers of one service are, over the answers that all daemons got."""

PRIOR_ANSWERS = 4.0
"""A server's own answers count against this many at the mean of its service."""

MEMORY_ANSWERS = 40.0
"""What is older than about so many answers of a server is forgotten."""

DEFAULT_SECONDS = 0.16
LEAST_CAPACITY_FACTOR = 0.4
LARGEST_CAPACITY_FACTOR = 2.0


class _Sum:
    """Answers of one server and their total time in seconds."""

    __slots__ = ("answers", "seconds")

    def __init__(self) -> None:
        self.answers = 0.0
        self.seconds = 0.0


class ServiceTimeEstimates:
    """Mean service times without the time in queues.

    One daemon sees too few answers of each server to tell a slow one within seconds, so the
    decider adds up what all of them report.
    """

    __slots__ = ("sums",)

    def __init__(self) -> None:
        self.sums: dict[str, _Sum] = {}

    def add(self, server_id: str, answers: int, seconds: float) -> None:
        """Takes the total time of some answers of a server."""
        found = self.sums.setdefault(server_id, _Sum())
        found.answers += answers
        found.seconds += seconds
        if found.answers > MEMORY_ANSWERS:
            part = MEMORY_ANSWERS / found.answers
            found.answers *= part
            found.seconds *= part

    def mean_seconds(self) -> float:
        """Returns the mean over all servers, in seconds."""
        answers = sum(found.answers for found in self.sums.values())
        seconds = sum(found.seconds for found in self.sums.values())
        return (seconds + DEFAULT_SECONDS) / (answers + 1.0)

    def expected_seconds(self, server_id: str) -> float:
        """Returns the expected service time of a server."""
        found = self.sums.get(server_id)
        if found is None:
            return self.mean_seconds()
        prior = self.mean_seconds() * PRIOR_ANSWERS
        return (found.seconds + prior) / (found.answers + PRIOR_ANSWERS)

    def capacity(self, server_id: str, slots: int, cold: bool) -> float:
        """Returns how many requests a second a server can run, within bounds around the mean."""
        usual = slots / self.mean_seconds()
        if cold:
            return usual * LEAST_CAPACITY_FACTOR
        own = slots / self.expected_seconds(server_id)
        return min(LARGEST_CAPACITY_FACTOR * usual, max(LEAST_CAPACITY_FACTOR * usual, own))

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that are gone."""
        self.sums = {name: found for name, found in self.sums.items() if name in server_ids}
