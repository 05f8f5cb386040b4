"""Errors of the operators' client."""

from fireflylink_core import BaseFireflylinkError


class OperatorError(BaseFireflylinkError):
    """A command could not do what it was asked for; the text says what to do."""
