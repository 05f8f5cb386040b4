"""Items of the store, their changes and conditional commits."""

from fireflylink_core import BaseValue

ABSENT_REVISION = 0
"""Revision of a key that does not exist."""

NO_LEASE = 0


class Item(BaseValue):
    """A key with its value. ``revision`` is its last change, ``lease`` 0 for none."""

    __slots__ = ("key", "lease", "revision", "value")

    def __init__(self, key: str, value: bytes, revision: int, lease: int = NO_LEASE) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.lease = lease


class Deletion(BaseValue):
    """A key that was removed at ``revision``."""

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


Change = Item | Deletion


class Snapshot(BaseValue):
    """The items of a prefix. Changes after ``revision`` are not all in it."""

    __slots__ = ("items", "revision")

    def __init__(self, items: tuple[Item, ...], revision: int) -> None:
        self.items = items
        self.revision = revision


class ChangeBatch(BaseValue):
    """What happened up to ``revision``."""

    __slots__ = ("changes", "revision")

    def __init__(self, changes: tuple[Change, ...], revision: int) -> None:
        self.changes = changes
        self.revision = revision


class Lease(BaseValue):
    """A lease and its time to live in seconds, from each renewal's arrival."""

    __slots__ = ("lease_id", "ttl_seconds")

    def __init__(self, lease_id: int, ttl_seconds: float) -> None:
        self.lease_id = lease_id
        self.ttl_seconds = ttl_seconds


class Put(BaseValue):
    """A value to write under a key, removed with its lease if it has one."""

    __slots__ = ("key", "lease", "value")

    def __init__(self, key: str, value: bytes, lease: int = NO_LEASE) -> None:
        self.key = key
        self.value = value
        self.lease = lease


class Commit(BaseValue):
    """Writes that take effect together, if each key of ``expected`` has its revision."""

    __slots__ = ("deletions", "expected", "puts")

    def __init__(
        self,
        expected: tuple[tuple[str, int], ...] = (),
        puts: tuple[Put, ...] = (),
        deletions: tuple[str, ...] = (),
    ) -> None:
        self.expected = expected
        self.puts = puts
        self.deletions = deletions
