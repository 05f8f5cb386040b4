"""Errors of the daemon."""

from fireflylink_core import BaseFireflylinkError


class SettingsError(BaseFireflylinkError):
    """The settings file cannot be used; the text names the field and what is allowed."""


class StartError(BaseFireflylinkError):
    """The daemon cannot start on this instance."""
