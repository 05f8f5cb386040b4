"""All models, in the order in which they are reported."""

from typing import Any

from fireflylink_specification._deciders import DecidersModel
from fireflylink_specification._model import BaseModel
from fireflylink_specification._move import MoveModel
from fireflylink_specification._records import ReAddedServiceModel, RemovedExceptionModel
from fireflylink_specification._succession import SuccessionModel
from fireflylink_specification._succession_scenarios import (
    BackAndForthModel,
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
from fireflylink_specification._wide_models import (
    FiveVotersModel,
    ThreeVotersReAddedModel,
    WideBackAndForthModel,
    WideFourVotersModel,
    WideMoveModel,
    WideRestartModel,
    WideTakeoverThenMoveModel,
    WideTwoMovesModel,
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
    BackAndForthModel,
    TakeoverThenMoveModel,
    RemovedExceptionModel,
    ReAddedServiceModel,
    DecidersModel,
    MoveModel,
)

WIDE_MODELS: tuple[type[BaseModel[Any]], ...] = (
    WideRestartModel,
    WideFourVotersModel,
    FiveVotersModel,
    ThreeVotersReAddedModel,
    WideTwoMovesModel,
    WideBackAndForthModel,
    WideTakeoverThenMoveModel,
    WideMoveModel,
)
"""Models with wider bounds, which take longer than the tests may."""
