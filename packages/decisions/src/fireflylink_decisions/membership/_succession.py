"""Which voter is the root of a data centre when earlier ones are silent."""

from fireflylink_decisions.membership._directory import MEMBER_LOSS_TIMEOUT


class RootSuccession:
    """Decides whether this daemon is the root of its data centre.

    The first voter is the root. A later voter becomes the root once every voter before it has
    been silent for ``MEMBER_LOSS_TIMEOUT``, and steps back when an earlier one answers again. Two
    roots at once are harmless: each change is a compare-and-swap, and both ask the same voters.
    """

    __slots__ = ("_answered", "_asked_since", "instance_id")

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._answered: dict[str, float] = {}
        self._asked_since: dict[str, float] = {}

    def note_answer(self, voter: str, now: float) -> None:
        """Notes that a voter answered a sync."""
        self._answered[voter] = now

    def is_root(self, voters: tuple[str, ...], now: float) -> bool:
        """Whether this daemon has to act as the root."""
        if self.instance_id not in voters:
            return False
        earlier = voters[: voters.index(self.instance_id)]
        return all(self._silent(voter, now) for voter in earlier)

    def _silent(self, voter: str, now: float) -> bool:
        since = self._answered.get(voter)
        if since is None:
            since = self._asked_since.setdefault(voter, now)
        return now - since >= MEMBER_LOSS_TIMEOUT
