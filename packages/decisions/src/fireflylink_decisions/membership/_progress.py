"""Which daemons have a configuration version in force."""

from fireflylink_core import BaseValue, MemberProgress
from fireflylink_decisions.membership._directory import MEMBER_LOSS_TIMEOUT


class InForce(BaseValue):
    """How far a configuration version has come in a data centre."""

    __slots__ = ("confirmed", "lagging", "members", "version")

    def __init__(
        self, version: int, members: int, confirmed: int, lagging: tuple[str, ...]
    ) -> None:
        self.version = version
        self.members = members
        self.confirmed = confirmed
        self.lagging = lagging


class ConfigurationProgress:
    """Collects the versions that daemons report, at a relay or at the root."""

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        self._reported: dict[str, tuple[int, float]] = {}

    def note(self, progress: MemberProgress, now: float) -> None:
        """Takes the version that a daemon has in force."""
        self._reported[progress.instance_id] = (progress.configuration_version, now)

    def recent(self, now: float) -> tuple[MemberProgress, ...]:
        """Returns the reports of daemons that were heard from lately, to pass on to the parent."""
        return tuple(
            MemberProgress(instance_id, version)
            for instance_id, (version, heard) in sorted(self._reported.items())
            if now - heard < MEMBER_LOSS_TIMEOUT
        )

    def in_force(self, version: int, expected: tuple[str, ...]) -> InForce:
        """Returns which of the expected daemons have at least a version in force."""
        lagging = tuple(
            instance_id
            for instance_id in expected
            if self._reported.get(instance_id, (-1, 0.0))[0] < version
        )
        return InForce(version, len(expected), len(expected) - len(lagging), lagging)
