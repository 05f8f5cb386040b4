"""Errors of the protocol between daemons."""

from fireflylink_core import BaseFireflylinkError


class RecordError(BaseFireflylinkError):
    """A record in the store, or a datagram of another daemon, cannot be decoded."""
