"""Errors of the operators' command line."""

from fireflylink_core import BaseFireflylinkError


class OperatorError(BaseFireflylinkError):
    """A command failed; the operator is shown the text, which states the cause or the remedy."""


class OverlapError(OperatorError):
    """The history of a key shows signs of two owners, after all of its lines were printed."""
