"""Errors of ownership decisions."""

from fireflylink_core import BaseFireflylinkError


class OwnershipError(BaseFireflylinkError):
    """The input of a planner does not allow a plan."""
