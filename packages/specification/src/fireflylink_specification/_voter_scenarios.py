"""Scenarios of the voters model: restarts, even numbers of voters, replacement, ended instances."""

from fireflylink_specification._guards import Guard
from fireflylink_specification._voters import BaseVotersModel
from fireflylink_specification._voters_state import VoterList, voters


class RestartModel(BaseVotersModel):
    """Three voters that restart."""

    name = "voter restart, n=3"
    bounds = "3 voters, 2 versions, 3 restarts"
    guards = (
        Guard.RECOVERING,
        Guard.RECOVERY_QUORUM,
        Guard.RECOVERED_PEERS,
        Guard.RECOVERY_WAIT,
        Guard.ROUND_BOUND,
    )
    daemon_count = 3
    restarts = 3

    def versions(self) -> tuple[VoterList, ...]:
        return voters(0, 1, 2), voters(0, 1, 2)


class TwoVotersModel(BaseVotersModel):
    """Two voters that restart: each acknowledgement needs both, and each recovery the other."""

    name = "voter restart, n=2"
    bounds = "2 voters, 2 versions, 4 restarts"
    guards = ()
    daemon_count = 2
    restarts = 4

    def versions(self) -> tuple[VoterList, ...]:
        return voters(0, 1), voters(0, 1)


class FourVotersModel(BaseVotersModel):
    """Four voters that restart: a majority is three, a recovery needs two others."""

    name = "voter restart, n=4"
    bounds = "4 voters, 2 versions, 2 restarts"
    guards = (Guard.RECOVERY_QUORUM,)
    daemon_count = 4
    restarts = 2

    def versions(self) -> tuple[VoterList, ...]:
        return voters(0, 1, 2, 3), voters(0, 1, 2, 3)


class ReplacementModel(BaseVotersModel):
    """One of three voters is replaced, and voters restart meanwhile."""

    name = "voter replacement"
    bounds = "4 daemons, 3 voters, 3 versions, 1 restart"
    guards = (Guard.PREVIOUS_MAJORITY, Guard.CLEAR_WHEN_SETTLED, Guard.RECOVERY_LIST)
    daemon_count = 4
    restarts = 1

    def versions(self) -> tuple[VoterList, ...]:
        return voters(0, 1, 2), voters(1, 2, 3, previous=(0, 1, 2)), voters(1, 2, 3)


class ReAddedModel(BaseVotersModel):
    """A voter is removed and added again, and voters restart meanwhile."""

    name = "voter removed and added again"
    bounds = "3 daemons, 2 voters, 5 versions, 1 restart"
    guards = ()
    daemon_count = 3
    restarts = 1

    def versions(self) -> tuple[VoterList, ...]:
        return (
            voters(0, 1),
            voters(1, 2, previous=(0, 1)),
            voters(1, 2),
            voters(0, 1, previous=(1, 2)),
            voters(0, 1),
        )


class TwoReplacementsModel(BaseVotersModel):
    """Voters are replaced twice in a row."""

    name = "two voter replacements"
    bounds = "3 daemons, single voters, 5 versions, 1 restart"
    guards = (Guard.ONE_REPLACEMENT,)
    daemon_count = 3
    restarts = 1

    def versions(self) -> tuple[VoterList, ...]:
        if not self.in_force.has(Guard.ONE_REPLACEMENT):
            return voters(0), voters(1, previous=(0,)), voters(2, previous=(1,))
        return (
            voters(0),
            voters(1, previous=(0,)),
            voters(1),
            voters(2, previous=(1,)),
            voters(2),
        )


class EndedVotersModel(BaseVotersModel):
    """Two of three voters end for good and are replaced."""

    name = "majority of voters ended"
    bounds = "5 daemons, 3 voters, 3 versions, 2 ended instances"
    guards = (Guard.GONE_CONFIRMED,)
    progress_guards = (Guard.GONE_COUNTS,)
    daemon_count = 5
    ends = 2

    def versions(self) -> tuple[VoterList, ...]:
        return voters(0, 1, 2), voters(0, 3, 4, previous=(0, 1, 2)), voters(0, 3, 4)
