"""What a voter has promised, and how it recovers after a restart."""

from fireflylink_core import EndorseReply
from fireflylink_decisions.authority._round import majority_of


class VoterLedger:
    """The promises of one daemon as a voter, kept only in memory.

    A voter endorses a version only if it has acknowledged nothing above it. After a restart it has
    forgotten what it acknowledged, so it stays silent until it has learned the highest version from
    the platform or from enough other voters: any acknowledged version is known to at least m - 1 of
    the n - 1 others, so n - m + 1 of them include one that knows it.
    """

    __slots__ = ("_known", "_peer_answers", "_platform_read", "_recovered", "instance_id")

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
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

    def note_peer_answer(self, table_id: str, voters: tuple[str, ...], reply: EndorseReply) -> None:
        """Takes another voter's answer while this one is recovering."""
        if reply.recovering or reply.voter == self.instance_id or reply.voter not in voters:
            return
        answers = self._peer_answers.setdefault(table_id, {})
        answers[reply.voter] = reply.known_version
        counted = [answers[voter] for voter in voters if voter in answers]
        needed = len(voters) - majority_of(len(voters)) + 1
        if len(counted) >= needed:
            self._known[table_id] = max(*counted, self.known_version(table_id), 0)
            self._recovered.add(table_id)
