"""Which daemons read the store for others, and what a daemon that reads nothing itself knows."""

from fireflylink_decisions.relay._relay_follower import (
    MAX_GAP_SECONDS,
    RELAY_SILENCE_SECONDS,
    RelayFollower,
)
from fireflylink_decisions.relay._relay_roles import RelayRoles

__all__ = [
    "MAX_GAP_SECONDS",
    "RELAY_SILENCE_SECONDS",
    "RelayFollower",
    "RelayRoles",
]
