"""Estimates of service times and capacities of the servers of one service."""

PRIOR_ANSWERS = 4.0
"""Weight, in answers, of the mean of all servers in the estimate of one server."""

MAX_REMEMBERED_ANSWERS = 40.0
"""A server's sums are scaled down to so many answers, so that older ones lose their weight."""

DEFAULT_SERVICE_SECONDS = 0.16
"""Service time of one assumed answer, which counts in the mean of all servers."""

MIN_CAPACITY_FACTOR = 0.4
"""Lower limit of a server's capacity relative to the mean, so that a few outliers in service time
do not make it lose all its keys. It is also the capacity of a cold server."""

MAX_CAPACITY_FACTOR = 2.0
"""Upper limit of a server's capacity relative to the mean."""


class _ServiceTimeSum:
    """Number of a server's answers and their total service time in seconds."""

    __slots__ = ("answers", "seconds")

    def __init__(self) -> None:
        self.answers = 0.0
        self.seconds = 0.0


class ServiceTimeEstimates:
    """Mean service times, not including the time in queues.

    A single daemon receives too few answers of each server to detect a slow one within seconds, so
    the decider adds up the reports of all daemons.
    """

    __slots__ = ("sums",)

    def __init__(self) -> None:
        self.sums: dict[str, _ServiceTimeSum] = {}

    def add(self, server_id: str, answers: int, seconds: float) -> None:
        """Adds answers of a server and their total service time."""
        server_sum = self.sums.setdefault(server_id, _ServiceTimeSum())
        server_sum.answers += answers
        server_sum.seconds += seconds
        if server_sum.answers > MAX_REMEMBERED_ANSWERS:
            scale = MAX_REMEMBERED_ANSWERS / server_sum.answers
            server_sum.answers *= scale
            server_sum.seconds *= scale

    def mean_seconds(self) -> float:
        """Returns the mean service time over all servers."""
        answers = sum(server_sum.answers for server_sum in self.sums.values())
        seconds = sum(server_sum.seconds for server_sum in self.sums.values())
        return (seconds + DEFAULT_SERVICE_SECONDS) / (answers + 1.0)

    def expected_seconds(self, server_id: str) -> float:
        """Returns the expected service time of a server."""
        server_sum = self.sums.get(server_id)
        if server_sum is None:
            return self.mean_seconds()
        prior = self.mean_seconds() * PRIOR_ANSWERS
        return (server_sum.seconds + prior) / (server_sum.answers + PRIOR_ANSWERS)

    def capacity(self, server_id: str, slots: int, cold: bool) -> float:
        """Returns how many requests per second a server can run, limited relative to the mean.

        A cold server, which is still warming up, counts with the lower limit.
        """
        mean_capacity = slots / self.mean_seconds()
        if cold:
            return mean_capacity * MIN_CAPACITY_FACTOR
        server_capacity = slots / self.expected_seconds(server_id)
        return min(
            MAX_CAPACITY_FACTOR * mean_capacity,
            max(MIN_CAPACITY_FACTOR * mean_capacity, server_capacity),
        )

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Drops the estimates of all other servers."""
        self.sums = {
            server_id: server_sum
            for server_id, server_sum in self.sums.items()
            if server_id in server_ids
        }
