"""Errors of the store, by what they tell about the call."""

from fireflylink_core import BaseFireflylinkError
from fireflylink_store._items import Item


class StoreError(BaseFireflylinkError):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store did nothing: it refused the call or could not be reached."""


class StoreOutcomeUnknownError(StoreError):
    """No answer arrived: the call may have taken effect, or may still."""


class HistoryCompactedError(StoreError):
    """The changes after the given revision are no longer known; read everything again."""


class LeaseNotFoundError(StoreError):
    """The lease does not exist any more."""


class ConflictError(StoreError):
    """A condition of a commit did not hold. ``items`` are the present ones of its keys."""

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__("a condition did not hold: read the items again")
        self.items = items
