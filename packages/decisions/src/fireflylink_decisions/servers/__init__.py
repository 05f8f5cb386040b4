"""Backend servers: which are registered, how loaded and fast they are, and choice among them."""

from fireflylink_decisions.servers._leaving_servers import LeavingServers
from fireflylink_decisions.servers._pause_limiter import (
    CAUTION_SECONDS,
    MAX_RETURN_SPREAD_SECONDS,
    RELEASE_SECONDS,
    PauseLimiter,
    offset_fraction,
)
from fireflylink_decisions.servers._registration_origin import RegistrationOrigin
from fireflylink_decisions.servers._server_choice import (
    MAX_LOW_PRIORITY_REQUESTS_PER_SLOT,
    MAX_REQUESTS_PER_SLOT,
    ServiceLimits,
    available_at,
    choose_server,
    cost_seconds,
    is_unresponsive,
)
from fireflylink_decisions.servers._server_directory import (
    REGISTRATION_GRACE_SECONDS,
    DirectoryEntry,
    ServerDirectory,
)
from fireflylink_decisions.servers._server_ranking import (
    MAX_GROUP_SIZE,
    ServerRanking,
    group_size,
)
from fireflylink_decisions.servers._server_tracker import ServerTracker
from fireflylink_decisions.servers._stale_registrations import (
    REGISTRATION_LAPSE_SECONDS,
    STALE_REGISTRATION_SECONDS,
)

__all__ = [
    "CAUTION_SECONDS",
    "MAX_GROUP_SIZE",
    "MAX_LOW_PRIORITY_REQUESTS_PER_SLOT",
    "MAX_REQUESTS_PER_SLOT",
    "MAX_RETURN_SPREAD_SECONDS",
    "REGISTRATION_GRACE_SECONDS",
    "REGISTRATION_LAPSE_SECONDS",
    "RELEASE_SECONDS",
    "STALE_REGISTRATION_SECONDS",
    "DirectoryEntry",
    "LeavingServers",
    "PauseLimiter",
    "RegistrationOrigin",
    "ServerDirectory",
    "ServerRanking",
    "ServerTracker",
    "ServiceLimits",
    "available_at",
    "choose_server",
    "cost_seconds",
    "group_size",
    "is_unresponsive",
    "offset_fraction",
]
