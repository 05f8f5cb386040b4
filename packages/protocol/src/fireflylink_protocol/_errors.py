"""Errors of the inner protocol."""

from fireflylink_core import BaseFireflylinkError


class RecordError(BaseFireflylinkError):
    """A record or a datagram of the daemons cannot be read."""
