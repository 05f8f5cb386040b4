"""Errors of store calls, distinguished by whether the call may have taken effect."""

from fireflylink_core import BaseFireflylinkError
from fireflylink_store._items import Item


class StoreError(BaseFireflylinkError):
    """A call to the store failed.

    An error of this class itself means that the answer was unexpected or could not be decoded; it
    does not say whether the call took effect.
    """


class StoreUnavailableError(StoreError):
    """The store refused the call or could not be reached, so the call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """No answer arrived, so the call may have taken effect or may still take effect."""


class HistoryCompactedError(StoreError):
    """The store has compacted changes after the requested revision.

    All items must be read again.
    """


class StoreRestoredError(StoreError):
    """The store was restored from an older copy since it gave out a revision or lease of the call.

    The call may have taken effect on the restored store, if it was sent before the restore was
    known. ``era`` is the present era of the store. All items must be read again, leases created
    anew, and what is to last written once more.
    """

    def __init__(self, era: int) -> None:
        super().__init__(f"the store was restored from an older copy and is in era {era}")
        self.era = era


class LeaseNotFoundError(StoreError):
    """The lease has expired or was revoked."""


class ConflictError(StoreError):
    """A key of a commit has another revision than expected.

    ``items`` are the present items of the keys with an expected revision; keys that do not exist
    have none.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__(
            "a key of the commit does not have its expected revision: read the items again"
        )
        self.items = items
