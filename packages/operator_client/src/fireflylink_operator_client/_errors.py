"""Errors of the operators' command line."""

from fireflylink_core import BaseFireflylinkError


class OperatorError(BaseFireflylinkError):
    """A command failed; the operator is shown the text, which states the cause or the remedy."""
