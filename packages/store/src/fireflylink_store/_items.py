"""Items of the store, changes to them, leases and conditional commits."""

from fireflylink_core import BaseValue

ABSENT_REVISION = 0
"""Revision of a key that does not exist."""

NO_LEASE = 0
"""Lease id of an item that belongs to no lease."""


class Item(BaseValue):
    """A key with its value.

    ``revision`` is the store revision of its last change. The item is deleted when its lease
    expires or is revoked; ``lease_id`` is ``NO_LEASE`` if it has none.
    """

    __slots__ = ("key", "lease_id", "revision", "value")

    def __init__(self, key: str, value: bytes, revision: int, lease_id: int = NO_LEASE) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.lease_id = lease_id


class Deletion(BaseValue):
    """A key that was deleted at ``revision``."""

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


Change = Item | Deletion
"""A change of one key: its new item, or its deletion."""


class Snapshot(BaseValue):
    """The items whose keys begin with a prefix.

    They reflect all changes up to ``revision`` and possibly some later ones, so a watch continues
    from ``revision``.
    """

    __slots__ = ("items", "revision")

    def __init__(self, items: tuple[Item, ...], revision: int) -> None:
        self.items = items
        self.revision = revision


class ChangeBatch(BaseValue):
    """The changes to a prefix after the watched revision, up to ``revision``."""

    __slots__ = ("changes", "revision")

    def __init__(self, changes: tuple[Change, ...], revision: int) -> None:
        self.changes = changes
        self.revision = revision


class Lease(BaseValue):
    """A lease. Its time to live restarts when the store receives a renewal."""

    __slots__ = ("lease_id", "ttl_seconds")

    def __init__(self, lease_id: int, ttl_seconds: float) -> None:
        self.lease_id = lease_id
        self.ttl_seconds = ttl_seconds


class Put(BaseValue):
    """Writes a value to a key. The item is deleted with its lease if it has one."""

    __slots__ = ("key", "lease_id", "value")

    def __init__(self, key: str, value: bytes, lease_id: int = NO_LEASE) -> None:
        self.key = key
        self.value = value
        self.lease_id = lease_id


class Commit(BaseValue):
    """Writes that are applied atomically if each key has its expected revision.

    ``expected_revisions`` holds pairs of a key and its expected revision. The revision
    ``ABSENT_REVISION`` requires that the key does not exist.
    """

    __slots__ = ("deletions", "expected_revisions", "puts")

    def __init__(
        self,
        expected_revisions: tuple[tuple[str, int], ...] = (),
        puts: tuple[Put, ...] = (),
        deletions: tuple[str, ...] = (),
    ) -> None:
        self.expected_revisions = expected_revisions
        self.puts = puts
        self.deletions = deletions
