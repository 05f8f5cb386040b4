"""Backend servers: which exist, how they do, which one gets a request."""

from fireflylink_decisions.servers._server_choice import (
    LESS_URGENT_DEPTH,
    QUEUE_DEPTH,
    ServiceTerms,
    choose_server,
    cost_seconds,
    is_silent,
    room_at,
)
from fireflylink_decisions.servers._server_directory import (
    LAPSE_GRACE_SECONDS,
    DirectoryEntry,
    ServerDirectory,
)
from fireflylink_decisions.servers._server_tracker import ServerTracker

__all__ = [
    "LAPSE_GRACE_SECONDS",
    "LESS_URGENT_DEPTH",
    "QUEUE_DEPTH",
    "DirectoryEntry",
    "ServerDirectory",
    "ServerTracker",
    "ServiceTerms",
    "choose_server",
    "cost_seconds",
    "is_silent",
    "room_at",
]
