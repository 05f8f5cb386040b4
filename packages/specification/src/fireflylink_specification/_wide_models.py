"""Models with wider bounds than those of the tests."""

from fireflylink_specification._move import MoveModel
from fireflylink_specification._succession_scenarios import (
    BackAndForthModel,
    TakeoverThenMoveModel,
    TwoMovesModel,
)
from fireflylink_specification._voter_scenarios import (
    FourVotersModel,
    ReAddedModel,
    RestartModel,
)
from fireflylink_specification._voters_state import VoterList, voters


class WideRestartModel(RestartModel):
    """Three voters, three versions that move the same shard."""

    bounds = "3 voters, 3 versions, 3 restarts"

    def versions(self) -> tuple[VoterList, ...]:
        return (voters(0, 1, 2),) * 3


class WideFourVotersModel(FourVotersModel):
    """Four voters, each of which may restart."""

    bounds = "4 voters, 2 versions, 4 restarts"
    restarts = 4


class FiveVotersModel(FourVotersModel):
    """Five voters, the largest number that a table has."""

    name = "voter restart, n=5"
    bounds = "5 voters, 2 versions, 3 restarts"
    daemon_count = 5
    restarts = 3

    def versions(self) -> tuple[VoterList, ...]:
        return (voters(0, 1, 2, 3, 4),) * 2


class ThreeVotersReAddedModel(ReAddedModel):
    """One of three voters is removed and added again."""

    bounds = "4 daemons, 3 voters, 5 versions, 1 restart"
    daemon_count = 4

    def versions(self) -> tuple[VoterList, ...]:
        return (
            voters(0, 1, 2),
            voters(1, 2, 3, previous=(0, 1, 2)),
            voters(1, 2, 3),
            voters(0, 1, 2, previous=(1, 2, 3)),
            voters(0, 1, 2),
        )


class WideTwoMovesModel(TwoMovesModel):
    """Two moves in a row with more restarts."""

    bounds = "3 versions, 3 gateways, 2 gateway restarts"
    restarts = 2


class WideBackAndForthModel(BackAndForthModel):
    """Moves back and forth with a restart."""

    bounds = "4 versions, 2 gateways, 1 gateway restart"
    restarts = 1


class WideTakeoverThenMoveModel(TakeoverThenMoveModel):
    """A takeover followed by a move, with a restart of a gateway and of the server."""

    bounds = "3 versions, 3 gateways, 1 gateway restart, 1 server restart"
    restarts = 1


class WideMoveModel(MoveModel):
    """More moves between two tables."""

    bounds = "2 tables, 2 deciders, 5 started moves"
    started_moves = 5
