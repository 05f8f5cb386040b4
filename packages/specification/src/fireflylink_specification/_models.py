"""All models, in the order in which they are reported."""

from typing import Any

from fireflylink_specification._deciders import DecidersModel
from fireflylink_specification._model import BaseModel
from fireflylink_specification._move import MoveModel
from fireflylink_specification._succession import SuccessionModel
from fireflylink_specification._succession_scenarios import (
    ReturnModel,
    SameGatewayModel,
    TakeoverThenMoveModel,
    TwoMovesModel,
)
from fireflylink_specification._takeover import TakeoverModel
from fireflylink_specification._voter_scenarios import (
    EndedVotersModel,
    FourVotersModel,
    ReAddedModel,
    ReplacementModel,
    RestartModel,
    TwoReplacementsModel,
    TwoVotersModel,
)

MODELS: tuple[type[BaseModel[Any]], ...] = (
    TakeoverModel,
    RestartModel,
    TwoVotersModel,
    FourVotersModel,
    ReplacementModel,
    ReAddedModel,
    TwoReplacementsModel,
    EndedVotersModel,
    SuccessionModel,
    SameGatewayModel,
    TwoMovesModel,
    ReturnModel,
    TakeoverThenMoveModel,
    DecidersModel,
    MoveModel,
)
