"""What a voter has promised, and how it recovers after a restart."""

from fireflylink_core import EndorseReply, OwnershipTable
from fireflylink_decisions.authority._round import majority_of
from fireflylink_decisions.authority._timing import FENCE_WAIT


class VoterLedger:
    """The promises of one daemon as a voter, kept only in memory.

    A voter endorses a version only if it has acknowledged nothing above it. After a restart it has
    forgotten what it acknowledged, so it stays silent until it has learned the highest version from
    the platform or from enough other voters: any acknowledged version is known to at least m - 1 of
    the n - 1 others, so n - m + 1 of them include one that knows it.
    """

    __slots__ = (
        "_known",
        "_peer_answers",
        "_platform_read",
        "_recovered",
        "_started",
        "instance_id",
    )

    def __init__(self, instance_id: str, started: float) -> None:
        self.instance_id = instance_id
        self._started = started
        self._known: dict[str, int] = {}
        self._recovered: set[str] = set()
        self._peer_answers: dict[str, dict[str, int]] = {}
        self._platform_read = False

    def is_recovering(self, table_id: str) -> bool:
        """Whether the voter must not endorse versions of the table yet."""
        return not self._platform_read and table_id not in self._recovered

    def known_version(self, table_id: str) -> int:
        """Returns the highest version that the voter has acknowledged, 0 for none."""
        return self._known.get(table_id, 0)

    def endorse(self, table_id: str, version: int) -> EndorseReply:
        """Answers a request for an endorsement; version 0 only asks what is known."""
        recovering = self.is_recovering(table_id)
        endorsed = not recovering and 0 < version >= self.known_version(table_id)
        if endorsed:
            self._known[table_id] = version
        return EndorseReply(self.instance_id, endorsed, self.known_version(table_id), recovering)

    def note_platform_read(self, versions: dict[str, int]) -> None:
        """Takes the versions of all tables from a read that started after this daemon did.

        A table that is absent from the read has no version yet, so nothing about it was forgotten.
        """
        self._platform_read = True
        for table_id, version in versions.items():
            self._known[table_id] = max(version, self.known_version(table_id))

    def may_ask_peers(self, now: float) -> bool:
        """Whether recovery from other voters may begin.

        Until ``FENCE_WAIT`` after the start, a root may still count an endorsement that this voter
        gave before its restart and that the others do not know of.
        """
        return now >= self._started + FENCE_WAIT

    def note_peer_answer(self, table: OwnershipTable, reply: EndorseReply, asked: float) -> None:
        """Takes another voter's answer to a question asked at ``asked`` while recovering.

        The quorum is that of the voters of the highest version learned: if an answer names a higher
        version than the table held here, recovery waits for that table.
        """
        counts = not reply.recovering and reply.voter != self.instance_id
        if not counts or not self.may_ask_peers(asked):
            return
        answers = self._peer_answers.setdefault(table.table_id, {})
        answers[reply.voter] = max(reply.known_version, answers.get(reply.voter, 0))
        electorates = [table.voters]
        if table.previous_voters:
            electorates.append(table.previous_voters)
        if not all(self._has_quorum(answers, voters) for voters in electorates):
            return
        highest = max(answers.values())
        if highest <= table.version:
            known = self.known_version(table.table_id)
            self._known[table.table_id] = max(highest, known)
            self._recovered.add(table.table_id)

    def _has_quorum(self, answers: dict[str, int], voters: tuple[str, ...]) -> bool:
        heard = sum(voter in answers for voter in voters)
        return heard >= len(voters) - majority_of(len(voters)) + 1
