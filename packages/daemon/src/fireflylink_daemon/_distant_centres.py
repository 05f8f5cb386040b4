"""Contact with the roots of the other data centres."""

from fireflylink_core import Member

ISOLATION_TIMEOUT = 1.5
"""Seconds without an answer after which a data centre counts as cut off from this one."""


class DistantCentres:
    """Remembers which data centres answer and which daemon is the root of each.

    When a data centre does not answer, the first reachable one in the order of names decides for
    its yield tables, so that two of them rarely plan for the same table; if they do, one of the two
    compare-and-swap writes is refused.
    """

    __slots__ = ("_answered", "_attempts", "_roots")

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}
        self._roots: dict[str, str] = {}
        self._attempts: dict[str, int] = {}

    def note_answer(self, data_centre: str, root: str, now: float) -> None:
        """Notes an answer of a data centre and the root that it named."""
        self._answered[data_centre] = now
        self._roots[data_centre] = root
        self._attempts[data_centre] = 0

    def target(self, data_centre: str, members: tuple[Member, ...]) -> Member | None:
        """Returns the daemon to ask: the known root, or after a failure the others in turn."""
        if not members:
            return None
        attempt = self._attempts.get(data_centre, 0)
        self._attempts[data_centre] = attempt + 1
        root = self._roots.get(data_centre, "")
        ranked = sorted(
            members, key=lambda member: (member.instance_id != root, member.instance_id)
        )
        return ranked[attempt % len(ranked)]

    def silent(self, data_centre: str, now: float) -> bool:
        """Whether a data centre that once answered has not done so for ``ISOLATION_TIMEOUT``."""
        answered = self._answered.get(data_centre)
        return answered is not None and now - answered >= ISOLATION_TIMEOUT

    def isolated_for(self, home: str, data_centres: set[str], now: float) -> frozenset[str]:
        """Returns the cut-off data centres for which the root of ``home`` has to decide."""
        silent = {centre for centre in data_centres - {home} if self.silent(centre, now)}
        reachable = sorted(data_centres - silent)
        if not silent or not reachable or reachable[0] != home:
            return frozenset()
        return frozenset(silent)
