"""One round of endorsements by the voters of a table."""

from collections.abc import Iterable

from fireflylink_core import EndorseReply
from fireflylink_decisions.authority._timing import GRANT_TERM


def majority_of(count: int) -> int:
    """Returns the size of a majority among a number of voters."""
    return count // 2 + 1


class EndorsementRound:
    """Collects the voters' answers for one version of a table.

    ``started`` is the time, in seconds, before the first question was sent; authority from the
    round counts from it. While a table lists previous voters, a majority of those is needed too, so
    that any two rounds share a voter also across a change of the voters.
    """

    __slots__ = (
        "endorsers",
        "highest_known",
        "previous_voters",
        "started",
        "table_id",
        "version",
        "voters",
    )

    def __init__(
        self,
        table_id: str,
        version: int,
        voters: tuple[str, ...],
        previous_voters: tuple[str, ...],
        started: float,
    ) -> None:
        self.table_id = table_id
        self.version = version
        self.voters = voters
        self.previous_voters = previous_voters
        self.started = started
        self.endorsers: set[str] = set()
        self.highest_known = version

    @property
    def electorate(self) -> frozenset[str]:
        """Every daemon whose answer may count."""
        return frozenset(self.voters) | frozenset(self.previous_voters)

    def record(self, reply: EndorseReply, now: float) -> None:
        """Takes a voter's answer; answers of recovering voters and of others do not count.

        An answer that arrives after ``GRANT_TERM`` does not count either: the voter may have
        restarted since and have forgotten it, without waiting for this round.
        """
        self.highest_known = max(self.highest_known, reply.known_version)
        if now > self.started + GRANT_TERM:
            return
        if reply.endorsed and not reply.recovering and reply.voter in self.electorate:
            self.endorsers.add(reply.voter)

    @property
    def has_majority(self) -> bool:
        """Whether enough voters of each list have endorsed the version."""
        if not self._reaches(self.voters):
            return False
        return not self.previous_voters or self._reaches(self.previous_voters)

    def _reaches(self, voters: Iterable[str]) -> bool:
        electorate = frozenset(voters)
        return len(self.endorsers & electorate) >= majority_of(len(electorate))
