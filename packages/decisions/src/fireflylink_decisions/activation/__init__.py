"""Activation: which shards a gateway may serve, and which it has to release."""

from fireflylink_decisions.activation._activation import Release, ShardActivation
from fireflylink_decisions.activation._handovers import HandoverBook
from fireflylink_decisions.activation._shard_view import ShardPhase, ShardView, view_of_shards

__all__ = [
    "HandoverBook",
    "Release",
    "ShardActivation",
    "ShardPhase",
    "ShardView",
    "view_of_shards",
]
