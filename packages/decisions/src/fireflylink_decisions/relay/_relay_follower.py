"""What a daemon knows that learns of the store's changes from relays."""

from fireflylink_core import ChangeFragment

RELAY_SILENCE_SECONDS = 0.7
"""A daemon that hears no relay for so long reads the store itself. Relays send at least every
0.3 s, so that one datagram may be lost without a call to the store."""

MAX_GAP_SECONDS = 0.25
"""Time for the missing fragments of a batch, or the batch before it, to arrive from any relay. Then
the daemon reads the store once."""

MAX_PENDING_BATCHES = 32
"""Incomplete batches that are kept; the oldest are dropped, and read from the store."""


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

    All times are in seconds on the daemon's clock.
    """

    __slots__ = ("behind_since", "heard_at", "pending", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.heard_at = float("-inf")
        self.behind_since: float | None = None
        self.pending: dict[tuple[str, int, int], _PendingBatch] = {}

    def set_revision(self, revision: int) -> None:
        """Records that this daemon has read all changes up to a revision by itself."""
        self.revision = max(self.revision, revision)
        self._drop_known()

    def record_fragment(self, fragment: ChangeFragment, now: float) -> None:
        """Records a fragment of a batch, or a statement of a relay that has no changes."""
        self.heard_at = now
        if fragment.revision <= self.revision:
            return
        if self.behind_since is None:
            self.behind_since = now
        if not 0 <= fragment.index < fragment.count:
            return
        batch_id = (fragment.instance, fragment.after, fragment.revision)
        batch = self.pending.setdefault(batch_id, _PendingBatch(fragment.count))
        batch.parts[fragment.index] = fragment.payload
        while len(self.pending) > MAX_PENDING_BATCHES:
            self.pending.pop(next(iter(self.pending)))

    def take_payload(self) -> bytes | None:
        """Returns the payload of a batch that can be applied now; ``revision`` advances to its end.

        Changes of the payload that are not newer than the former ``revision`` are known already.
        """
        for batch_id, batch in self.pending.items():
            if batch.is_complete and batch_id[1] <= self.revision < batch_id[2]:
                self.set_revision(batch_id[2])
                return b"".join(batch.parts[index] for index in range(batch.count))
        return None

    def hears_relay(self, now: float) -> bool:
        """Whether a relay was heard recently."""
        return now < self.heard_at + RELAY_SILENCE_SECONDS

    def silent_at(self) -> float:
        """Returns when the relays count as silent if none is heard until then."""
        return self.heard_at + RELAY_SILENCE_SECONDS

    def has_gap(self, now: float) -> bool:
        """Whether changes that a relay knows have not arrived in time."""
        return self.behind_since is not None and now >= self.behind_since + MAX_GAP_SECONDS

    def _drop_known(self) -> None:
        self.pending = {
            batch_id: parts
            for batch_id, parts in self.pending.items()
            if batch_id[2] > self.revision
        }
        if not self.pending:
            self.behind_since = None
