"""Errors of the inner protocol."""

from fireflylink_core import BaseFireflylinkError


class RecordError(BaseFireflylinkError):
    """A record or a datagram cannot be decoded."""
