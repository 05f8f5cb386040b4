"""The models that the checks cover."""

from typing import Any

from fireflylink_specification._model import BaseModel
from fireflylink_specification._transfer_models import (
    LongGraceModel,
    LostReplyModel,
    QuickRestartModel,
    QuickRestartTakeoverModel,
    RestartModel,
    RestoredStoreModel,
    SteadyDeciderModel,
    TakeoverModel,
    WaitingGrantModel,
    WaitingGrantRestartModel,
)

MODELS: tuple[type[BaseModel[Any]], ...] = (
    SteadyDeciderModel,
    TakeoverModel,
    LongGraceModel,
    LostReplyModel,
    QuickRestartModel,
    QuickRestartTakeoverModel,
    RestartModel,
    RestoredStoreModel,
    WaitingGrantModel,
    WaitingGrantRestartModel,
)
