"""Memory of the request ids that a gateway has admitted, for at-most-once execution."""

import enum
from collections.abc import Iterable

from fireflylink_core import BaseReply, NotRun, OutcomeUnknown
from fireflylink_decisions.admission._admission_values import ShardHandover
from fireflylink_decisions.admission._request_id import timestamp_of

CLOCK_SKEW_MS = 2_000
"""Highest difference between the wall clocks of two instances; each is at most half of it away
from the true time, also when it is set."""

AHEAD_TOLERANCE_MS = 100
"""How far an id may be ahead of the gateway's clock when its request starts. A request with an id
further ahead waits: were it run at once, a term that starts without a handover would have to
refuse ids up to twice ``CLOCK_SKEW_MS`` ahead of its clock instead of once."""

ID_WINDOW_MS = 600_000
BUCKET_MS = 30_000
MAX_REQUEST_IDS = 400_000
FULL_RETRY_AFTER_MS = 1_000
EXPIRY_PERIOD_MS = 1_000


class IdState(enum.Enum):
    """Whether the first request with an id still runs or waits."""

    RUNNING = "running"
    ENDED = "ended"


class ShardIds:
    """The ids of one shard, in buckets by their time so that old ones are dropped together.

    An id below ``floor_ms`` may have run here or at an earlier gateway without being remembered.
    """

    __slots__ = ("buckets", "floor_ms")

    def __init__(self, floor_ms: int) -> None:
        self.floor_ms = floor_ms
        self.buckets: dict[int, dict[int, IdState]] = {}

    def state_of(self, request_id: int) -> IdState | None:
        """Returns the state of a remembered id."""
        bucket = self.buckets.get(timestamp_of(request_id) // BUCKET_MS)
        return None if bucket is None else bucket.get(request_id)

    def count(self) -> int:
        """Returns how many ids are remembered."""
        return sum(len(bucket) for bucket in self.buckets.values())


class RequestIdMemory:
    """Remembers the ids of non-idempotent requests per shard until their window ends.

    A shard that was gained without a handover starts with ``start_term``: every id that an earlier
    gateway can have admitted is at most ``AHEAD_TOLERANCE_MS`` ahead of that gateway's clock, which
    is at most ``CLOCK_SKEW_MS`` ahead of this one, so ids below the sum may have run and are never
    run again. A shard that was neither started nor imported starts its term when it is first used.
    """

    __slots__ = ("capacity", "expired_ms", "shards", "size")

    def __init__(self, capacity: int = MAX_REQUEST_IDS) -> None:
        self.capacity = capacity
        self.shards: dict[int, ShardIds] = {}
        self.size = 0
        self.expired_ms = 0

    def start_term(self, shard_indexes: Iterable[int], wall_ms: int) -> None:
        """Takes over shards of which no handover tells what was run."""
        floor_ms = wall_ms + CLOCK_SKEW_MS + AHEAD_TOLERANCE_MS
        for index in shard_indexes:
            shard = self.shards.setdefault(index, ShardIds(floor_ms))
            shard.floor_ms = max(shard.floor_ms, floor_ms)

    def check(self, shard_index: int, request_id: int, wall_ms: int) -> BaseReply | None:
        """Returns why a request with this id must not run, or None when it may.

        The order matters: an id that may have run is never reported as not run.
        """
        shard = self.shard(shard_index, wall_ms)
        state = shard.state_of(request_id)
        if state is IdState.RUNNING:
            return OutcomeUnknown("still-running", "A request with this id is still running.")
        if state is IdState.ENDED:
            return OutcomeUnknown("already-run", "A request with this id has run before.")
        issued_ms = timestamp_of(request_id)
        if issued_ms < shard.floor_ms:
            return OutcomeUnknown("id-too-old", "A request with this id may have run before.")
        if issued_ms - wall_ms > CLOCK_SKEW_MS:
            return NotRun("id-ahead", "The time of the request id is ahead of the clock.", 400)
        if self.full(wall_ms):
            detail = "The gateway remembers as many request ids as it can hold."
            return NotRun("id-memory-full", detail, 503, FULL_RETRY_AFTER_MS)
        return None

    def full(self, wall_ms: int) -> bool:
        """Tells whether there is no room, after dropping what has expired at most once a second."""
        if self.size < self.capacity:
            return False
        if abs(wall_ms - self.expired_ms) >= EXPIRY_PERIOD_MS:
            self.expired_ms = wall_ms
            self.expire(wall_ms)
        return self.size >= self.capacity

    def early_ms(self, request_id: int, wall_ms: int) -> int:
        """Returns for how long a request has to wait because its id is ahead; 0 or less if not."""
        return timestamp_of(request_id) - wall_ms - AHEAD_TOLERANCE_MS

    def remember(self, shard_index: int, request_id: int) -> None:
        """Notes that a request with this id was accepted. ``check`` has allowed it."""
        bucket = timestamp_of(request_id) // BUCKET_MS
        ids = self.shards[shard_index].buckets.setdefault(bucket, {})
        ids[request_id] = IdState.RUNNING
        self.size += 1

    def ended(self, shard_index: int, request_id: int) -> None:
        """Notes that the request with this id has run or may have run, and runs no longer."""
        shard = self.shards.get(shard_index)
        if shard is None:
            return
        bucket = shard.buckets.get(timestamp_of(request_id) // BUCKET_MS)
        if bucket is not None and request_id in bucket:
            bucket[request_id] = IdState.ENDED

    def forget(self, shard_index: int, request_id: int) -> None:
        """Allows the id again because its request certainly was not run."""
        shard = self.shards.get(shard_index)
        if shard is None:
            return
        bucket = shard.buckets.get(timestamp_of(request_id) // BUCKET_MS)
        if bucket is not None and bucket.pop(request_id, None) is not None:
            self.size -= 1

    def expire(self, wall_ms: int) -> None:
        """Drops the ids whose window has ended."""
        for shard in self.shards.values():
            self.raise_floor(shard, wall_ms)

    def export_shards(self, shard_indexes: Iterable[int]) -> tuple[ShardHandover, ...]:
        """Returns what is known about shards. The caller has stopped admitting for them."""
        return tuple(self.export_shard(i) for i in shard_indexes if i in self.shards)

    def export_shard(self, shard_index: int) -> ShardHandover:
        """Returns what is known about one shard that is held here."""
        shard = self.shards[shard_index]
        ids = tuple(request_id for bucket in shard.buckets.values() for request_id in bucket)
        return ShardHandover(shard_index, shard.floor_ms, ids)

    def import_shard(self, handover: ShardHandover) -> None:
        """Takes over a shard from the gateway that has released it.

        Ids are taken even beyond the capacity: refusing them would allow a second run.
        """
        shard = self.shards.setdefault(handover.shard_index, ShardIds(handover.floor_ms))
        shard.floor_ms = max(shard.floor_ms, handover.floor_ms)
        for request_id in handover.request_ids:
            bucket = shard.buckets.setdefault(timestamp_of(request_id) // BUCKET_MS, {})
            if request_id not in bucket:
                bucket[request_id] = IdState.ENDED
                self.size += 1

    def drop_shards(self, shard_indexes: Iterable[int]) -> None:
        """Forgets shards that another gateway holds now."""
        for index in shard_indexes:
            shard = self.shards.pop(index, None)
            if shard is not None:
                self.size -= shard.count()

    def shard(self, shard_index: int, wall_ms: int) -> ShardIds:
        """Returns a shard with its window brought up to date."""
        shard = self.shards.get(shard_index)
        if shard is None:
            self.start_term((shard_index,), wall_ms)
            shard = self.shards[shard_index]
        if wall_ms - ID_WINDOW_MS > shard.floor_ms + BUCKET_MS:
            self.raise_floor(shard, wall_ms)
        return shard

    def raise_floor(self, shard: ShardIds, wall_ms: int) -> None:
        """Moves the floor to the start of the window and drops the buckets below it."""
        shard.floor_ms = max(shard.floor_ms, wall_ms - ID_WINDOW_MS)
        first = shard.floor_ms // BUCKET_MS
        for bucket in [bucket for bucket in shard.buckets if bucket < first]:
            self.size -= len(shard.buckets.pop(bucket))
