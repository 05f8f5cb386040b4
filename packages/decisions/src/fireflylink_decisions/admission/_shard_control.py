"""Shards of a gateway that are stopped, awaited or handed over."""

from collections.abc import Iterable

from fireflylink_core import BaseReply
from fireflylink_decisions.admission import _replies as replies
from fireflylink_decisions.admission._admission_values import ShardHandover
from fireflylink_decisions.admission._id_gate import IdGate


class ShardControl:
    """Knows for which shards the gateway admits requests.

    ``stopped`` is the reason why it admits none at all, ``moved`` are shards that it has stopped
    serving, ``awaited`` are shards whose handover it waits for. ``restricted`` is False
    while none of these applies.
    """

    __slots__ = ("awaited", "id_gate", "moved", "restricted", "stopped")

    def __init__(self, id_gate: IdGate) -> None:
        self.id_gate = id_gate
        self.stopped = ""
        self.moved: set[int] = set()
        self.awaited: set[int] = set()
        self.restricted = False

    def note_change(self) -> None:
        """Recomputes whether requests of any shard are not admitted."""
        self.restricted = bool(self.stopped or self.moved or self.awaited)

    def gone(self, shard_index: int) -> bool:
        """Whether a shard was handed over, so that its ids are not known here."""
        return shard_index in self.moved and shard_index not in self.id_gate.memory.shards

    def refusal(self, shard_index: int, delegated: bool) -> BaseReply | None:
        """Returns why requests of a shard are not admitted, or None when they are.

        A delegated request belongs to a shard of another gateway.
        """
        if self.stopped:
            return replies.STOP_REPLIES[self.stopped]
        return replies.MOVED if shard_index in self.moved and not delegated else None

    def stop(self, reason: str, shard_indexes: Iterable[int] | None) -> None:
        """Stops admitting for shards, or for all."""
        if shard_indexes is None:
            self.stopped = reason
            self.moved.update(self.id_gate.memory.shards)
        else:
            self.moved.update(shard_indexes)
        self.note_change()

    def expect(self, shard_indexes: Iterable[int]) -> None:
        """Waits for the handover of shards."""
        indexes = frozenset(shard_indexes)
        if indexes:
            self.stopped = ""
        self.awaited |= indexes
        self.moved -= indexes
        self.note_change()

    def release(
        self, shard_indexes: tuple[int, ...], shard_count: int
    ) -> tuple[ShardHandover, ...]:
        """Returns what the next gateway has to know, and holds the shards no longer."""
        shards = self.id_gate.export(shard_indexes, shard_count)
        self.moved.update(shard_indexes)
        self.note_change()
        self.id_gate.memory.drop_shards(shard_indexes)
        return shards

    def receive(self, shards: tuple[ShardHandover, ...]) -> tuple[int, ...]:
        """Takes over shards with what the former gateway knew, and returns their indexes."""
        for shard in shards:
            self.id_gate.memory.import_shard(shard)
        return self.hold(shard.shard_index for shard in shards)

    def start_term(self, shard_indexes: Iterable[int], wall_ms: int) -> tuple[int, ...]:
        """Takes over shards of which nothing is known, and returns their indexes."""
        indexes = tuple(shard_indexes)
        self.id_gate.memory.start_term(indexes, wall_ms)
        return self.hold(indexes)

    def hold(self, shard_indexes: Iterable[int]) -> tuple[int, ...]:
        """Admits requests of shards again."""
        indexes = tuple(shard_indexes)
        if indexes:
            self.stopped = ""
        self.awaited.difference_update(indexes)
        self.moved.difference_update(indexes)
        self.note_change()
        return indexes
