"""Entries of the key-value service."""

from fireflylink_core import BaseValue


class Entry(BaseValue):
    """A stored value and the store-wide revision of the write that made it."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Snapshot(BaseValue):
    """The entries under a prefix at a revision of the store.

    As the result of a watch it holds only the entries that changed; ``revision`` is then the value
    to pass as ``after_revision`` to the next watch.
    """

    __slots__ = ("entries", "revision")

    def __init__(self, revision: int, entries: tuple[Entry, ...]) -> None:
        self.revision = revision
        self.entries = entries
