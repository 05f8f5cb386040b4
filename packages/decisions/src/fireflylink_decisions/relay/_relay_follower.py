"""What a daemon knows that learns of the store's changes from relays."""

from typing import Any

from fireflylink_core import ChangeFragment

MAX_CONTACT_AGE_SECONDS = 1.2
"""A daemon whose knowledge is older reads the store itself. A configuration must be in force within
2 s at a daemon that reaches the store, whatever its relays know. Two datagrams in a row may be lost
before a daemon reads: the store hears a relay each 0.4 s, and a relay states what it knows each
0.2 s, as does a second one that hears it from the first."""

MAX_GAP_SECONDS = 0.25
"""Time for the missing fragments of a batch, or the batch before it, to arrive from any relay. Then
the daemon reads the store once."""

MAX_PENDING_BATCHES = 32
"""Incomplete batches that are kept; the oldest are dropped, and read from the store."""

MILLISECONDS_PER_SECOND = 1000.0


class _PendingBatch:
    """The fragments of a batch that have arrived, of ``count`` in all."""

    __slots__ = ("count", "parts")

    def __init__(self, count: int) -> None:
        self.count = count
        self.parts: dict[int, bytes] = {}

    @property
    def is_complete(self) -> bool:
        """Whether all fragments have arrived."""
        return len(self.parts) == self.count


class RelayFollower:
    """Puts together what relays send, and tells when this daemon has to read by itself.

    Relays send batches: all changes of the store after one revision up to another. ``revision`` is
    up to where this daemon knows all changes. A batch applies if it begins at that revision or
    before it; of its changes, those that are not newer are known already. Relays also state the
    revision up to which they know all changes when there are none: ``behind_since`` is when one
    first stated more than this daemon knows, None while it is up to date.

    ``contact_at`` is the latest time at which the store had, as far as is known, no more than this
    daemon knows. It comes from the ages that relays state, which each relay on the way increases:
    daemons that pass on to each other what they have heard do not make it look newer.

    All times are in seconds on the daemon's clock.
    """

    __slots__ = ("behind_since", "contact_at", "pending", "revision", "stated_contacts")

    def __init__(self) -> None:
        self.revision = 0
        self.contact_at = float("-inf")
        self.behind_since: float | None = None
        self.pending: dict[tuple[str, int, int], _PendingBatch] = {}
        self.stated_contacts: dict[int, float] = {}

    def set_revision(self, revision: int) -> None:
        """Records that this daemon knows all changes up to a revision."""
        self.revision = max(self.revision, revision)
        self._drop_known()

    def record_fragment(self, fragment: ChangeFragment, now: float) -> None:
        """Records a fragment of a batch, or a statement of a relay that has no changes."""
        contact_at = now - fragment.contact_age_ms / MILLISECONDS_PER_SECOND
        if fragment.revision <= self.revision:
            self.contact_at = max(self.contact_at, contact_at)
            return
        self.stated_contacts[fragment.revision] = max(
            contact_at, self.stated_contacts.get(fragment.revision, contact_at)
        )
        _drop_oldest(self.stated_contacts)
        if self.behind_since is None:
            self.behind_since = now
        if not 0 <= fragment.index < fragment.count:
            return
        batch_id = (fragment.instance, fragment.after, fragment.revision)
        batch = self.pending.setdefault(batch_id, _PendingBatch(fragment.count))
        batch.parts[fragment.index] = fragment.payload
        _drop_oldest(self.pending)

    def take_payload(self) -> bytes | None:
        """Returns the payload of a batch that can be applied now; ``revision`` advances to its end.

        Changes of the payload that are not newer than the former ``revision`` are known already.
        """
        for batch_id, batch in self.pending.items():
            if batch.is_complete and batch_id[1] <= self.revision < batch_id[2]:
                self.set_revision(batch_id[2])
                return b"".join(batch.parts[index] for index in range(batch.count))
        return None

    def outdated_at(self) -> float:
        """Returns when this daemon has to read by itself if no relay states anything newer."""
        return self.contact_at + MAX_CONTACT_AGE_SECONDS

    def has_gap(self, now: float) -> bool:
        """Whether changes that a relay knows have not arrived in time."""
        return self.behind_since is not None and now >= self.behind_since + MAX_GAP_SECONDS

    def _drop_known(self) -> None:
        self.pending = {
            batch_id: parts
            for batch_id, parts in self.pending.items()
            if batch_id[2] > self.revision
        }
        for revision in [stated for stated in self.stated_contacts if stated <= self.revision]:
            self.contact_at = max(self.contact_at, self.stated_contacts.pop(revision))
        if not self.pending:
            self.behind_since = None


def _drop_oldest(entries: dict[Any, Any]) -> None:
    """Removes the entries that were added first if there are too many."""
    while len(entries) > MAX_PENDING_BATCHES:
        entries.pop(next(iter(entries)))
