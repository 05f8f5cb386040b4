"""Grants that a backend stand-in holds, and the epochs that it has seen."""

from typing import Any

from fireflylink_core import BaseValue


class CallFence(BaseValue):
    """The part of a request that names the gateway and the ownership it acts under."""

    __slots__ = ("epoch", "gateway_epoch", "shard")

    def __init__(self, gateway_epoch: int, shard: int, epoch: int) -> None:
        self.gateway_epoch = gateway_epoch
        self.shard = shard
        self.epoch = epoch


class GrantBook:
    """The grant in force and the highest epochs seen.

    Shard indexes and key hashes of single-key exceptions share one mapping of epochs for the check
    of a request, because a request names either by the same header.
    """

    __slots__ = (
        "deadline_ms",
        "exceptions",
        "gateway",
        "gateway_epoch",
        "highest_epochs",
        "highest_gateway_epoch",
        "shards",
    )

    def __init__(self) -> None:
        self.highest_gateway_epoch = 0
        self.highest_epochs: dict[int, int] = {}
        self.forget_grant()

    def forget_grant(self) -> None:
        """Drops the grant, as a restart does."""
        self.gateway = ""
        self.gateway_epoch = 0
        self.deadline_ms = 0.0
        self.shards: dict[int, int] = {}
        self.exceptions: dict[int, int] = {}

    def forget_epochs(self) -> None:
        """Drops the highest epochs seen."""
        self.highest_gateway_epoch = 0
        self.highest_epochs = {}

    def accept(self, command: dict[str, Any], fenced: bool) -> bool:
        """Takes a grant; False when ``fenced`` and an epoch is below the highest seen."""
        gateway_epoch = int(command["gateway_epoch"])
        shards = _pairs(command.get("shards"))
        exceptions = _pairs(command.get("exceptions"))
        named = {**(shards or {}), **(exceptions or {})}
        if fenced and self._stale(gateway_epoch, named):
            return False
        if gateway_epoch != self.gateway_epoch:
            self.shards = {}
            self.exceptions = {}
        self.gateway = str(command["gateway"])
        self.gateway_epoch = gateway_epoch
        self.deadline_ms = float(command["deadline_ms"])
        self.shards = self.shards if shards is None else shards
        self.exceptions = self.exceptions if exceptions is None else exceptions
        self._note(gateway_epoch, named)
        return True

    def revoke(self, command: dict[str, Any], fenced: bool) -> bool:
        """Takes shards out of the grant; False when ``fenced`` and the gateway epoch is stale."""
        gateway_epoch = int(command["gateway_epoch"])
        if fenced and gateway_epoch < self.highest_gateway_epoch:
            return False
        for shard in command["shards"]:
            self.shards.pop(int(shard), None)
        for hashed_key in command["exceptions"]:
            self.exceptions.pop(int(hashed_key), None)
        return True

    def covers(self, fence: CallFence, clock_ms: float) -> bool:
        """Tells whether a grant in force admits a request."""
        if fence.gateway_epoch != self.gateway_epoch or clock_ms >= self.deadline_ms:
            return False
        granted = self.exceptions.get(fence.shard)
        if granted is None:
            granted = self.shards.get(fence.shard)
        return granted == fence.epoch

    def note_request(self, fence: CallFence) -> str:
        """Records the epochs of a request that is run; returns the violation, if it is one."""
        stale_gateway = fence.gateway_epoch < self.highest_gateway_epoch
        stale_epoch = fence.epoch < self.highest_epochs.get(fence.shard, 0)
        self._note(fence.gateway_epoch, {fence.shard: fence.epoch})
        if stale_gateway:
            return "stale-gateway"
        return "stale-epoch" if stale_epoch else ""

    def _stale(self, gateway_epoch: int, named: dict[int, int]) -> bool:
        if gateway_epoch < self.highest_gateway_epoch:
            return True
        return any(epoch < self.highest_epochs.get(shard, 0) for shard, epoch in named.items())

    def _note(self, gateway_epoch: int, named: dict[int, int]) -> None:
        self.highest_gateway_epoch = max(self.highest_gateway_epoch, gateway_epoch)
        for shard, epoch in named.items():
            if epoch > self.highest_epochs.get(shard, 0):
                self.highest_epochs[shard] = epoch


def _pairs(items: list[list[int]] | None) -> dict[int, int] | None:
    if items is None:
        return None
    return {int(index): int(epoch) for index, epoch in items}
