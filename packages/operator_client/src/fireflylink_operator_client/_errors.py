"""Errors of the command line and the exit statuses they lead to."""

import enum

from fireflylink_core import BaseFireflylinkError


class ExitStatus(enum.IntEnum):
    """What the exit status of ``fireflylink`` tells a script."""

    DONE = 0
    REFUSED = 1
    CONFLICT = 2
    NOT_CONFIRMED = 3
    PLATFORM_UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    USAGE = 64
    INTERNAL = 70


class ClientError(BaseFireflylinkError):
    """A command that could not do what was asked for.

    ``problems`` holds one line for each thing that is wrong; the text is the first of them.
    """

    exit_status = ExitStatus.REFUSED

    def __init__(self, *problems: str) -> None:
        super().__init__(problems[0])
        self.problems = problems


class RefusedError(ClientError):
    """The note, a stored document or a daemon's answer is not acceptable; nothing was written."""


class ConflictError(ClientError):
    """Another operator changed the configuration first; nothing was written."""

    exit_status = ExitStatus.CONFLICT


class UnavailableError(ClientError):
    """The platform or the daemons did not answer; nothing was written."""

    exit_status = ExitStatus.PLATFORM_UNAVAILABLE


class UnknownOutcomeError(ClientError):
    """The configuration may or may not have been written."""

    exit_status = ExitStatus.OUTCOME_UNKNOWN


class UsageError(ClientError):
    """The command line or the settings file is not valid."""

    exit_status = ExitStatus.USAGE
