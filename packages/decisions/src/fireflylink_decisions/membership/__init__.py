"""Membership: which daemons take part, who is the root and whom each one asks."""

from fireflylink_decisions.membership._directory import (
    MEMBER_LOSS_TIMEOUT,
    MemberDirectory,
    members_digest,
)
from fireflylink_decisions.membership._progress import ConfigurationProgress, InForce
from fireflylink_decisions.membership._succession import RootSuccession
from fireflylink_decisions.membership._tree import FAN_OUT, parent_candidates

__all__ = [
    "FAN_OUT",
    "MEMBER_LOSS_TIMEOUT",
    "ConfigurationProgress",
    "InForce",
    "MemberDirectory",
    "RootSuccession",
    "members_digest",
    "parent_candidates",
]
