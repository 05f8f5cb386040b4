"""Input of the planner: the servers that may own keys."""

from fireflylink_core import BaseValue, ServerIncarnation


class Candidate(BaseValue):
    """A server that may own keys. ``capacity`` is how many requests a second it can run."""

    __slots__ = ("capacity", "data_centre", "life")

    def __init__(self, life: ServerIncarnation, capacity: float, data_centre: str) -> None:
        self.life = life
        self.capacity = capacity
        self.data_centre = data_centre
