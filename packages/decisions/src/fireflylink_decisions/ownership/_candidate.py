"""Servers that the planner may assign keys to."""

from fireflylink_core import BaseValue, ServerIncarnation


class Candidate(BaseValue):
    """A server that the planner may assign keys to, not a daemon that stands for election.

    ``capacity`` is how many requests per second it can run.
    """

    __slots__ = ("capacity", "data_centre", "incarnation")

    def __init__(self, incarnation: ServerIncarnation, capacity: float, data_centre: str) -> None:
        self.incarnation = incarnation
        self.capacity = capacity
        self.data_centre = data_centre
