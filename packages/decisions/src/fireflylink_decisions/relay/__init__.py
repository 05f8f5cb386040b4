"""Which daemons read the store for others, and what a daemon that reads nothing itself knows."""

from fireflylink_decisions.relay._relay_follower import (
    MAX_CONTACT_AGE_SECONDS,
    MAX_GAP_SECONDS,
    RelayFollower,
)
from fireflylink_decisions.relay._relay_roles import RelayRoles

__all__ = [
    "MAX_CONTACT_AGE_SECONDS",
    "MAX_GAP_SECONDS",
    "RelayFollower",
    "RelayRoles",
]
