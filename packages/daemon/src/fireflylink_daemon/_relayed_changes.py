"""The store's changes as daemons pass them on to each other, and back."""

from fireflylink_protocol import RelayedChange
from fireflylink_store import Change, Deletion, Item


def relayed_change(change: Change) -> RelayedChange:
    """Returns a change of the store as it is sent to other daemons."""
    value = change.value if isinstance(change, Item) else None
    return RelayedChange(change.key, value, change.revision)


def store_change(change: RelayedChange) -> Change:
    """Returns a change that another daemon has sent as if it had been read from the store."""
    if change.value is None:
        return Deletion(change.key, change.revision)
    return Item(change.key, change.value, change.revision)
