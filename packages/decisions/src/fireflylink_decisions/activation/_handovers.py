"""Releases that former gateways announced."""

from fireflylink_core import HandoverRequest, ShardKey

MAX_HANDOVERS = 100_000


class HandoverBook:
    """Remembers which shards were released to this daemon, and for which term.

    A release may arrive before the table that makes this daemon the gateway. It counts only for the
    epoch and the gateway epoch that it names, so a release for an earlier term is never mistaken
    for one of the current term.
    """

    __slots__ = ("_released",)

    def __init__(self) -> None:
        self._released: dict[tuple[ShardKey, bool, int, int], None] = {}

    def take(self, request: HandoverRequest) -> None:
        """Takes a release."""
        for shard in request.shards:
            self._released[(shard.shard, shard.exception, shard.epoch, shard.gateway_epoch)] = None
        while len(self._released) > MAX_HANDOVERS:
            self._released.pop(next(iter(self._released)))

    def is_released(self, shard: ShardKey, exception: bool, epoch: int, gateway_epoch: int) -> bool:
        """Tells whether a former gateway released a shard for this term."""
        return (shard, exception, epoch, gateway_epoch) in self._released
